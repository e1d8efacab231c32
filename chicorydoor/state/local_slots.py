"""Local slots of an instance on the targets of its failure domain.

Credits at other failure domains are kept in the same way, under pseudo target
ids (see ``bucket_ids.credit_pseudo_target_id``).
"""

from collections import abc

from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.transport import clock as clock_module


class LocalSlots:
    """Slot limits and slots in use by target.

    The limit of a target is the number of its granted slots, used or not. All
    limits expire at the same time, which every acquisition checks.

    Args:
        clock (Clock): Source of the time; a boot-time clock, so that the
            limits also expire while the process is paused.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._limit_by_target: dict[ids.TargetId, int] = {}
        self._in_use_by_target: dict[ids.TargetId, int] = {}
        self._expires_at = float("-inf")

    def apply_grant(
        self,
        limit_by_target: abc.Mapping[ids.TargetId, int],
        expires_at: float,
    ) -> None:
        """Replace all limits by those of a grant.

        Args:
            limit_by_target (Mapping): Granted slots by target.
            expires_at (float): Time of the clock at which they expire.
        """
        self._limit_by_target = dict(limit_by_target)
        self._expires_at = expires_at

    def is_valid(self) -> bool:
        """Whether the limits have not expired."""
        return self._clock.now() < self._expires_at

    def free_slots(self, target: ids.TargetId) -> int:
        """Slots of a target that can be acquired now."""
        if not self.is_valid():
            return 0
        limit = self._limit_by_target.get(target, 0)
        return max(0, limit - self.slots_in_use(target))

    def has_slots_in_use(self) -> bool:
        """Whether any slot is in use."""
        return bool(self._in_use_by_target)

    def slots_in_use(self, target: ids.TargetId) -> int:
        """Slots of a target that are in use."""
        return self._in_use_by_target.get(target, 0)

    def limit(self, target: ids.TargetId) -> int:
        """Slots of a target that this instance holds."""
        return self._limit_by_target.get(target, 0)

    def acquire(self, target: ids.TargetId) -> bool:
        """Acquire a slot; False if none is free."""
        if self.free_slots(target) <= 0:
            return False
        self._in_use_by_target[target] = self.slots_in_use(target) + 1
        return True

    def release(self, target: ids.TargetId) -> None:
        """Release a slot that is in use; the instance still holds it."""
        remaining = self.slots_in_use(target) - 1
        if remaining:
            self._in_use_by_target[target] = remaining
        else:
            del self._in_use_by_target[target]

    def lower_limit(self, target: ids.TargetId, count: int) -> None:
        """Lower the limit of a target, by unused slots only.

        The next report releases these slots to the coordinator.
        """
        limit = self._limit_by_target.get(target, 0)
        remaining = max(limit - count, self.slots_in_use(target), 0)
        self._limit_by_target[target] = min(limit, remaining)

    def report_states(self) -> dict[ids.TargetId, pm.TargetSlotState]:
        """Slot states by target for a report to the coordinator.

        Expired limits are removed, so that they are reported as released.
        """
        if not self.is_valid():
            self._limit_by_target.clear()
        targets = self._limit_by_target.keys() | self._in_use_by_target.keys()
        states: dict[ids.TargetId, pm.TargetSlotState] = {}
        for target in sorted(targets):
            state = pm.TargetSlotState(
                self.limit(target), self.slots_in_use(target)
            )
            if state.granted or state.in_use:
                states[target] = state
        return states
