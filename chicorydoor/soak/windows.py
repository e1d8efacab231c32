"""Counts of events within sliding windows."""

import bisect
from collections import abc


def busiest(times: abc.Iterable[float], window_s: float) -> int:
    """Most events within a window; the one at its start does not count.

    Args:
        times (Iterable): When they happened, in seconds, in any order.
        window_s (float): Length of the window.
    """
    ordered = sorted(times)
    return max(
        (
            end - bisect.bisect_right(ordered, at - window_s) + 1
            for end, at in enumerate(ordered)
        ),
        default=0,
    )
