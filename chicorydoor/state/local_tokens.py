"""Local tokens: granted to an instance, which spends them without a message.

A token stands for a request or a byte, depending on the bucket (see
``bucket_ids``).

Example:
    >>> class Manual:
    ...     t = 0.0
    ...     def now(self): return self.t
    >>> clock = Manual()
    >>> tokens = LocalTokens(clock)
    >>> tokens.add_granted("acme", 1, expires_at=1.0)
    >>> tokens.acquire("acme"), tokens.acquire("acme")
    (True, False)
"""

import collections

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.transport import clock as clock_module

# ``decay_demand`` reduces the demand by the elapsed time as a part of this.
_DEMAND_TIME_CONSTANT_S = 1.0


class _Holding(msgspec.Struct):
    """Tokens and demand of one bucket.

    Args:
        granted (float): Tokens granted by the own failure domain. Defaults
            to 0.
        expires_at (float): Time until which ``granted`` may be spent.
            Defaults to 0.
        lent (list): Expiry and amount of each loan of another failure
            domain, by expiry. Defaults to none.
        demand (float): Decaying sum of the requested tokens. Defaults to 0.
    """

    granted: float = 0.0
    expires_at: float = 0.0
    lent: list[tuple[float, float]] = []
    demand: float = 0.0


class LocalTokens:
    """Local tokens by bucket; each use checks the expiry.

    Args:
        clock (Clock): Source of the time; a boot-time clock, so that tokens
            also expire while the process is paused.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._holding_by_bucket: dict[ids.BucketId, _Holding] = (
            collections.defaultdict(_Holding)
        )
        self._decayed_at = clock.now()

    def add_granted(
        self, bucket_id: ids.BucketId, amount: float, expires_at: float
    ) -> None:
        """Add granted tokens and extend unexpired ones to the same expiry."""
        holding = self._holding_by_bucket[bucket_id]
        if holding.expires_at <= self._clock.now():
            holding.granted = 0.0
        holding.granted += amount
        holding.expires_at = expires_at

    def add_lent(
        self, bucket_id: ids.BucketId, amount: float, expires_at: float
    ) -> None:
        """Add tokens that another failure domain lent."""
        loans = self._holding_by_bucket[bucket_id].lent
        loans.append((expires_at, amount))
        loans.sort()

    def acquire(self, bucket_id: ids.BucketId, amount: float = 1.0) -> bool:
        """Spend tokens; False if there are not enough.

        They are taken from the loan that expires first, or else from the
        granted tokens; the amounts of both are not combined.
        """
        holding = self._holding_by_bucket[bucket_id]
        now = self._clock.now()
        if self._spend_lent(holding, amount, now):
            return True
        if holding.granted >= amount and holding.expires_at > now:
            holding.granted -= amount
            return True
        return False

    def _spend_lent(
        self, holding: _Holding, amount: float, now: float
    ) -> bool:
        """Spend from the loan that expires first, if that is enough."""
        while holding.lent and holding.lent[0][0] <= now:
            holding.lent.pop(0)
        if not holding.lent or holding.lent[0][1] < amount:
            return False
        expires_at, remaining = holding.lent.pop(0)
        if remaining > amount:
            holding.lent.insert(0, (expires_at, remaining - amount))
        return True

    def lent_tokens(self, bucket_id: ids.BucketId) -> float:
        """Lent tokens that may still be spent."""
        holding = self._holding_by_bucket.get(bucket_id)
        if holding is None:
            return 0.0
        now = self._clock.now()
        return sum(amount for at, amount in holding.lent if at > now)

    def record_demand(self, bucket_id: ids.BucketId, amount: float) -> None:
        """Record requested tokens, whether they are available or not."""
        self._holding_by_bucket[bucket_id].demand += amount

    def demand_per_s(self, bucket_id: ids.BucketId) -> float:
        """Smoothed demand in tokens per second."""
        holding = self._holding_by_bucket.get(bucket_id)
        return holding.demand / _DEMAND_TIME_CONSTANT_S if holding else 0.0

    def decay_demand(self) -> None:
        """Decay the smoothed demand by the time since the last call.

        Called at each report.
        """
        now = self._clock.now()
        elapsed = now - self._decayed_at
        self._decayed_at = now
        factor = max(0.0, 1.0 - elapsed / _DEMAND_TIME_CONSTANT_S)
        for holding in self._holding_by_bucket.values():
            holding.demand *= factor

    def granted_tokens(self) -> dict[ids.BucketId, float]:
        """Tokens of the own failure domain that may still be spent."""
        now = self._clock.now()
        return {
            bucket_id: holding.granted
            for bucket_id, holding in self._holding_by_bucket.items()
            if holding.expires_at > now and holding.granted > 0
        }

    def buckets_in_demand(self) -> list[ids.BucketId]:
        """Buckets with recent demand."""
        return [
            bucket_id
            for bucket_id, holding in self._holding_by_bucket.items()
            if holding.demand > 0.01  # Tokens.
        ]
