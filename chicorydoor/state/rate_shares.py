"""Divides customers' rates among the entries, without any agreement.

Each entry announces its share of every customer's rate with its demand. A
share grows only into room that no announced share takes, and the share of
an entry that is not heard from stays reserved, on both sides of a cut. So
the sum stays at one, however the entries are cut off from each other, but
for the moment between two announcements.
"""

from collections import abc
import math
import typing

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving

# Part of each rate that is divided without regard to demand, so that an entry
# whose demand begins is not refused until shares have moved.
_EQUAL_PART = 0.25
# Rate that follows the demand, as a multiple of it: room for its noise.
_HEADROOM = 1.4
# Half-life of the demand that shares follow: long enough to smooth single
# requests, short enough to follow callers who move.
_DEMAND_HALF_LIFE_S = 3.0
# Part of a rate beyond which no entry has any of it to spare.
_NEARLY_ALL = 0.9
# Part of the tolerated overage that is planned with; the rest covers shares
# that move.
_PLANNED_OVERAGE = 0.7
# Whole numbers that announcements use for a whole rate, and for one request a
# second: finer than any decision needs.
_SHARE_UNITS = 1_000_000
_DEMAND_UNITS = 100
# Smaller moves are told with the next full report: a part of the last told
# share, well inside the overage that is not planned with.
_TOLD_SHARE_MOVE = 0.02
# Demand only says where shares should move; it may be told more coarsely.
_TOLD_DEMAND_MOVE = 0.25
_TOLD_DEMAND_LEAST_PER_S = 0.3


class RateReport(msgspec.Struct, frozen=True, array_like=True):
    """An announcement for one customer, in whole numbers to be short.

    Args:
        share_millionths (int): Part of the rate that is taken.
        demand_hundredths (int): Requests offered in 100 seconds.
    """

    share_millionths: int
    demand_hundredths: int

    @classmethod
    def of(cls, share: float, demand_per_s: float) -> "RateReport":
        """A report that never tells less than the share."""
        return cls(
            math.ceil(share * _SHARE_UNITS),
            round(demand_per_s * _DEMAND_UNITS),
        )

    @property
    def share(self) -> float:
        """Part of the rate, 0 to 1."""
        return self.share_millionths / _SHARE_UNITS

    @property
    def demand_per_s(self) -> float:
        """Requests offered per second."""
        return self.demand_hundredths / _DEMAND_UNITS

    def differs(self, told: "RateReport") -> bool:
        """Whether this should be told before the next full report."""
        moved = abs(self.share_millionths - told.share_millionths)
        if moved > _TOLD_SHARE_MOVE * told.share_millionths:
            return True
        demand = abs(self.demand_per_s - told.demand_per_s)
        return demand > max(
            _TOLD_DEMAND_LEAST_PER_S, _TOLD_DEMAND_MOVE * told.demand_per_s
        )


RateTable = dict[ids.CustomerId, RateReport]


class Reported(msgspec.Struct):
    """What some other entries have announced, added up.

    Args:
        members (int): How many they are.
        rate_by_customer (Mapping): None if they were never heard; they are
            then taken to hold their fair part.
        instance (str): The entry if it is a single one of the own region.
            Defaults to none.
    """

    members: int
    rate_by_customer: abc.Mapping[ids.CustomerId, RateReport] | None
    instance: ids.InstanceId | None = None


class FairParts(typing.Protocol):
    """Parts of a customer's rate as long as nobody has any demand."""

    def own(self, customer: serving.CustomerRule) -> float:
        """The own entry's part, 0 to 1."""

    def of(self, customer: serving.CustomerRule, others: Reported) -> float:
        """The part of some other entries, 0 to 1."""


class EqualParts:
    """Every entry has the same part.

    Args:
        entries (int): All entries.
    """

    def __init__(self, entries: int) -> None:
        self._entries = entries

    def own(self, customer: serving.CustomerRule) -> float:
        """The own entry's part, 0 to 1."""
        return 1.0 / self._entries

    def of(self, customer: serving.CustomerRule, others: Reported) -> float:
        """The part of some other entries, 0 to 1."""
        return others.members / self._entries


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
        self.customer: serving.CustomerRule | None = None
        self.share = 0.0
        self.tokens = 0.0
        self.filled_at = now
        self.demand_per_s = 0.0
        self.fleet_demand_per_s = 0.0
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
        self._fair: FairParts = EqualParts(1)
        self._told: RateTable = {}

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

    def is_in_demand(self, customer: serving.CustomerRule) -> bool:
        """Whether the fleet is offered about as much as the rate, or more."""
        bucket = self._bucket_by_customer.get(customer.customer_id)
        if bucket is None:
            return False
        return bucket.fleet_demand_per_s > _NEARLY_ALL * customer.rate_per_s

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

    def reports(self) -> RateTable:
        """What the entry announces, for all customers."""
        self._told = {
            customer_id: RateReport.of(bucket.share, bucket.demand_per_s)
            for customer_id, bucket in self._bucket_by_customer.items()
        }
        return dict(self._told)

    def moved_reports(self) -> RateTable:
        """What has moved since it was announced last."""
        moved: RateTable = {}
        for customer_id, bucket in self._bucket_by_customer.items():
            report = RateReport.of(bucket.share, bucket.demand_per_s)
            told = self._told.get(customer_id)
            if told is None or report.differs(told):
                moved[customer_id] = report
        self._told |= moved
        return moved

    def sums(self, others: abc.Sequence[Reported]) -> RateTable:
        """What this entry and some others hold together."""
        table: RateTable = {}
        for customer_id, bucket in self._bucket_by_customer.items():
            if bucket.customer is None:
                continue
            taken, demand = self._add_up(bucket.customer, others)
            table[customer_id] = RateReport.of(
                taken + bucket.share, demand + bucket.demand_per_s
            )
        return table

    def rebalance(
        self,
        customers: abc.Iterable[serving.CustomerRule],
        others: abc.Sequence[Reported],
        now: float,
        *,
        fair: FairParts | None = None,
        is_isolated: bool = False,
    ) -> None:
        """Move the shares towards the demand.

        Args:
            customers (Iterable): All customers with a rate.
            others (Sequence): The latest announcements of all other
                entries that may be alive, heard or not.
            now (float): Time.
            fair (FairParts): Parts of the rates without any demand.
                Defaults to equal parts of all entries.
            is_isolated (bool): Whether others may take the own share; it
                shrinks to its equal part. Defaults to False.
        """
        self._members = sum(each.members for each in others) + 1
        self._fair = fair or EqualParts(self._members)
        for customer in customers:
            bucket = self._bucket(customer.customer_id, now)
            self._fill(customer, bucket, now)
            self._measure_demand(bucket, now)
            bucket.customer = customer
            share = self._next_share(customer, bucket, others)
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
        customer: serving.CustomerRule,
        bucket: _Bucket,
        others: abc.Sequence[Reported],
    ) -> float:
        taken, demand = self._add_up(customer, others)
        demand += bucket.demand_per_s
        bucket.fleet_demand_per_s = demand
        fair = self._fair.own(customer)
        part = bucket.demand_per_s / demand if demand > 0 else fair
        # Far below the rate demand says little: a few requests more or less
        # would move the shares.
        used = _HEADROOM * demand / customer.rate_per_s
        fair_weight = max(_EQUAL_PART, 1.0 - used)
        wanted = fair_weight * fair + (1.0 - fair_weight) * part
        return min(wanted, max(0.0, 1.0 - taken))

    def _add_up(
        self,
        customer: serving.CustomerRule,
        others: abc.Sequence[Reported],
    ) -> tuple[float, float]:
        """Share and demand of other entries."""
        taken, demand, assumed = 0, 0, 0.0
        for each in others:
            table = each.rate_by_customer
            report = None
            if table is not None:
                report = table.get(customer.customer_id)
            if report is None:
                assumed += self._fair.of(customer, each)
            else:
                taken += report.share_millionths
                demand += report.demand_hundredths
        return taken / _SHARE_UNITS + assumed, demand / _DEMAND_UNITS
