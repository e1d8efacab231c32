"""Bounds repeated sends to a service by a share of its requests.

Pattern: when a service fails, every retry adds load to it; over all entries
the retries of a window stay below a share of the requests. Each entry spends
in proportion to its own requests, so no message is needed.
"""

import collections

# Part of the promised ratio and slack that the entries plan with; the rest
# covers requests that count at another moment than their retry.
_PLANNED_RATIO = 0.75
_PLANNED_SLACK = 0.5


class RetryBudget:
    """Retries of one entry to one service.

    Args:
        ratio (float): Promised repeated sends for each request.
        slack (float): Promised repeated sends beyond that, fleet-wide.
        window_s (float): Window over which both are counted.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio * _PLANNED_RATIO
        self._slack = slack * _PLANNED_SLACK
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._expire(self._requests, now)

    def try_spend(self, now: float, entries: int) -> bool:
        """Take a retry out of the budget, if there is one.

        Args:
            now (float): Time.
            entries (int): Entries that share the slack.
        """
        self._expire(self._requests, now)
        self._expire(self._retries, now)
        allowed = self._ratio * len(self._requests)
        allowed += self._slack / max(1, entries)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _expire(self, times: collections.deque[float], now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()
