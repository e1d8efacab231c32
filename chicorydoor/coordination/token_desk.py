"""Answers for tokens: to the own instances and to other failure domains.

An instance's waiting requests come first, then what it would like to hold.
What the own bucket lacks is borrowed. A lender keeps back what its own
instances will need soon.
"""

from collections import abc
import math

import msgspec

from chicorydoor.coordination import exchange as exchange_module
from chicorydoor.protocol import ids
from chicorydoor.protocol import names
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.state import token_ledger
from chicorydoor.transport import clock as clock_module

_PREFETCH_PART = 0.5
_BORROW_AHEAD_S = 0.12
_LENDER_RESERVE_S = 0.15
_DEMAND_KEPT_S = 2.0
_LEAST_BURST_TO_PREFETCH = 8.0
_ROUNDING = 1e-9


class _Demand(msgspec.Struct):
    """One holder's demand of a bucket.

    Args:
        per_s (float): Smoothed.
        missing (float): Tokens that it still lacks.
        at (float): When it was reported.
    """

    per_s: float
    missing: float
    at: float


class TokenDesk:
    """Grants, borrows and lends tokens for a coordinator.

    Args:
        ledger (TokenLedger): The own failure domain's buckets.
        exchange (Exchange): Asks other failure domains.
        clock (Clock): Time.
    """

    def __init__(
        self,
        ledger: token_ledger.TokenLedger,
        exchange: exchange_module.Exchange,
        clock: clock_module.Clock,
    ) -> None:
        self._ledger = ledger
        self._exchange = exchange
        self._clock = clock
        self._demand_by_bucket: dict[
            ids.BucketId, dict[ids.HolderId, _Demand]
        ] = {}
        self._unmet: dict[ids.BucketId, set[ids.InstanceId]] = {}

    def reset(self) -> None:
        """Forget all demands, on taking office."""
        self._demand_by_bucket.clear()
        self._unmet.clear()

    def take_unmet(
        self, buckets: abc.Iterable[ids.BucketId]
    ) -> list[ids.InstanceId]:
        """Instances whose requests wait for tokens of these buckets."""
        waiting: set[ids.InstanceId] = set()
        for bucket in buckets:
            waiting |= self._unmet.pop(bucket, set())
        return sorted(waiting)

    def answer(
        self,
        instance: ids.InstanceId,
        holder: ids.HolderId,
        report_by_bucket: abc.Mapping[ids.BucketId, pm.TokenReport],
        valid_s: float,
    ) -> dict[ids.BucketId, pm.TokenGrant]:
        """Answer an instance's reports.

        Args:
            instance (str): Who reports.
            holder (str): Under which its tokens are counted.
            report_by_bucket (Mapping): What it holds and wants.
            valid_s (float): How long its tokens may be spent.
        """
        grants: dict[ids.BucketId, pm.TokenGrant] = {}
        for bucket, report in report_by_bucket.items():
            self._ledger.report(bucket, holder, report.held, valid_s)
            grant = self._grant(instance, holder, bucket, report, valid_s)
            if grant != pm.TokenGrant():
                grants[bucket] = grant
        return grants

    def _grant(
        self,
        instance: ids.InstanceId,
        holder: ids.HolderId,
        bucket: ids.BucketId,
        report: pm.TokenReport,
        valid_s: float,
    ) -> pm.TokenGrant:
        if self._ledger.limit(bucket) is None:
            return pm.TokenGrant()
        granted = self._grant_own(holder, bucket, report, valid_s)
        ahead = math.floor(report.demand_per_s * _BORROW_AHEAD_S)
        missing = report.urgent - granted
        missing += max(0.0, ahead - report.held - report.lent)
        lent, lent_valid_s = self._borrow(bucket, holder, missing)
        missing = max(0.0, missing - lent)
        self._note(bucket, holder, report.demand_per_s, missing)
        retry_after_s = self._ask_others(bucket) if missing else 0.0
        unmet = report.urgent > granted + lent
        if unmet and not retry_after_s:
            self._unmet.setdefault(bucket, set()).add(instance)
        elif unmet:
            self._unmet.pop(bucket, None)
        else:
            retry_after_s = 0.0
        own_wait_s = self._ledger.retry_after(bucket)
        return pm.TokenGrant(
            granted, lent, lent_valid_s, min(retry_after_s, own_wait_s)
        )

    def _grant_own(
        self,
        holder: ids.HolderId,
        bucket: ids.BucketId,
        report: pm.TokenReport,
        valid_s: float,
    ) -> float:
        """From the own bucket: what is urgent, and some ahead."""
        take = self._ledger.take
        granted = take(bucket, holder, report.urgent, valid_s=valid_s)
        limit = self._ledger.limit(bucket)
        if limit is None or limit.burst < _LEAST_BURST_TO_PREFETCH:
            return granted
        wanted = report.target - report.held
        keep = self._ledger.tokens(bucket) * _PREFETCH_PART
        return granted + take(
            bucket, holder, wanted, valid_s=valid_s, reserve=keep
        )

    def _borrow(
        self, bucket: ids.BucketId, holder: ids.HolderId, missing: float
    ) -> tuple[float, float]:
        """Make whole tokens of what others lent and the own fraction.

        Returns:
            The tokens and for how many seconds they are valid.
        """
        lent = self._exchange.lent(bucket)
        own = self._ledger.tokens(bucket)
        whole = math.floor(min(missing, lent + own) + _ROUNDING)
        if whole <= 0 or lent <= 0:
            return 0.0, 0.0
        taken, valid_s = self._exchange.take_lent(bucket, min(lent, whole))
        if whole > taken:
            self._ledger.take(
                bucket, holder, whole - taken, valid_s=valid_s, is_whole=False
            )
        return float(whole), valid_s

    def _note(
        self,
        bucket: ids.BucketId,
        holder: ids.HolderId,
        per_s: float,
        missing: float,
    ) -> None:
        demands = self._demand_by_bucket.setdefault(bucket, {})
        demands[holder] = _Demand(per_s, missing, self._clock.now())

    def _demands(self, bucket: ids.BucketId) -> list[_Demand]:
        """Demands that were reported lately."""
        demands = self._demand_by_bucket.get(bucket, {})
        oldest = self._clock.now() - _DEMAND_KEPT_S
        for holder in [h for h, d in demands.items() if d.at < oldest]:
            del demands[holder]
        return list(demands.values())

    def _ask_others(self, bucket: ids.BucketId) -> float:
        """Seconds until tokens may be had, 0 if others were asked."""
        if names.is_link_bucket(bucket):
            return self._ledger.retry_after(bucket)
        missing = sum(demand.missing for demand in self._demands(bucket))
        missing -= self._ledger.tokens(bucket) + self._exchange.lent(bucket)
        return self._exchange.want_tokens(bucket, max(0.0, missing))

    def lend(
        self,
        domain: ids.DomainId,
        bucket: ids.BucketId,
        wanted: float,
        valid_s: float,
    ) -> pm.TokenGrant:
        """Lend tokens to another failure domain.

        Args:
            domain (str): Who asks.
            bucket (str): The bucket.
            wanted (float): Most tokens.
            valid_s (float): How long they may be spent.
        """
        holder = ids.HolderId(f"domain:{domain}")
        demand_per_s = sum(d.per_s for d in self._demands(bucket))
        reserve = demand_per_s * _LENDER_RESERVE_S
        granted = self._ledger.take(
            bucket,
            holder,
            wanted,
            valid_s=valid_s,
            reserve=reserve,
            is_whole=False,
        )
        return pm.TokenGrant(
            granted=granted,
            spare=self._ledger.tokens(bucket) - reserve,
            retry_after_s=self._ledger.retry_after(bucket, 1.0 + reserve),
        )
