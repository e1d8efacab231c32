"""Counts of events in sliding time windows."""

import bisect
from collections import abc


def max_events_in_window(times: abc.Iterable[float], window_s: float) -> int:
    """Largest number of events in any window.

    A window includes its end and excludes its start.

    Args:
        times (Iterable): Times of the events in seconds, in any order.
        window_s (float): Length of the windows.

    Returns:
        int: The number, 0 without events.
    """
    ordered = sorted(times)
    return max(
        (
            end - bisect.bisect_right(ordered, at - window_s) + 1
            for end, at in enumerate(ordered)
        ),
        default=0,
    )
