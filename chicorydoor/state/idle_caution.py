"""How long connections to targets may rest before they are used again.

Pattern: a target drops idle connections without notice, and whatever is sent
next is reset; a request that must not be repeated is then lost. One such loss
makes an entry distrust connections that rested nearly as long, and it tells
its region, whose entries use each connection rarely.
"""

# Resting time that is still trusted, relative to one after which a
# connection was lost.
_TRUSTED_PART = 0.5
_LEAST_S = 0.05
# A loss is remembered this long; it costs connections, so not for ever.
_KEPT_S = 10.0


class IdleCaution:
    """Longest rest of a connection that an entry trusts."""

    def __init__(self) -> None:
        self._own_limit_s = float("inf")
        self._own_until = float("-inf")
        self._limit_s = float("inf")
        self._until = float("-inf")

    def note_loss(self, rested_s: float, now: float) -> None:
        """A request was reset at once on a connection that had rested."""
        limit_s = max(_LEAST_S, _TRUSTED_PART * rested_s)
        if now < self._own_until:
            limit_s = min(limit_s, self._own_limit_s)
        self._own_limit_s, self._own_until = limit_s, now + _KEPT_S
        self.hear(limit_s, now)

    def hear(self, limit_s: float | None, now: float) -> None:
        """Take in the limit of another entry, if it has one."""
        if limit_s is None:
            return
        if now < self._until:
            limit_s = min(limit_s, self._limit_s)
        self._limit_s, self._until = limit_s, now + _KEPT_S

    def limit_s(self, now: float) -> float:
        """Longest rest in seconds; infinite without any loss lately."""
        return self._limit_s if now < self._until else float("inf")

    def own_limit_s(self, now: float) -> float | None:
        """What to tell others: the limit from own losses; None without."""
        return self._own_limit_s if now < self._own_until else None
