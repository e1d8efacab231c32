"""Slots that an instance holds on the targets of its failure domain."""

from collections import abc

from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.transport import clock as clock_module


class SlotPurse:
    """Limits and use by target; each use checks the expiry.

    Args:
        clock (Clock): Time; a boot-time clock, so that a pause expires the
            limits.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._limit_by_target: dict[ids.TargetId, int] = {}
        self._in_use_by_target: dict[ids.TargetId, int] = {}
        self._expires_at = float("-inf")

    def apply(
        self,
        limit_by_target: abc.Mapping[ids.TargetId, int],
        expires_at: float,
    ) -> None:
        """Replace all limits."""
        self._limit_by_target = dict(limit_by_target)
        self._expires_at = expires_at

    def is_valid(self) -> bool:
        """Whether the limits may be used now."""
        return self._clock.now() < self._expires_at

    def free(self, target: ids.TargetId) -> int:
        """Slots that a request may take now."""
        if not self.is_valid():
            return 0
        limit = self._limit_by_target.get(target, 0)
        return max(0, limit - self.in_use(target))

    def is_in_use(self) -> bool:
        """Whether any slot is taken."""
        return bool(self._in_use_by_target)

    def in_use(self, target: ids.TargetId) -> int:
        """Slots taken."""
        return self._in_use_by_target.get(target, 0)

    def limit(self, target: ids.TargetId) -> int:
        """Slots held."""
        return self._limit_by_target.get(target, 0)

    def take(self, target: ids.TargetId) -> bool:
        """Take a slot; False if none is free."""
        if self.free(target) <= 0:
            return False
        self._in_use_by_target[target] = self.in_use(target) + 1
        return True

    def put_back(self, target: ids.TargetId) -> None:
        """End the use of a slot."""
        left = self.in_use(target) - 1
        if left:
            self._in_use_by_target[target] = left
        else:
            del self._in_use_by_target[target]

    def give_back(self, target: ids.TargetId, count: int) -> None:
        """Lower the own limit; the next report tells the coordinator."""
        limit = self._limit_by_target.get(target, 0)
        left = max(limit - count, self.in_use(target), 0)
        self._limit_by_target[target] = min(limit, left)

    def state(self) -> dict[ids.TargetId, pm.SlotState]:
        """What a report says.

        Limits that have run out are reported as given back.
        """
        if not self.is_valid():
            self._limit_by_target.clear()
        targets = self._limit_by_target.keys() | self._in_use_by_target.keys()
        states: dict[ids.TargetId, pm.SlotState] = {}
        for target in sorted(targets):
            state = pm.SlotState(self.limit(target), self.in_use(target))
            if state.limit or state.in_use:
                states[target] = state
        return states
