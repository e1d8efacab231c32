"""Ledger of a failure domain's token buckets, granted to holders.

The coordinator of a failure domain keeps the domain's part of every bucket.
Holders are the domain's instances and other failure domains; they spend
tokens that were taken out of the bucket beforehand. A grant counts against
the burst until it has expired or its holder has reported it as spent. So the
tokens in the bucket plus the tokens that a holder may still spend never
exceed the burst, whatever messages are lost and whatever processes restart,
and admissions over any window stay within ``rate * window + burst``.

Example:
    >>> class Manual:
    ...     t = 0.0
    ...     def now(self): return self.t
    >>> clock = Manual()
    >>> ledger = TokenLedger(clock)
    >>> ledger.configure({"acme": BucketLimit(rate_per_s=10, burst=5)})
    >>> clock.t = 0.2
    >>> ledger.grant("acme", "entry-1", 4, valid_s=1.0)
    2.0
"""

from collections import abc
import math

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.transport import clock as clock_module

_EPSILON = 1e-9


class BucketLimit(msgspec.Struct, frozen=True):
    """Rate and burst of a bucket, in tokens per second and tokens.

    A token stands for a request or a byte (see ``bucket_ids``).
    """

    rate_per_s: float
    burst: float


class _Grant(msgspec.Struct):
    """Tokens that a holder may still spend."""

    amount: float
    expires_at: float


class _Bucket:
    """One token bucket with its outstanding grants; empty at first."""

    def __init__(self, limit: BucketLimit, now: float) -> None:
        self.limit = limit
        self.tokens = 0.0
        self._updated_at = now
        self._grants_by_holder: dict[ids.GrantHolderId, list[_Grant]] = {}

    def refill(self, now: float) -> None:
        """Add accrued tokens, up to the burst less the outstanding tokens."""
        elapsed = now - self._updated_at
        self._updated_at = now
        self.tokens += elapsed * self.limit.rate_per_s
        room = self.limit.burst - self.outstanding(now)
        self.tokens = max(0.0, min(self.tokens, room))

    def outstanding(self, now: float) -> float:
        """Granted tokens that holders may still spend."""
        total = 0.0
        for holder in list(self._grants_by_holder):
            grants = self._grants_by_holder[holder]
            grants[:] = [g for g in grants if g.expires_at > now]
            if not grants:
                del self._grants_by_holder[holder]
            total += sum(grant.amount for grant in grants)
        return total

    def grant_states(self, now: float) -> list[pm.OutstandingTokens]:
        return [
            pm.OutstandingTokens(holder, grant.amount, grant.expires_at - now)
            for holder, grants in self._grants_by_holder.items()
            for grant in grants
            if grant.expires_at > now
        ]

    def load(self, state: pm.BucketState, now: float) -> None:
        self.tokens = state.tokens
        self._updated_at = now
        self._grants_by_holder = {}
        for grant in state.grants:
            expires_at = now + grant.remaining_s
            self._grants_by_holder.setdefault(grant.holder, []).append(
                _Grant(grant.amount, expires_at)
            )

    def grant(self, holder: ids.GrantHolderId, grant: _Grant) -> None:
        self.tokens -= grant.amount
        self._grants_by_holder.setdefault(holder, []).append(grant)

    def replace_grants(self, holder: ids.GrantHolderId, grant: _Grant) -> None:
        self._grants_by_holder[holder] = [grant]


class TokenLedger:
    """Token buckets by id.

    Args:
        clock (Clock): Source of the time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._bucket_by_id: dict[ids.BucketId, _Bucket] = {}

    def configure(
        self, limit_by_bucket: abc.Mapping[ids.BucketId, BucketLimit]
    ) -> None:
        """Set the limits; new buckets are empty, others keep their tokens.

        Args:
            limit_by_bucket (Mapping): All buckets; others are removed.
        """
        now = self._clock.now()
        for bucket_id in self._bucket_by_id.keys() - limit_by_bucket.keys():
            del self._bucket_by_id[bucket_id]
        for bucket_id, limit in limit_by_bucket.items():
            bucket = self._bucket_by_id.get(bucket_id)
            if bucket is None:
                self._bucket_by_id[bucket_id] = _Bucket(limit, now)
            elif bucket.limit != limit:
                bucket.refill(now)
                bucket.limit = limit
                bucket.refill(now)

    def export(self) -> dict[ids.BucketId, pm.BucketState]:
        """Export tokens and grants for the next coordinator."""
        now = self._clock.now()
        states: dict[ids.BucketId, pm.BucketState] = {}
        for bucket_id, bucket in self._bucket_by_id.items():
            bucket.refill(now)
            states[bucket_id] = pm.BucketState(
                bucket.tokens, bucket.grant_states(now)
            )
        return states

    def load(
        self, state_by_bucket: abc.Mapping[ids.BucketId, pm.BucketState]
    ) -> None:
        """Load the export of a predecessor that no longer grants tokens."""
        now = self._clock.now()
        for bucket_id, state in state_by_bucket.items():
            bucket = self._bucket_by_id.get(bucket_id)
            if bucket is not None:
                bucket.load(state, now)

    def reset(self) -> None:
        """Remove all buckets with their tokens and grants.

        Called when this entry acquires the coordinator lease.
        """
        self._bucket_by_id.clear()

    def replace_grants(
        self,
        bucket_id: ids.BucketId,
        holder: ids.GrantHolderId,
        held: float,
        valid_s: float,
    ) -> None:
        """Replace a holder's grants by the tokens that it reports to hold.

        Args:
            bucket_id (str): The bucket.
            holder (str): The reporting holder; no grant to it may be in
                flight.
            held (float): Tokens that it holds.
            valid_s (float): Seconds for which it may spend them from now on.
        """
        bucket = self._bucket_by_id.get(bucket_id)
        if bucket is None:
            return
        now = self._clock.now()
        bucket.refill(now)
        bucket.replace_grants(holder, _Grant(held, now + valid_s))

    def grant(
        self,
        bucket_id: ids.BucketId,
        holder: ids.GrantHolderId,
        wanted: float,
        *,
        valid_s: float,
        reserve: float = 0.0,
        round_down: bool = True,
    ) -> float:
        """Grant tokens to a holder.

        Args:
            bucket_id (str): The bucket.
            holder (str): Who may spend the tokens.
            wanted (float): Upper bound of the granted tokens.
            valid_s (float): Seconds for which the holder may spend them.
            reserve (float): Tokens that stay in the bucket. Defaults to 0.
            round_down (bool): Whether to round the grant down to whole tokens
                even if all wanted tokens are available; a smaller grant is
                always rounded down. Defaults to True.

        Returns:
            The tokens granted, 0 if there are none.
        """
        bucket = self._bucket_by_id.get(bucket_id)
        if bucket is None or wanted <= 0:
            return 0.0
        now = self._clock.now()
        bucket.refill(now)
        available = max(0.0, bucket.tokens - reserve)
        granted = wanted
        if round_down or available < wanted:
            granted = float(math.floor(min(wanted, available) + _EPSILON))
        if granted > 0:
            bucket.grant(holder, _Grant(granted, now + valid_s))
        return granted

    def tokens(self, bucket_id: ids.BucketId) -> float:
        """Tokens in a bucket now."""
        bucket = self._bucket_by_id.get(bucket_id)
        if bucket is None:
            return 0.0
        bucket.refill(self._clock.now())
        return bucket.tokens

    def limit(self, bucket_id: ids.BucketId) -> BucketLimit | None:
        """Limits of a bucket, or None if there is no such bucket."""
        bucket = self._bucket_by_id.get(bucket_id)
        return bucket.limit if bucket else None

    def seconds_until_tokens(
        self, bucket_id: ids.BucketId, wanted: float = 1.0
    ) -> float:
        """Seconds until a bucket holds a number of tokens, by default one.

        1 if there is no such bucket, or if it is never refilled.
        """
        bucket = self._bucket_by_id.get(bucket_id)
        if bucket is None or bucket.limit.rate_per_s <= 0:
            return 1.0
        missing = max(0.0, wanted - self.tokens(bucket_id))
        return missing / bucket.limit.rate_per_s
