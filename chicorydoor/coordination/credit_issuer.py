"""Issues credits: requests that other domains may have in flight here.

A request is in flight for longer than it holds a slot, so with a long round
trip a slot serves several requests in flight. With one free slot or more, the
number that a domain may have in flight is set to those that it has in flight
plus a share of the free slots. It stays while less than one slot is free, and
shrinks while more than the unreserved slots are in use or promised. It never
exceeds what the domain requests.
"""

import math

from chicorydoor.coordination import shift_planner
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import slot_ledger
from chicorydoor.transport import clock as clock_module

CREDITS_VALID_S = 1.5
_RESERVED_SLOT_SHARE = 0.1
_GROWTH_OF_FREE_SLOTS = 0.5
_CUT_FACTOR = 0.8
_MAX_IN_FLIGHT_PER_SLOT = 32.0


class _CreditAccount:
    """Credits for one service that another failure domain holds here.

    Attributes:
        grants (list): Pairs of expiry time in seconds and credits.
        in_flight (int): Requests in flight by its latest report.
        in_flight_per_slot (float): Requests in flight that keep one slot
            busy.
    """

    def __init__(self) -> None:
        self.grants: list[tuple[float, int]] = []
        self.in_flight = 0
        self.in_flight_per_slot = 1.0

    def latest_grant(self) -> int:
        """Credits of the latest grant, 0 if there is none."""
        return self.grants[-1][1] if self.grants else 0

    def outstanding(self, now: float) -> int:
        """Remove expired grants and return the largest remaining one.

        A new grant replaces the former ones, it doesn't add to them.
        """
        self.grants = [g for g in self.grants if g[0] > now]
        return max((count for _, count in self.grants), default=0)


class CreditIssuer:
    """Issues credits to other failure domains for a coordinator.

    Args:
        slots (SlotLedger): Slots of the own domain's targets.
        planner (ShiftPlanner): Says whether requests are accepted.
        clock (Clock): Monotonic time.
    """

    def __init__(
        self,
        slots: slot_ledger.SlotLedger,
        planner: shift_planner.ShiftPlanner,
        clock: clock_module.Clock,
    ) -> None:
        self._slots = slots
        self._planner = planner
        self._clock = clock
        self._account_by_key: dict[
            tuple[ids.DomainId, ids.ServiceId], _CreditAccount
        ] = {}

    def reset(self) -> None:
        """Remove all grants, at the start of a coordinator term."""
        self._account_by_key.clear()

    def count_outstanding(
        self, domain: ids.DomainId, service: ids.ServiceId
    ) -> int:
        """Number of requests that a domain may have in flight here now."""
        account = self._account_by_key.get((domain, service))
        return account.outstanding(self._clock.now()) if account else 0

    def issue_credits(
        self, message: pm.CoordinatorExchange
    ) -> dict[ids.ServiceId, int]:
        """Issue credits for all services that another domain asks for."""
        return {
            service: self._grant(service, wanted_slots, message)
            for service, wanted_slots in (
                message.credits_requested_by_service.items()
            )
        }

    def _grant(
        self,
        service: ids.ServiceId,
        wanted_slots: int,
        message: pm.CoordinatorExchange,
    ) -> int:
        now = self._clock.now()
        account = self._account_by_key.setdefault(
            (message.summary.domain, service), _CreditAccount()
        )
        in_flight = message.in_flight_by_service.get(service, 0)
        account.in_flight = in_flight
        account.in_flight_per_slot = self._in_flight_per_slot(service, message)
        if not self._planner.accepts_requests(service) or wanted_slots <= 0:
            # Former grants remain outstanding until they expire.
            return 0
        free = self._grantable_slots(service, account)
        count = max(in_flight, account.latest_grant())
        if free < 0:
            count = math.floor(count * _CUT_FACTOR)
        elif free >= 1:
            extra = (
                max(1.0, free * _GROWTH_OF_FREE_SLOTS)
                * account.in_flight_per_slot
            )
            count = in_flight + math.floor(extra)
        count = min(
            math.ceil(wanted_slots * account.in_flight_per_slot), count
        )
        account.grants.append((now + CREDITS_VALID_S, count))
        return count

    def _in_flight_per_slot(
        self, service: ids.ServiceId, message: pm.CoordinatorExchange
    ) -> float:
        hold_s = self._slots.mean_hold_s(service)
        if hold_s <= 0:
            return 1.0
        in_flight_s = 2 * message.round_trip_s + hold_s
        return min(_MAX_IN_FLIGHT_PER_SLOT, in_flight_s / hold_s)

    def _grantable_slots(
        self, service: ids.ServiceId, account: _CreditAccount
    ) -> float:
        """Slots not in use, not promised to others and not reserved.

        Below 0 if too many are in use or promised.
        """
        now = self._clock.now()
        slots, in_use = self._slots.usage(service)
        promised = sum(
            max(0, other_account.outstanding(now) - other_account.in_flight)
            / other_account.in_flight_per_slot
            for (_, s), other_account in self._account_by_key.items()
            if s == service and other_account is not account
        )
        return slots - in_use - promised - slots * _RESERVED_SLOT_SHARE
