"""Retry budget of a service: a fraction of its requests in a time window.

When a service fails, every retry adds load to it. The budget keeps the
retries of all entries in a window below a fraction of the requests. Each
entry retries in proportion to its own requests, so the entries need not
exchange messages.
"""

import collections

# Factors on the guaranteed ratio and slack that the entries use. The rest
# covers requests that fall into another window than their retry.
_USED_RATIO_FACTOR = 0.75
_USED_SLACK_FACTOR = 0.5


class ServiceRetryBudget:
    """Retry budget of one entry for one service.

    Args:
        ratio (float): Upper bound of retries per request that the fleet
            must keep; the entries plan for less (``_USED_RATIO_FACTOR``).
        slack (float): Retries in a window beyond that bound, fleet-wide.
        window_s (float): Length of the sliding window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio * _USED_RATIO_FACTOR
        self._slack = slack * _USED_SLACK_FACTOR
        self._window_s = window_s
        self._request_times: collections.deque[float] = collections.deque()
        self._retry_times: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Record a caller's request."""
        self._request_times.append(now)
        self._expire(self._request_times, now)

    def try_acquire(self, now: float, entries: int) -> bool:
        """Record a retry if the budget allows it.

        Args:
            now (float): Current time in seconds.
            entries (int): Number of entries that share the slack.

        Returns:
            Whether the retry may be sent.
        """
        self._expire(self._request_times, now)
        self._expire(self._retry_times, now)
        allowed = self._ratio * len(self._request_times)
        allowed += self._slack / max(1, entries)
        if len(self._retry_times) + 1 > allowed:
            return False
        self._retry_times.append(now)
        return True

    def _expire(self, times: collections.deque[float], now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()
