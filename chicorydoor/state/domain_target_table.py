"""Health and load of a failure domain's targets, as one instance sees them.

Outlier ejection depends on the instance's own requests only. Reports from the
targets themselves are hints: they may lag or mislead, so they never put a
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

# Weight of an observation in the moving average of the latency.
_LATENCY_WEIGHT = 0.2
_INITIAL_LATENCY_S = 0.02
# A target is ejected after so many consecutive failures, or at this failure
# ratio once enough requests were counted.
_FAILURES_TO_EJECT = 5
_MIN_COUNTED_REQUESTS = 20
_FAILURE_RATIO_TO_EJECT = 0.5
# The time doubles with each ejection; each return to use takes back one step.
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
# Share of a service's targets that may be ejected at the same time; one
# always may.
_MAX_EJECTED_SHARE = 0.5


class TargetHealth(enum.Enum):
    """Whether an instance uses a target.

    A target on trial gets one request at a time until one succeeds or fails.
    """

    IN_USE = "in-use"
    EJECTED = "ejected"
    ON_TRIAL = "on-trial"


class TargetState:
    """One target as seen by one instance.

    Args:
        target_id (str): The target's id.
        record (Target): The target's configuration.
        slow_start_s (float): Length of the slow start in seconds, 0 for
            none.
        now (float): Time when the target was added.

    Attributes:
        reported_load (float): Load in the target's answer to the latest
            probe; 0 if there was none.
        ejected_until (float): Time up to which an ejected target gets no
            requests.
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
        self.requests_in_flight = 0
        self.latency_s = _INITIAL_LATENCY_S
        self.reported_load = 0.0
        self.slow_start_since = now
        self.ejected_until = 0.0
        self._ejections = 0
        self._consecutive_failures = 0
        self._counted_requests = 0
        self._counted_failures = 0

    def expected_latency_s(self) -> float:
        """Expected time for one more request, in seconds."""
        return (self.requests_in_flight + 1) * self.latency_s

    def slow_start_limit(self, limit: int, now: float) -> int:
        """Slots of a limit that may be used, fewer during a slow start."""
        if self.health is TargetHealth.ON_TRIAL:
            return min(limit, 1)
        age = now - self.slow_start_since
        if self.slow_start_s <= 0 or age >= self.slow_start_s:
            return limit
        return max(1, math.ceil(limit * age / self.slow_start_s))

    def record_success(self, latency_s: float) -> None:
        """Record a complete answer."""
        self._consecutive_failures = 0
        self._count_outcome(False)
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_failure(self) -> bool:
        """Record a failure; returns whether the target is to be ejected."""
        self._consecutive_failures += 1
        self._count_outcome(True)
        if self.health is TargetHealth.ON_TRIAL:
            return True
        ratio = self._counted_failures / max(1, self._counted_requests)
        return self._consecutive_failures >= _FAILURES_TO_EJECT or (
            self._counted_requests >= _MIN_COUNTED_REQUESTS
            and ratio >= _FAILURE_RATIO_TO_EJECT
        )

    def _count_outcome(self, is_failure: bool) -> None:
        """Count a request; halve the counts first if they are large."""
        if self._counted_requests >= 2 * _MIN_COUNTED_REQUESTS:
            self._counted_requests //= 2
            self._counted_failures //= 2
        self._counted_requests += 1
        self._counted_failures += is_failure

    def eject(self, now: float, jitter: float) -> None:
        """Eject the target, for longer each time.

        Args:
            now (float): Current time in seconds.
            jitter (float): Fraction by which the ejection is prolonged.
        """
        ejection_s = min(
            _MAX_EJECTION_S, _FIRST_EJECTION_S * 2**self._ejections
        )
        self._ejections += 1
        self.ejected_until = now + ejection_s * (1.0 + jitter)
        self.health = TargetHealth.EJECTED
        self._consecutive_failures = 0
        self._counted_requests = 0
        self._counted_failures = 0

    def restore(self, now: float) -> None:
        """Put the target back into use with a slow start."""
        self.health = TargetHealth.IN_USE
        self.slow_start_since = now
        self._ejections = max(0, self._ejections - 1)


class DomainTargetTable:
    """The targets of one failure domain.

    Args:
        clock (Clock): Source of the time.
        events (EventRing): Receives ejections and restorations.
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
        """Apply the configuration; unchanged targets keep their state.

        Targets of the first configuration get no slow start, since only
        this process is new to them.
        """
        is_first = not self.target_by_id
        # A slow start since minus infinity is over.
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

    def service_targets(self, service: ids.ServiceId) -> list[TargetState]:
        """All targets of a service."""
        return self._states_by_service.get(service, [])

    def usable_targets(self, service: ids.ServiceId) -> list[TargetState]:
        """Targets of a service that get new requests."""
        return [s for s in self.service_targets(service) if self.is_usable(s)]

    def is_usable(self, state: TargetState) -> bool:
        """Whether a target gets new requests.

        The call itself puts an ejected target whose time is over on trial.
        """
        if state.is_draining:
            return False
        if state.health is not TargetHealth.EJECTED:
            return True
        if state.ejected_until > self._clock.now():
            return False
        state.health = TargetHealth.ON_TRIAL
        return True

    def record_success(self, state: TargetState, latency_s: float) -> None:
        """Record a complete answer; a target on trial is restored."""
        state.record_success(latency_s)
        if state.health is TargetHealth.ON_TRIAL:
            state.restore(self._clock.now())
            self._events.add(
                event_ring.EventKind.TARGET_RESTORED, subject=state.target_id
            )

    def record_failure(self, state: TargetState, jitter: float) -> None:
        """Record a failure; eject the target if failures repeat.

        Args:
            state (TargetState): The target.
            jitter (float): Random number, 0 to 1, that spreads the trials
                of ejected targets over time.
        """
        if not state.record_failure():
            return
        if state.health is TargetHealth.EJECTED or not self._may_eject(state):
            return
        state.eject(self._clock.now(), jitter)
        metrics.TARGET_EJECTIONS.labels(state.target_id).inc()
        self._events.add(
            event_ring.EventKind.TARGET_EJECTED, subject=state.target_id
        )

    def _may_eject(self, state: TargetState) -> bool:
        service_targets = self.service_targets(state.record.service)
        ejected = sum(
            1
            for s in service_targets
            if s.health is TargetHealth.EJECTED and s is not state
        )
        return ejected + 1 <= max(1, _MAX_EJECTED_SHARE * len(service_targets))
