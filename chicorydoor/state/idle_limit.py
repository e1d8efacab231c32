"""Idle time limit up to which connections to targets are reused.

A target may drop idle connections without notice, and the next request on
such a connection is reset; a request that must not be repeated is then lost.
After one such loss an entry no longer reuses connections that were idle
half as long or longer. It publishes the limit to its region peers, whose
connections are idle for long as well, because each one is used rarely.
"""

# Idle time that is still trusted, relative to the idle time of a lost
# connection.
_TRUSTED_FACTOR = 0.5
_MIN_LIMIT_S = 0.05
# Time after the latest loss, or after the latest limit of a peer, at which the
# limit expires, since every limit makes entries open more connections.
_LIMIT_TTL_S = 10.0


class IdleLimit:
    """Longest idle time after which an entry reuses a connection."""

    def __init__(self) -> None:
        self._own_limit_s = float("inf")
        self._own_expires_at = float("-inf")
        self._limit_s = float("inf")
        self._expires_at = float("-inf")

    def record_reset(self, idle_s: float, now: float) -> None:
        """Record a request that was reset at once on an idle connection.

        Args:
            idle_s (float): Idle time of the connection in seconds.
            now (float): Current time in seconds.
        """
        limit_s = max(_MIN_LIMIT_S, _TRUSTED_FACTOR * idle_s)
        if now < self._own_expires_at:
            limit_s = min(limit_s, self._own_limit_s)
        self._own_limit_s, self._own_expires_at = limit_s, now + _LIMIT_TTL_S
        self.apply_limit(limit_s, now)

    def apply_limit(self, limit_s: float | None, now: float) -> None:
        """Apply a limit, own or of a region peer; None if it has none."""
        if limit_s is None:
            return
        if now < self._expires_at:
            limit_s = min(limit_s, self._limit_s)
        self._limit_s, self._expires_at = limit_s, now + _LIMIT_TTL_S

    def limit_s(self, now: float) -> float:
        """Longest trusted idle time; infinite without a recent loss."""
        return self._limit_s if now < self._expires_at else float("inf")

    def own_limit_s(self, now: float) -> float | None:
        """Limit from own losses, to be published; None without a recent one.

        Limits of peers are left out, so that they are not passed on.
        """
        return self._own_limit_s if now < self._own_expires_at else None
