"""Credits: requests that other failure domains may have in flight here.

A request is in flight for longer than it holds a slot, so a slot carries
more than one from far away. The number that a domain may have in flight
grows by a part of the free slots, holds, or shrinks while there are none.
"""

import math

from chicorydoor.coordination import shifts
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import slot_ledger
from chicorydoor.transport import clock as clock_module

CREDITS_VALID_S = 1.5
_RESERVE_PART = 0.1
_GROWTH_PART = 0.5
_CUT = 0.8
_MOST_PER_SLOT = 32.0


class _Granted:
    """Credits that one other failure domain holds here."""

    def __init__(self) -> None:
        self.grants: list[tuple[float, int]] = []
        self.in_flight = 0
        self.per_slot = 1.0

    def latest(self) -> int:
        """The latest grant."""
        return self.grants[-1][1] if self.grants else 0

    def outstanding(self, now: float) -> int:
        """Most requests that it may have in flight, by unexpired grants."""
        self.grants = [g for g in self.grants if g[0] > now]
        return max((count for _, count in self.grants), default=0)


class CreditDesk:
    """Grants credits for a coordinator.

    Args:
        slots (SlotLedger): The own targets' slots.
        planner (ShiftPlanner): Says whether requests may come.
        clock (Clock): Time.
    """

    def __init__(
        self,
        slots: slot_ledger.SlotLedger,
        planner: shifts.ShiftPlanner,
        clock: clock_module.Clock,
    ) -> None:
        self._slots = slots
        self._planner = planner
        self._clock = clock
        self._granted_by_domain: dict[
            tuple[ids.DomainId, ids.ServiceId], _Granted
        ] = {}

    def reset(self) -> None:
        """Forget all grants, on taking office."""
        self._granted_by_domain.clear()

    def outstanding(self, domain: ids.DomainId, service: ids.ServiceId) -> int:
        """Requests that another domain may have in flight here now."""
        record = self._granted_by_domain.get((domain, service))
        return record.outstanding(self._clock.now()) if record else 0

    def answer(self, message: pm.Exchange) -> dict[ids.ServiceId, int]:
        """Credits for all services that another domain asks for."""
        return {
            service: self._grant(service, wanted, message)
            for service, wanted in message.credit_wants.items()
        }

    def _grant(
        self, service: ids.ServiceId, wanted: int, message: pm.Exchange
    ) -> int:
        now = self._clock.now()
        record = self._granted_by_domain.setdefault(
            (message.summary.domain, service), _Granted()
        )
        in_flight = message.credits_in_flight.get(service, 0)
        record.in_flight = in_flight
        record.per_slot = self._in_flight_per_slot(service, message)
        if not self._planner.may_receive(service) or wanted <= 0:
            return 0
        free = self._free_for_others(service, record)
        count = max(in_flight, record.latest())
        if free < 0:
            count = math.floor(count * _CUT)
        elif free >= 1:
            extra = max(1.0, free * _GROWTH_PART) * record.per_slot
            count = in_flight + math.floor(extra)
        count = min(math.ceil(wanted * record.per_slot), count)
        record.grants.append((now + CREDITS_VALID_S, count))
        return count

    def _in_flight_per_slot(
        self, service: ids.ServiceId, message: pm.Exchange
    ) -> float:
        hold_s = self._slots.hold_s(service)
        if hold_s <= 0:
            return 1.0
        in_flight_s = 2 * message.round_trip_s + hold_s
        return min(_MOST_PER_SLOT, in_flight_s / hold_s)

    def _free_for_others(
        self, service: ids.ServiceId, receiver: _Granted
    ) -> float:
        """Slots neither in use nor promised nor kept for the own domain."""
        now = self._clock.now()
        slots, in_use = self._slots.usage(service)
        promised = sum(
            max(0, other.outstanding(now) - other.in_flight) / other.per_slot
            for (_, s), other in self._granted_by_domain.items()
            if s == service and other is not receiver
        )
        return slots - in_use - promised - slots * _RESERVE_PART
