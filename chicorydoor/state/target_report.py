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
    """

    target_id: ids.TargetId
    started_ms: int
    reported_load: int
    answers: int
    failures: int
    latency_ratio_percent: int


class PendingReport:
    """Observations of a target that have not been reported yet."""

    def __init__(self) -> None:
        self.reported_load = -1
        self.ended_requests = 0
        self.failures = 0
        self.latency_ratio_count = 0
        self.latency_ratio_sum = 0.0

    def build_report(
        self, target_id: ids.TargetId, started_ms: int
    ) -> TargetReport:
        """Build the report on an incarnation of the target."""
        mean_ratio = (
            self.latency_ratio_sum / self.latency_ratio_count
            if self.latency_ratio_count
            else 1.0
        )
        return TargetReport(
            target_id,
            started_ms,
            self.reported_load,
            self.ended_requests,
            self.failures,
            round(100 * mean_ratio),
        )
