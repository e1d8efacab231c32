"""Grants tokens to the own instances and lends them to other domains.

Own tokens go first to an instance's waiting requests, then to its prefetch.
Tokens that the own bucket lacks for waiting requests, or is about to lack for
the demand of the next ``_BORROW_AHEAD_S``, are borrowed from other failure
domains. A lender keeps a reserve that its own instances will need soon.
"""

from collections import abc
import math

import msgspec

from chicorydoor.coordination import domain_exchange
from chicorydoor.protocol import bucket_ids
from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import token_ledger
from chicorydoor.transport import clock as clock_module

_PREFETCH_RESERVE_SHARE = 0.5
_BORROW_AHEAD_S = 0.12
_LENDER_RESERVE_S = 0.15
_DEMAND_EXPIRY_S = 2.0
_MIN_BURST_TO_PREFETCH = 8.0
_ROUNDING_TOLERANCE = 1e-9


class _HolderDemand(msgspec.Struct):
    """One holder's demand for tokens of a bucket.

    Args:
        demand_per_s (float): Smoothed demand, in tokens per second.
        missing (float): Tokens that it still lacks, for waiting requests and
            for the demand of the next ``_BORROW_AHEAD_S``.
        reported_at (float): When it was reported, in seconds.
    """

    demand_per_s: float
    missing: float
    reported_at: float


class TokenLender:
    """Grants, borrows and lends tokens for a coordinator.

    Args:
        ledger (TokenLedger): Buckets of the own failure domain.
        exchange (DomainExchange): Requests tokens from other failure domains.
        clock (Clock): Monotonic time.
    """

    def __init__(
        self,
        ledger: token_ledger.TokenLedger,
        exchange: domain_exchange.DomainExchange,
        clock: clock_module.Clock,
    ) -> None:
        self._ledger = ledger
        self._exchange = exchange
        self._clock = clock
        self._demand_by_bucket: dict[
            ids.BucketId, dict[ids.GrantHolderId, _HolderDemand]
        ] = {}
        self._waiting_by_bucket: dict[ids.BucketId, set[ids.InstanceId]] = {}

    def reset(self) -> None:
        """Remove all demands, at the start of a coordinator term."""
        self._demand_by_bucket.clear()
        self._waiting_by_bucket.clear()

    def remove_waiting_instances(
        self, buckets: abc.Iterable[ids.BucketId]
    ) -> list[ids.InstanceId]:
        """Remove and return the instances that wait for these buckets."""
        waiting: set[ids.InstanceId] = set()
        for bucket in buckets:
            waiting |= self._waiting_by_bucket.pop(bucket, set())
        return sorted(waiting)

    def grant_tokens(
        self,
        instance: ids.InstanceId,
        holder: ids.GrantHolderId,
        report_by_bucket: abc.Mapping[ids.BucketId, pm.TokenReport],
        valid_s: float,
    ) -> dict[ids.BucketId, pm.TokenGrant]:
        """Grant tokens for an instance's reports.

        Args:
            instance (str): The instance that reports.
            holder (str): Id under which its tokens are counted.
            report_by_bucket (Mapping): What it holds and wants.
            valid_s (float): How long its tokens may be spent.

        Returns:
            The grants by bucket, without empty ones.
        """
        grants: dict[ids.BucketId, pm.TokenGrant] = {}
        for bucket, report in report_by_bucket.items():
            self._ledger.replace_grants(bucket, holder, report.held, valid_s)
            grant = self._grant(instance, holder, bucket, report, valid_s)
            if grant != pm.TokenGrant():
                grants[bucket] = grant
        return grants

    def _grant(
        self,
        instance: ids.InstanceId,
        holder: ids.GrantHolderId,
        bucket: ids.BucketId,
        report: pm.TokenReport,
        valid_s: float,
    ) -> pm.TokenGrant:
        if self._ledger.limit(bucket) is None:
            return pm.TokenGrant()
        granted = self._grant_from_own_bucket(holder, bucket, report, valid_s)
        lookahead = math.floor(report.demand_per_s * _BORROW_AHEAD_S)
        missing = report.urgent - granted
        missing += max(0.0, lookahead - report.held - report.lent)
        borrowed, borrowed_valid_s = self._grant_borrowed(
            bucket, holder, missing
        )
        missing = max(0.0, missing - borrowed)
        self._record_demand(bucket, holder, report.demand_per_s, missing)
        retry_after_s = (
            self._request_missing_tokens(bucket) if missing else 0.0
        )
        is_short = report.urgent > granted + borrowed
        if is_short and not retry_after_s:
            self._waiting_by_bucket.setdefault(bucket, set()).add(instance)
        elif is_short:
            self._waiting_by_bucket.pop(bucket, None)
        else:
            retry_after_s = 0.0
        # The caller may retry once other domains may have tokens again or the
        # own bucket has one, whichever comes first.
        own_wait_s = self._ledger.seconds_until_tokens(bucket)
        return pm.TokenGrant(
            granted, borrowed, borrowed_valid_s, min(retry_after_s, own_wait_s)
        )

    def _grant_from_own_bucket(
        self,
        holder: ids.GrantHolderId,
        bucket: ids.BucketId,
        report: pm.TokenReport,
        valid_s: float,
    ) -> float:
        """Grant tokens for waiting requests and some for prefetch.

        Small buckets grant none of their own tokens for prefetch.
        """
        acquire = self._ledger.grant
        granted = acquire(bucket, holder, report.urgent, valid_s=valid_s)
        limit = self._ledger.limit(bucket)
        if limit is None or limit.burst < _MIN_BURST_TO_PREFETCH:
            return granted
        wanted = report.target - report.held
        reserve = self._ledger.tokens(bucket) * _PREFETCH_RESERVE_SHARE
        return granted + acquire(
            bucket, holder, wanted, valid_s=valid_s, reserve=reserve
        )

    def _grant_borrowed(
        self, bucket: ids.BucketId, holder: ids.GrantHolderId, missing: float
    ) -> tuple[float, float]:
        """Grant whole tokens made of borrowed ones and a remainder of own.

        Nothing is granted if there are no borrowed tokens.

        Returns:
            The tokens and for how many seconds they are valid.
        """
        available = self._exchange.borrowed_tokens(bucket)
        own = self._ledger.tokens(bucket)
        whole = math.floor(min(missing, available + own) + _ROUNDING_TOLERANCE)
        if whole <= 0 or available <= 0:
            return 0.0, 0.0
        borrowed, valid_s = self._exchange.acquire_borrowed(
            bucket, min(available, whole)
        )
        if whole > borrowed:
            self._ledger.grant(
                bucket,
                holder,
                whole - borrowed,
                valid_s=valid_s,
                round_down=False,
            )
        return float(whole), valid_s

    def _record_demand(
        self,
        bucket: ids.BucketId,
        holder: ids.GrantHolderId,
        demand_per_s: float,
        missing: float,
    ) -> None:
        demands = self._demand_by_bucket.setdefault(bucket, {})
        demands[holder] = _HolderDemand(
            demand_per_s, missing, self._clock.now()
        )

    def _recent_demands(self, bucket: ids.BucketId) -> list[_HolderDemand]:
        """Remove expired demands of a bucket and return the others."""
        demands = self._demand_by_bucket.get(bucket, {})
        oldest = self._clock.now() - _DEMAND_EXPIRY_S
        for holder in [
            h for h, d in demands.items() if d.reported_at < oldest
        ]:
            del demands[holder]
        return list(demands.values())

    def _request_missing_tokens(self, bucket: ids.BucketId) -> float:
        """Request missing tokens from other domains.

        Tokens of a link can't be borrowed.

        Returns:
            Seconds until tokens may be available, 0 if domains were asked.
        """
        if bucket_ids.is_link_bucket(bucket):
            return self._ledger.seconds_until_tokens(bucket)
        missing = sum(
            demand.missing for demand in self._recent_demands(bucket)
        )
        missing -= self._ledger.tokens(
            bucket
        ) + self._exchange.borrowed_tokens(bucket)
        return self._exchange.request_tokens(bucket, max(0.0, missing))

    def lend(
        self,
        domain: ids.DomainId,
        bucket: ids.BucketId,
        wanted: float,
        valid_s: float,
    ) -> pm.TokenGrant:
        """Lend tokens to another failure domain.

        Args:
            domain (str): The domain that asks.
            bucket (str): The bucket.
            wanted (float): Most tokens to lend.
            valid_s (float): How long they may be spent.

        Returns:
            The tokens lent, those spare above the reserve (below 0 if it is
            short), and seconds until a retry.
        """
        holder = ids.GrantHolderId(f"domain:{domain}")
        demand_per_s = sum(
            d.demand_per_s for d in self._recent_demands(bucket)
        )
        reserve = demand_per_s * _LENDER_RESERVE_S
        granted = self._ledger.grant(
            bucket,
            holder,
            wanted,
            valid_s=valid_s,
            reserve=reserve,
            round_down=False,
        )
        return pm.TokenGrant(
            granted=granted,
            spare=self._ledger.tokens(bucket) - reserve,
            retry_after_s=self._ledger.seconds_until_tokens(
                bucket, 1.0 + reserve
            ),
        )
