"""Builds the digests that a region sends to other regions.

State of every entry at every other entry would grow with the square of the
fleet. Inside a region all entries exchange heartbeats. Between regions, at
each interval a few entries send a summary of their region to one entry of
the other region, which relays it to the rest.
"""

import random

from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares

# Maximum number of ready entries in a digest. Callers of another region are
# sent here only if their own region has no ready entry.
_MAX_READY_ENTRIES = 8
# Mean number of entries that send a digest to a region at each interval, so
# that another one replaces a sender that is cut off or whose receiver is.
_MEAN_SENDERS = 2.0


class RegionDigests:
    """Builds digests of the own region and chooses their receivers.

    Args:
        fleet (FleetView): The known entries.
        rates (RateShares): This entry's shares of the customers' rates.
        rng (Random): Source of random numbers.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        rates: rate_shares.RateShares,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._rates = rates
        self._rng = rng

    def digest(
        self,
        standing: fleet_view.EntryState,
        extent_by_prefix: dict[str, fleet_view.Extent],
        now: float,
    ) -> fleet_view.RegionDigest:
        """Build a digest of the region.

        Args:
            standing (EntryState): State of this entry.
            extent_by_prefix (dict): How far this entry's copies of the store
                reach.
            now (float): Current time in seconds.
        """
        fleet = self._fleet
        ready = [peer.instance for peer in fleet.ready_mates(now)]
        if standing is fleet_view.EntryState.READY:
            ready.append(fleet.me.instance)
        unlisted = [
            member.registration.instance
            for member in fleet.live_mates(now)
            if not member.is_registered
        ]
        return fleet_view.RegionDigest(
            region=fleet.me.region,
            reply_address=fleet.me.peer_address,
            ready=self._rng.sample(ready, min(_MAX_READY_ENTRIES, len(ready))),
            unlisted=unlisted,
            extent_by_prefix=extent_by_prefix,
            rate_by_customer=self._rates.sums(fleet.reported_near()),
        )

    def next_addresses(self, now: float) -> list[str]:
        """Return the addresses for the next digest; often none.

        Args:
            now (float): Current time in seconds.
        """
        entry_count = 1 + len(self._fleet.live_mates(now))
        ready = {entry.instance for entry in self._fleet.ready(now)}
        addresses = []
        for members in self._fleet.far_regions().values():
            if self._rng.random() * entry_count >= _MEAN_SENDERS:
                continue
            instances = [member.registration.instance for member in members]
            candidates = [
                instance for instance in instances if instance in ready
            ] or instances
            chosen = self._rng.choice(candidates)
            registration = self._fleet.member_by_instance[chosen].registration
            addresses.append(registration.peer_address)
        return addresses
