"""Clocks that tests move."""


class ManualClock:
    """Time that a test moves."""

    def __init__(self):
        self.at = 0.0

    def now(self):
        return self.at

    def wall(self):
        return self.at
