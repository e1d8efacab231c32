"""Tells other regions what the entries of the own one hold together.

Pattern: state of every entry at every other one grows with the square of
the fleet. Inside a region all hear each other; between regions a sum goes
from one entry to a few of the other region, in turn, so that each entry
there hears it from somebody each time and no entry sends to all.
"""

from collections import abc
import random

from chicorydoor.protocol import ids
from chicorydoor.state import fleet_view
from chicorydoor.state import rate_shares

# Ready entries that a digest names: callers of another region are sent
# there only when their own has none.
_NAMED = 8
# Senders that take turns for one entry of another region: one that is cut
# off is made good by the next.
_TURNS = 3


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
        self._turn = 0

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
        """Whom to send the next digest to."""
        self._turn = (self._turn + 1) % _TURNS
        fleet = self._fleet
        near = sorted(
            [
                fleet.me.instance,
                *(
                    member.registration.instance
                    for member in fleet.live_mates(now)
                ),
            ]
        )
        first = near.index(fleet.me.instance) + self._turn
        return [
            address
            for members in fleet.far_regions().values()
            for address in _every(members, first, len(near))
        ]


def _every(
    members: abc.Iterable[fleet_view.Member], first: int, step: int
) -> list[str]:
    """Addresses of the members at ``first``, ``first + step``, ..."""
    address_by_instance: dict[ids.InstanceId, str] = {
        member.registration.instance: member.registration.peer_address
        for member in members
    }
    names = sorted(address_by_instance)
    return [address_by_instance[name] for name in names[first % step :: step]]
