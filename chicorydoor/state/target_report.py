"""What an entry tells its region of the targets that it has used.

Pattern: each of many entries sends a target few requests, and knows its load
and its failures only from these; together they know it well.
"""

import msgspec

from chicorydoor.protocol import ids


class TargetReport(msgspec.Struct, frozen=True, array_like=True):
    """What an entry has lately seen of a target, for its region.

    Args:
        started_ms (int): Start of the target's incarnation.
        running (int): Its running and waiting requests as it told last; -1
            if it told none.
        answers (int): Requests that have ended.
        failures (int): Those among them that failed.
        pace_percent (int): Mean time of the others over the expected time.
    """

    target_id: ids.TargetId
    started_ms: int
    running: int
    answers: int
    failures: int
    pace_percent: int


class Untold:
    """What is to be reported of a target."""

    def __init__(self) -> None:
        self.running = -1
        self.answers = 0
        self.failures = 0
        self.timed = 0
        self.ratios = 0.0

    def report(self, target_id: ids.TargetId, started_ms: int) -> TargetReport:
        """What is to be told of a target's incarnation."""
        pace = self.ratios / self.timed if self.timed else 1.0
        return TargetReport(
            target_id,
            started_ms,
            self.running,
            self.answers,
            self.failures,
            round(100 * pace),
        )
