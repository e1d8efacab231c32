"""Naive versions that are right by being slow and central."""


class GlobalBucket:
    """One exact token bucket for the whole fleet."""

    def __init__(self, rate_per_s, burst):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._at = None

    def admit(self, at):
        if self._at is not None:
            elapsed = at - self._at
            self._tokens = min(
                self._burst, self._tokens + elapsed * self._rate_per_s
            )
        self._at = at
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def count_admitted(times, rate_per_s, burst):
    """Requests that the global bucket admits."""
    bucket = GlobalBucket(rate_per_s, burst)
    return sum(bucket.admit(at) for at in sorted(times))


def burst_needed(times, rate_per_s):
    """Largest excess over the rate in any window, in requests."""
    most = 0.0
    level = 0.0
    previous = None
    for at in sorted(times):
        if previous is not None:
            level = max(0.0, level - (at - previous) * rate_per_s)
        level += 1.0
        previous = at
        most = max(most, level)
    return most
