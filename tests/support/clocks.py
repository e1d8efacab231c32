"""Clocks that a test sets by hand."""


class ManualClock:
    """A clock whose time is the attribute ``at``, in seconds."""

    def __init__(self):
        self.at = 0.0

    def now(self):
        return self.at

    def wall(self):
        return self.at
