"""Reports of an entry's observations of targets to its region peers.

Each of many entries sends a target only few requests and learns the target's
load and failures only from the outcomes of its own requests. Exchanged
reports give every entry of the region enough samples.
"""

import msgspec

from chicorydoor.protocol import ids


class TargetReport(msgspec.Struct, frozen=True, array_like=True):
    """An entry's observations of a target since its last report.

    Args:
        target_id (str): The target.
        started_ms (int): Start of the target's incarnation, milliseconds
            since the epoch.
        reported_load (int): Running and waiting requests that the target
            reported last; -1 if it reported none.
        answers (int): Requests that have ended, with or without an
            answer.
        failures (int): Requests among these that failed.
        latency_ratio_percent (int): Mean latency of the successful requests
            in percent of the expected latency; 100 without any.
        slowdown_percent (int): Processing time in percent of the usual one
            that the target reported last for its machine; -1 if it reported
            none. Defaults to -1.
        slowdown_age_ms (int): Age of that figure when the report was built, in
            milliseconds. Defaults to 0.
        load_age_ms (int): Age of the reported load when the report was built,
            in milliseconds. Defaults to 0.
    """

    target_id: ids.TargetId
    started_ms: int
    reported_load: int
    answers: int
    failures: int
    latency_ratio_percent: int
    # Earlier builds neither send nor read the fields from here on.
    slowdown_percent: int = -1
    slowdown_age_ms: int = 0
    load_age_ms: int = 0


class PendingReport:
    """Observations of a target that have not been reported yet."""

    def __init__(self) -> None:
        self._reported_load = -1
        self._load_reported_at = 0.0
        self.ended_requests = 0
        self.failures = 0
        self.latency_ratio_count = 0
        self.latency_ratio_sum = 0.0
        self._slowdown: float | None = None
        self._slowdown_at = 0.0

    def record_load(self, load: int, now: float) -> None:
        """Record a load that the target reported.

        Args:
            load (int): Running and waiting requests of all callers.
            now (float): Current time in seconds.
        """
        self._reported_load = load
        self._load_reported_at = now

    def record_slowdown(self, slowdown: float, now: float) -> None:
        """Record a slowdown that the target reported.

        Args:
            slowdown (float): Processing time over the usual one.
            now (float): Current time in seconds.
        """
        self._slowdown = slowdown
        self._slowdown_at = now

    def build_report(
        self, target_id: ids.TargetId, started_ms: int, now: float
    ) -> TargetReport:
        """Build the report on an incarnation of the target.

        Args:
            target_id (str): The target.
            started_ms (int): Start of its incarnation, milliseconds since the
                epoch.
            now (float): Current time in seconds.
        """
        mean_ratio = (
            self.latency_ratio_sum / self.latency_ratio_count
            if self.latency_ratio_count
            else 1.0
        )
        return TargetReport(
            target_id,
            started_ms,
            self._reported_load,
            self.ended_requests,
            self.failures,
            round(100 * mean_ratio),
            -1 if self._slowdown is None else round(100 * self._slowdown),
            round(1000 * (now - self._slowdown_at)) if self._slowdown else 0,
            round(1000 * (now - self._load_reported_at))
            if self._reported_load >= 0
            else 0,
        )
