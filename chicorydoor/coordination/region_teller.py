"""Tells other regions what the entries of the own one hold together.

Pattern: state of every entry at every other one grows with the square of
the fleet. Inside a region all hear each other; between regions a few entries
each time send a sum to some entry of the other region, which passes it on.
"""

import random

from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares

# Ready entries that a digest names: callers of another region are sent
# there only when their own has none.
_NAMED = 8
# Entries of the region that send each time, on average: one that is cut off,
# or whose receiver is, is made good by another.
_SENDERS = 2.0


class RegionTeller:
    """Makes digests of the own region and knows who gets them.

    Args:
        fleet (FleetView): The entries.
        rates (RateShares): The own shares of the customers' rates.
        rng (Random): Randomness.
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
        standing: fleet_view.Standing,
        extent_by_prefix: dict[str, fleet_view.Extent],
        now: float,
    ) -> fleet_view.RegionDigest:
        """What the region holds.

        Args:
            standing (Standing): Of the own entry.
            extent_by_prefix (dict): The own copies of the store.
            now (float): Time.
        """
        fleet = self._fleet
        ready = [each.instance for each in fleet.ready_mates(now)]
        if standing is fleet_view.Standing.READY:
            ready.append(fleet.me.instance)
        unlisted = [
            member.registration.instance
            for member in fleet.live_mates(now)
            if not member.is_registered
        ]
        return fleet_view.RegionDigest(
            region=fleet.me.region,
            reply_address=fleet.me.peer_address,
            ready=self._rng.sample(ready, min(_NAMED, len(ready))),
            unlisted=unlisted,
            extent_by_prefix=extent_by_prefix,
            rate_by_customer=self._rates.sums(fleet.reported_near()),
        )

    def next_addresses(self, now: float) -> list[str]:
        """Whom to send the next digest to; often nobody."""
        entries = 1 + len(self._fleet.live_mates(now))
        ready = {entry.instance for entry in self._fleet.ready(now)}
        addresses = []
        for members in self._fleet.far_regions().values():
            if self._rng.random() * entries >= _SENDERS:
                continue
            names = [member.registration.instance for member in members]
            known = [name for name in names if name in ready] or names
            chosen = self._rng.choice(known)
            registration = self._fleet.member_by_instance[chosen].registration
            addresses.append(registration.peer_address)
        return addresses
