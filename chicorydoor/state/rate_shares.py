"""Divides customers' rates among the entries, without any agreement.

Each entry announces its share of every customer's rate with its demand. A
share grows only into room that no announced share takes, and the share of
an entry that is not heard from stays reserved, on both sides of a cut. So
the sum stays at one, however the entries are cut off from each other, but
for the moment between two announcements.
"""

from collections import abc

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving

# Part of each rate that is divided equally, so that an entry whose demand
# begins is not refused until shares have moved.
_EQUAL_PART = 0.25
# Half-life of the demand that shares follow: long enough to smooth single
# requests, short enough to follow callers who move.
_DEMAND_HALF_LIFE_S = 3.0
# Part of the tolerated overage that is planned with; the rest covers shares
# that move.
_PLANNED_OVERAGE = 0.7


class RateReport(msgspec.Struct, frozen=True, array_like=True):
    """An entry's announcement for one customer.

    Args:
        share (float): Its part of the rate, 0 to 1.
        demand_per_s (float): Requests offered to it.
    """

    share: float
    demand_per_s: float


class RateAllowance(msgspec.Struct, frozen=True):
    """What the promise tolerates beyond rate and burst.

    Args:
        overage (float): Factor on a window's limit.
        slack (float): Requests beyond that in a window, fleet-wide.
    """

    overage: float
    slack: float


class _Bucket:
    """One customer at one entry."""

    def __init__(self, now: float) -> None:
        self.share = 0.0
        self.tokens = 0.0
        self.filled_at = now
        self.demand_per_s = 0.0
        self.counted = 0
        self.counted_at = now


class RateShares:
    """One entry's shares and buckets.

    Args:
        allowance (RateAllowance): Tolerated excess.
    """

    def __init__(self, allowance: RateAllowance) -> None:
        self._allowance = allowance
        self._bucket_by_customer: dict[ids.CustomerId, _Bucket] = {}
        self._members = 1

    def _bucket(self, customer_id: ids.CustomerId, now: float) -> _Bucket:
        bucket = self._bucket_by_customer.get(customer_id)
        if bucket is None:
            bucket = _Bucket(now)
            self._bucket_by_customer[customer_id] = bucket
        return bucket

    def take(self, customer: serving.CustomerRule, now: float) -> float:
        """Count a request and take a token for it.

        Returns:
            0 if there was a token, else the seconds until there is one.
        """
        if customer.rate_per_s <= 0:
            return 0.0
        bucket = self._bucket(customer.customer_id, now)
        bucket.counted += 1
        self._fill(customer, bucket, now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0.0
        rate = self._rate(customer, bucket)
        return (1.0 - bucket.tokens) / max(rate, 1e-3)

    def give_back(self, customer: serving.CustomerRule, now: float) -> None:
        """Return the token of a request that did not run."""
        if customer.rate_per_s > 0:
            self._bucket(customer.customer_id, now).tokens += 1.0

    def share(self, customer_id: ids.CustomerId) -> float:
        """This entry's part of a customer's rate, 0 to 1."""
        bucket = self._bucket_by_customer.get(customer_id)
        return bucket.share if bucket is not None else 0.0

    def _rate(self, customer: serving.CustomerRule, bucket: _Bucket) -> float:
        overage = 1.0 + _PLANNED_OVERAGE * self._allowance.overage
        return customer.rate_per_s * overage * bucket.share

    def _fill(
        self, customer: serving.CustomerRule, bucket: _Bucket, now: float
    ) -> None:
        slack = _PLANNED_OVERAGE * self._allowance.slack / self._members
        room = customer.burst * bucket.share + slack
        gained = (now - bucket.filled_at) * self._rate(customer, bucket)
        bucket.tokens = min(room, bucket.tokens + gained)
        bucket.filled_at = now

    def reports(self) -> dict[ids.CustomerId, RateReport]:
        """What the entry announces."""
        return {
            customer_id: RateReport(bucket.share, bucket.demand_per_s)
            for customer_id, bucket in self._bucket_by_customer.items()
        }

    def rebalance(
        self,
        customers: abc.Iterable[serving.CustomerRule],
        peers: abc.Sequence[abc.Mapping[ids.CustomerId, RateReport] | None],
        now: float,
        is_isolated: bool = False,
    ) -> None:
        """Move the shares towards the demand.

        Args:
            customers (Iterable): All customers with a rate.
            peers (Sequence): The latest announcement of each other entry
                that may be alive, heard or not; None for one that was
                never heard.
            now (float): Time.
            is_isolated (bool): Whether nobody may still reserve the own
                share; it shrinks to its equal part. Defaults to False.
        """
        self._members = len(peers) + 1
        for customer in customers:
            bucket = self._bucket(customer.customer_id, now)
            self._fill(customer, bucket, now)
            self._measure_demand(bucket, now)
            share = self._next_share(customer.customer_id, bucket, peers)
            if is_isolated:
                share = min(share, _EQUAL_PART / self._members)
            bucket.share = share

    def _measure_demand(self, bucket: _Bucket, now: float) -> None:
        elapsed_s = now - bucket.counted_at
        if elapsed_s <= 0:
            return
        kept = 0.5 ** (elapsed_s / _DEMAND_HALF_LIFE_S)
        latest = bucket.counted / elapsed_s
        bucket.demand_per_s = kept * bucket.demand_per_s + (1 - kept) * latest
        bucket.counted = 0
        bucket.counted_at = now

    def _next_share(
        self,
        customer_id: ids.CustomerId,
        bucket: _Bucket,
        peers: abc.Sequence[abc.Mapping[ids.CustomerId, RateReport] | None],
    ) -> float:
        equal = 1.0 / self._members
        taken = 0.0
        demand = bucket.demand_per_s
        for reports in peers:
            report = None if reports is None else reports.get(customer_id)
            taken += equal if report is None else report.share
            demand += 0.0 if report is None else report.demand_per_s
        part = bucket.demand_per_s / demand if demand > 0 else equal
        wanted = _EQUAL_PART * equal + (1 - _EQUAL_PART) * part
        return min(wanted, max(0.0, 1.0 - taken))
