"""Reference models of rate limits: exact, as one bucket sees all requests."""


class GlobalTokenBucket:
    """One exact token bucket for the whole fleet."""

    def __init__(self, rate_per_s, burst):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at = None

    def try_acquire(self, at):
        if self._updated_at is not None:
            elapsed = at - self._updated_at
            self._tokens = min(
                self._burst, self._tokens + elapsed * self._rate_per_s
            )
        self._updated_at = at
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def count_admitted(times, rate_per_s, burst):
    """Number of requests that an exact global token bucket admits.

    ``times`` are in seconds, in any order.
    """
    bucket = GlobalTokenBucket(rate_per_s, burst)
    return sum(bucket.try_acquire(at) for at in sorted(times))


def burst_needed(times, rate_per_s):
    """Largest excess over the rate in any window, in requests.

    ``times`` are in seconds, in any order.
    """
    peak = 0.0
    excess = 0.0
    previous_at = None
    for at in sorted(times):
        if previous_at is not None:
            excess = max(0.0, excess - (at - previous_at) * rate_per_s)
        excess += 1.0
        previous_at = at
        peak = max(peak, excess)
    return peak
