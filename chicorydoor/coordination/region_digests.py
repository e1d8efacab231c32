"""Builds the digests that a region sends to other regions.

State of every entry at every other entry would grow with the square of the
fleet. Inside a region all entries exchange heartbeats. Between regions, at
each interval a few entries send a summary of their region to one entry of
the other region, which relays it to the rest.
"""

import random

from chicorydoor.protocol import ids
from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares
from chicorydoor.state import request_crashes
from chicorydoor.state import target_rate_limits

# Maximum number of ready entries in a digest. Callers of another region are
# sent here only if their own region has no ready entry.
_MAX_READY_ENTRIES = 8
# Mean number of entries that send a digest to a region at each interval: if a
# sender or its receiver is cut off, the digest of another one arrives.
_MEAN_SENDERS = 2.0


class RegionDigests:
    """Builds digests of the own region and chooses their receivers.

    Args:
        fleet (FleetView): The known entries.
        shares (RateShares): This entry's shares of the customers' rates.
        rng (Random): Source of random numbers.
    """

    def __init__(
        self,
        fleet: fleet_view.FleetView,
        shares: rate_shares.RateShares,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._shares = shares
        self._rng = rng

    def build_digest(
        self,
        state: fleet_view.EntryState,
        out_of_reach: frozenset[ids.ServiceId],
        extent_by_prefix: dict[str, fleet_view.Extent],
        store_epoch: int,
        limit_reports: list[target_rate_limits.LimitReport],
        crash_reports: list[request_crashes.CrashReport],
        now: float,
    ) -> fleet_view.RegionDigest:
        """Build a digest of the region.

        Args:
            state (EntryState): State of this entry.
            out_of_reach (frozenset): Services out of this entry's reach.
            extent_by_prefix (dict): How complete this entry's copies of the
                store are, by key prefix.
            store_epoch (int): Epoch of the store that these refer to.
            limit_reports (list): What targets have lately responded to the
                region about their rate limits.
            crash_reports (list): What this entry knows of requests that end
                their targets.
            now (float): Current time in seconds.
        """
        fleet = self._fleet
        ready = [
            registration.instance
            for registration in fleet.ready_region_peers(now)
        ]
        if state is fleet_view.EntryState.READY:
            ready.append(fleet.own_registration.instance)
        cut_off = fleet.cut_off_instances(out_of_reach, now)
        ready = [name for name in ready if name not in cut_off] or ready
        live_unregistered = [
            peer.registration.instance
            for peer in fleet.live_region_peers(now)
            if not peer.is_registered
        ]
        return fleet_view.RegionDigest(
            region=fleet.own_registration.region,
            reply_address=fleet.own_registration.peer_address,
            ready=self._rng.sample(ready, min(_MAX_READY_ENTRIES, len(ready))),
            # A sender without a registration is known to be alive only from
            # its digests if it is the only entry of its region.
            unlisted=[fleet.own_registration.instance, *live_unregistered],
            extent_by_prefix=extent_by_prefix,
            rate_by_customer=self._shares.combined_reports(
                fleet.announced_rates_of_region()
            ),
            limit_reports=limit_reports,
            crash_reports=crash_reports,
            store_epoch=store_epoch,
        )

    def choose_receivers(self, now: float) -> list[str]:
        """Return the peer addresses for the next digest; often none.

        There is at most one for each other region.

        Args:
            now (float): Current time in seconds.
        """
        entry_count = 1 + len(self._fleet.live_region_peers(now))
        ready = {entry.instance for entry in self._fleet.ready_peers(now)}
        addresses = []
        for peers in self._fleet.peers_by_remote_region().values():
            if self._rng.random() * entry_count >= _MEAN_SENDERS:
                continue
            instances = [peer.registration.instance for peer in peers]
            candidates = [
                instance for instance in instances if instance in ready
            ] or instances
            chosen = self._rng.choice(candidates)
            registration = self._fleet.peer_by_instance[chosen].registration
            addresses.append(registration.peer_address)
        return addresses
