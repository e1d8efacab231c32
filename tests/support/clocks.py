"""Clocks that a test sets by hand."""


class ManualClock:
    """A clock whose time is the attribute ``now_s``, in seconds."""

    def __init__(self):
        self.now_s = 0.0

    def now(self):
        return self.now_s

    def wall(self):
        return self.now_s
