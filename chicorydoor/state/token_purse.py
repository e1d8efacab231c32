"""Tokens that an instance holds and may spend without asking.

Example:
    >>> class Manual:
    ...     t = 0.0
    ...     def now(self): return self.t
    >>> clock = Manual()
    >>> purse = TokenPurse(clock)
    >>> purse.add("acme", 1, expires_at=1.0)
    >>> purse.spend("acme"), purse.spend("acme")
    (True, False)
"""

import collections

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.transport import clock as clock_module

_DEMAND_TIME_CONSTANT_S = 1.0


class _Holding(msgspec.Struct):
    """Tokens of one bucket."""

    amount: float = 0.0
    expires_at: float = 0.0
    lent: list[tuple[float, float]] = []
    asked: float = 0.0


class TokenPurse:
    """Tokens by bucket; each use checks their expiry.

    Args:
        clock (Clock): Time; a boot-time clock, so that a pause expires
            tokens.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._holding_by_bucket: dict[ids.BucketId, _Holding] = (
            collections.defaultdict(_Holding)
        )
        self._decayed_at = clock.now()

    def add(
        self, bucket_id: ids.BucketId, amount: float, expires_at: float
    ) -> None:
        """Add tokens and renew those held until the same time."""
        holding = self._holding_by_bucket[bucket_id]
        if holding.expires_at <= self._clock.now():
            holding.amount = 0.0
        holding.amount += amount
        holding.expires_at = expires_at

    def add_lent(
        self, bucket_id: ids.BucketId, amount: float, expires_at: float
    ) -> None:
        """Add tokens that other failure domains lent."""
        lots = self._holding_by_bucket[bucket_id].lent
        lots.append((expires_at, amount))
        lots.sort()

    def spend(self, bucket_id: ids.BucketId, amount: float = 1.0) -> bool:
        """Take tokens out; False if there are not enough."""
        holding = self._holding_by_bucket[bucket_id]
        now = self._clock.now()
        if self._spend_lent(holding, amount, now):
            return True
        if holding.amount >= amount and holding.expires_at > now:
            holding.amount -= amount
            return True
        return False

    def _spend_lent(
        self, holding: _Holding, amount: float, now: float
    ) -> bool:
        """Spend from the lot that expires first."""
        while holding.lent and holding.lent[0][0] <= now:
            holding.lent.pop(0)
        if not holding.lent or holding.lent[0][1] < amount:
            return False
        expires_at, left = holding.lent.pop(0)
        if left > amount:
            holding.lent.insert(0, (expires_at, left - amount))
        return True

    def lent(self, bucket_id: ids.BucketId) -> float:
        """Tokens of other failure domains that may still be spent."""
        holding = self._holding_by_bucket.get(bucket_id)
        if holding is None:
            return 0.0
        now = self._clock.now()
        return sum(amount for at, amount in holding.lent if at > now)

    def note_demand(self, bucket_id: ids.BucketId, amount: float) -> None:
        """Count tokens that were asked for, granted or not."""
        self._holding_by_bucket[bucket_id].asked += amount

    def demand_per_s(self, bucket_id: ids.BucketId) -> float:
        """Smoothed demand."""
        holding = self._holding_by_bucket.get(bucket_id)
        return holding.asked / _DEMAND_TIME_CONSTANT_S if holding else 0.0

    def decay(self) -> None:
        """Let the smoothed demand fade; called at each report."""
        now = self._clock.now()
        elapsed = now - self._decayed_at
        self._decayed_at = now
        factor = max(0.0, 1.0 - elapsed / _DEMAND_TIME_CONSTANT_S)
        for holding in self._holding_by_bucket.values():
            holding.asked *= factor

    def held(self) -> dict[ids.BucketId, float]:
        """Tokens of the own failure domain that may still be spent."""
        now = self._clock.now()
        return {
            bucket_id: holding.amount
            for bucket_id, holding in self._holding_by_bucket.items()
            if holding.expires_at > now and holding.amount > 0
        }

    def active(self) -> list[ids.BucketId]:
        """Buckets with recent demand."""
        return [
            bucket_id
            for bucket_id, holding in self._holding_by_bucket.items()
            if holding.asked > 0.01
        ]
