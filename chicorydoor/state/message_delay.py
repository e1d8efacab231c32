"""How late a peer's messages arrive, without comparing clocks.

The difference between a peer's clock and this entry's is unknown but constant:
a message took longer than the fastest one by as much as this difference has
grown.
"""

# Two of these windows hold the fastest message. It expires because a clock may
# have stood still, as that of a suspended machine does.
_WINDOW_S = 10.0


class MessageDelay:
    """Delay of a peer's messages beyond that of its fastest recent one."""

    def __init__(self) -> None:
        self._window_started_at = float("-inf")
        self._least_offset_s = float("inf")
        self._previous_least_offset_s = float("inf")

    def record(self, sent_at: float, now: float) -> float:
        """Record a message and return its delay in seconds.

        Args:
            sent_at (float): When it was sent, in seconds on the peer's clock.
            now (float): Current time in seconds on this entry's clock.
        """
        offset_s = now - sent_at
        if now - self._window_started_at >= _WINDOW_S:
            self._window_started_at = now
            self._previous_least_offset_s = self._least_offset_s
            self._least_offset_s = offset_s
        self._least_offset_s = min(self._least_offset_s, offset_s)
        return offset_s - min(
            self._least_offset_s, self._previous_least_offset_s
        )
