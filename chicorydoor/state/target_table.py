"""What an instance has seen of the targets of its failure domain.

A target is judged by the instance's own requests. Reports that the targets
make of themselves are hints: they may lag or mislead, so they never put a
failing target back into use.
"""

from collections import abc
import enum
import math

from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_LATENCY_WEIGHT = 0.2
_FIRST_LATENCY_S = 0.02
_FAILURES_TO_EJECT = 5
_WINDOW_LEAST = 20
_WINDOW_FAILURE_RATIO = 0.5
_FIRST_EJECTION_S = 1.0
_LONGEST_EJECTION_S = 30.0
_MOST_EJECTED = 0.5


class TargetHealth(enum.Enum):
    """Whether an instance uses a target."""

    IN_USE = "in-use"
    EJECTED = "ejected"
    ON_TRIAL = "on-trial"


class TargetState:
    """One target as seen by one instance.

    Args:
        target_id (str): Its id.
        record (Target): Its configuration.
        slow_start_s (float): Time until it gets its full part, 0 for none.
        now (float): When it was added.
    """

    def __init__(
        self,
        target_id: ids.TargetId,
        record: config_records.Target,
        slow_start_s: float,
        now: float,
    ) -> None:
        self.target_id = target_id
        self.record = record
        self.slow_start_s = slow_start_s
        self.health = TargetHealth.IN_USE
        self.is_draining = False
        self.in_use = 0
        self.latency_s = _FIRST_LATENCY_S
        self.reported_load = 0.0
        self.warm_since = now
        self.ejected_until = 0.0
        self._ejections = 0
        self._consecutive_failures = 0
        self._window_count = 0
        self._window_failures = 0

    def cost(self) -> float:
        """Expected time for one more request, in seconds."""
        return (self.in_use + 1) * self.latency_s

    def allowance(self, limit: int, now: float) -> int:
        """Slots of a limit that may be used while the target warms up."""
        if self.health is TargetHealth.ON_TRIAL:
            return min(limit, 1)
        age = now - self.warm_since
        if self.slow_start_s <= 0 or age >= self.slow_start_s:
            return limit
        return max(1, math.ceil(limit * age / self.slow_start_s))

    def note_success(self, latency_s: float) -> None:
        """Take a whole answer into account."""
        self._consecutive_failures = 0
        self._count(False)
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)

    def note_failure(self) -> bool:
        """Take a failure into account; True if it should be ejected."""
        self._consecutive_failures += 1
        self._count(True)
        if self.health is TargetHealth.ON_TRIAL:
            return True
        ratio = self._window_failures / max(1, self._window_count)
        return self._consecutive_failures >= _FAILURES_TO_EJECT or (
            self._window_count >= _WINDOW_LEAST
            and ratio >= _WINDOW_FAILURE_RATIO
        )

    def _count(self, failed: bool) -> None:
        if self._window_count >= 2 * _WINDOW_LEAST:
            self._window_count //= 2
            self._window_failures //= 2
        self._window_count += 1
        self._window_failures += failed

    def eject(self, now: float, jitter: float) -> None:
        """Take it out of use, for longer each time."""
        pause = min(
            _LONGEST_EJECTION_S, _FIRST_EJECTION_S * 2**self._ejections
        )
        self._ejections += 1
        self.ejected_until = now + pause * (1.0 + jitter)
        self.health = TargetHealth.EJECTED
        self._consecutive_failures = 0
        self._window_count = 0
        self._window_failures = 0

    def restore(self, now: float) -> None:
        """Put it back into use, warming up."""
        self.health = TargetHealth.IN_USE
        self.warm_since = now
        self._ejections = max(0, self._ejections - 1)


class TargetTable:
    """The targets of one failure domain.

    Args:
        clock (Clock): Time.
        events (EventRing): Gets changes of state.
    """

    def __init__(
        self, clock: clock_module.Clock, events: event_ring.EventRing
    ) -> None:
        self._clock = clock
        self._events = events
        self.target_by_id: dict[ids.TargetId, TargetState] = {}
        self._states_by_service: dict[ids.ServiceId, list[TargetState]] = {}

    def configure(
        self,
        record_by_id: abc.Mapping[ids.TargetId, config_records.Target],
        slow_start_by_service: abc.Mapping[ids.ServiceId, float],
    ) -> None:
        """Follow the configuration; known targets keep what was seen.

        Targets of the first configuration count as warm: the process is
        new, not they.
        """
        is_first = not self.target_by_id
        now = float("-inf") if is_first else self._clock.now()
        targets: dict[ids.TargetId, TargetState] = {}
        for target_id, record in record_by_id.items():
            known = self.target_by_id.get(target_id)
            if known is not None and known.record == record:
                targets[target_id] = known
                continue
            slow_start_s = slow_start_by_service.get(record.service, 0.0)
            targets[target_id] = TargetState(
                target_id, record, slow_start_s, now
            )
        self.target_by_id = targets
        self._states_by_service = {}
        for state in targets.values():
            service = state.record.service
            self._states_by_service.setdefault(service, []).append(state)

    def of_service(self, service: ids.ServiceId) -> list[TargetState]:
        """All targets of a service."""
        return self._states_by_service.get(service, [])

    def usable(self, service: ids.ServiceId) -> list[TargetState]:
        """Targets of a service that get new work."""
        return [s for s in self.of_service(service) if self.is_usable(s)]

    def is_usable(self, state: TargetState) -> bool:
        """Whether a target gets new work."""
        if state.is_draining:
            return False
        if state.health is not TargetHealth.EJECTED:
            return True
        if state.ejected_until > self._clock.now():
            return False
        state.health = TargetHealth.ON_TRIAL
        return True

    def note_success(self, state: TargetState, latency_s: float) -> None:
        """A target gave a whole answer."""
        state.note_success(latency_s)
        if state.health is TargetHealth.ON_TRIAL:
            state.restore(self._clock.now())
            self._events.add(
                event_ring.EventKind.TARGET_RESTORED, subject=state.target_id
            )

    def note_failure(self, state: TargetState, jitter: float) -> None:
        """A target failed; it is ejected when that repeats.

        Args:
            state (TargetState): The target.
            jitter (float): Random, 0 to 1; spreads the trials.
        """
        if not state.note_failure():
            return
        if state.health is TargetHealth.EJECTED or not self._may_eject(state):
            return
        state.eject(self._clock.now(), jitter)
        metrics.TARGET_EJECTIONS.labels(state.target_id).inc()
        self._events.add(
            event_ring.EventKind.TARGET_EJECTED, subject=state.target_id
        )

    def _may_eject(self, state: TargetState) -> bool:
        peers = self.of_service(state.record.service)
        ejected = sum(
            1
            for s in peers
            if s.health is TargetHealth.EJECTED and s is not state
        )
        return ejected + 1 <= max(1, _MOST_EJECTED * len(peers))
