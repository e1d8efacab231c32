"""Divides customers' rates among the entries without a consensus protocol.

Each entry announces its rate share of every customer together with its
demand. A share grows only into the part of the rate that no announced share
takes, and the share of an entry that falls silent stays reserved on both
sides of a network partition, until the entry is removed from the fleet view.
So the sum of the shares is at most 1 under any partition, except in the time
between two announcements and after a removal. As an entry that is cut off may
be removed while it still runs, it caps its share (``is_isolated``).
"""

import collections
from collections import abc
import math
import typing

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config

# Least part of each rate that is divided without regard to demand, so that an
# entry whose demand begins is not refused until the shares have moved. The
# part is larger while demand is low.
_MIN_FAIR_SHARE_WEIGHT = 0.25
# Part of the rate that follows the demand, as a multiple of the demand; the
# excess over 1 covers its noise.
_DEMAND_HEADROOM_FACTOR = 1.4
# Half-life of the average demand: long enough to smooth out single requests,
# short enough to follow callers that move to other entries.
_DEMAND_HALF_LIFE_S = 3.0
# Fleet demand over the rate from which on no entry has rate to spare.
_NEAR_LIMIT_FACTOR = 0.9
# Standard deviations of the measured demand that are added to that.
_NEAR_LIMIT_DEVIATIONS = 2.0
# Part of the tolerated excess that entries use; the rest covers shares that
# move.
_PLANNED_OVERAGE_FACTOR = 0.7
# Announcements carry whole numbers: units per whole rate, and units per
# request per second. Both are finer than any decision needs.
_SHARE_UNITS = 1_000_000
_DEMAND_UNITS = 100
# All entries in touch know a new customer this long after one of them; a
# later complete announcement without it means that the peer has no share.
_CUSTOMER_LEARNT_WITHIN_S = 5.0
# Half of the unit in which demand is announced.
_NEGLIGIBLE_DEMAND_PER_S = 0.5 / _DEMAND_UNITS
# Relative change of a share beyond which it is announced before the next
# full report; well inside the tolerated excess that entries do not use.
_REPORTED_SHARE_CHANGE = 0.02
# The same for the demand, which only decides where shares move and may be
# announced more coarsely.
_REPORTED_DEMAND_CHANGE = 0.25
_MIN_REPORTED_DEMAND_CHANGE_PER_S = 0.3


class RateReport(msgspec.Struct, frozen=True, array_like=True):
    """Announced share and demand of one customer, in whole numbers.

    Whole numbers keep the message short.

    Args:
        share_millionths (int): Share of the rate, in millionths.
        demand_hundredths (int): Offered requests per 100 seconds.
    """

    share_millionths: int
    demand_hundredths: int

    @property
    def is_zero(self) -> bool:
        """Whether there is neither a share nor demand."""
        return self.share_millionths == 0 and self.demand_hundredths == 0

    @classmethod
    def from_values(cls, share: float, demand_per_s: float) -> "RateReport":
        """Build a report whose share is rounded up, never down."""
        return cls(
            math.ceil(share * _SHARE_UNITS),
            round(demand_per_s * _DEMAND_UNITS),
        )

    @property
    def share(self) -> float:
        """Share of the rate, 0 to 1."""
        return self.share_millionths / _SHARE_UNITS

    @property
    def demand_per_s(self) -> float:
        """Offered requests per second."""
        return self.demand_hundredths / _DEMAND_UNITS

    def has_changed_since(self, announced: "RateReport") -> bool:
        """Whether this must be announced before the next full report.

        Args:
            announced (RateReport): The latest announced report.
        """
        share_change = abs(self.share_millionths - announced.share_millionths)
        if share_change > _REPORTED_SHARE_CHANGE * announced.share_millionths:
            return True
        demand_change_per_s = abs(self.demand_per_s - announced.demand_per_s)
        return demand_change_per_s > max(
            _MIN_REPORTED_DEMAND_CHANGE_PER_S,
            _REPORTED_DEMAND_CHANGE * announced.demand_per_s,
        )


RateTable = dict[ids.CustomerId, RateReport]


class AnnouncedRates(msgspec.Struct):
    """Sum of the announcements of one or more peers.

    Args:
        peer_count (int): Number of these peers.
        rate_by_customer (Mapping): Their reports by customer; None if they
            never sent any, in which case their fair share is assumed.
        instance (str): The peer if it is a single region peer. Defaults to
            None.
        complete_at (float): When the peer last sent reports on all its
            customers, in seconds; those without a share may be left out.
            Defaults to never.
    """

    peer_count: int
    rate_by_customer: abc.Mapping[ids.CustomerId, RateReport] | None
    instance: ids.InstanceId | None = None
    complete_at: float = float("-inf")


class FairShares(typing.Protocol):
    """Rate shares of a customer that do not depend on demand."""

    def own_share(self, customer: serving_config.CustomerConfig) -> float:
        """This entry's fair share, 0 to 1."""

    def peers_share(
        self, customer: serving_config.CustomerConfig, others: AnnouncedRates
    ) -> float:
        """Sum of the fair shares of some peers, 0 to 1."""

    def holders(
        self, customer: serving_config.CustomerConfig
    ) -> abc.Collection[ids.InstanceId] | None:
        """Entries of the region with a fair share; None if all have one."""


class EqualShares:
    """Equal fair shares for all entries.

    Args:
        entries (int): Number of entries.
    """

    def __init__(self, entries: int) -> None:
        self._entries = entries

    def own_share(self, customer: serving_config.CustomerConfig) -> float:
        """This entry's fair share, 0 to 1."""
        return 1.0 / self._entries

    def peers_share(
        self, customer: serving_config.CustomerConfig, others: AnnouncedRates
    ) -> float:
        """Sum of the fair shares of some peers, 0 to 1."""
        return others.peer_count / self._entries

    def holders(
        self, customer: serving_config.CustomerConfig
    ) -> abc.Collection[ids.InstanceId] | None:
        """None: all entries have a fair share."""
        return None


class RateTolerance(msgspec.Struct, frozen=True):
    """Excess over rate and burst that the service level tolerates.

    Args:
        overage (float): Tolerated excess as a fraction of the limit of a
            time window.
        slack (float): Further requests in a window, fleet-wide.
    """

    overage: float
    slack: float


class _AnnouncedSum:
    """Sums over the latest announcements of all peers.

    Only the reports that exist are visited: most entries of a large fleet
    hold no part of most rates and report nothing on them.

    Args:
        others (Sequence): The announcements.
    """

    def __init__(self, others: abc.Sequence[AnnouncedRates]) -> None:
        self.entry_count = 1 + sum(each.peer_count for each in others)
        self._others = others
        self._region_sums = [each for each in others if each.instance is None]
        self._peer_by_instance = {
            each.instance: each for each in others if each.instance is not None
        }
        self._share_millionths: collections.Counter[ids.CustomerId] = (
            collections.Counter()
        )
        self._demand_hundredths: collections.Counter[ids.CustomerId] = (
            collections.Counter()
        )
        for each in others:
            for customer_id, report in (each.rate_by_customer or {}).items():
                self._share_millionths[customer_id] += report.share_millionths
                self._demand_hundredths[customer_id] += (
                    report.demand_hundredths
                )

    def demand_per_s(self, customer_id: ids.CustomerId) -> float:
        """Offered requests per second at all peers."""
        return self._demand_hundredths[customer_id] / _DEMAND_UNITS

    def taken_share(
        self,
        customer: serving_config.CustomerConfig,
        known_since: float,
        fair_shares: FairShares,
    ) -> float:
        """Return the share of all peers, 0 to 1.

        Peers that may not have reported on the customer yet are counted with
        their fair share.

        Args:
            customer (CustomerConfig): The customer.
            known_since (float): When this entry first knew the customer, in
                seconds.
            fair_shares (FairShares): Shares that do not depend on demand.
        """
        customer_id = customer.customer_id
        holders = fair_shares.holders(customer)
        candidates: abc.Iterable[AnnouncedRates] = self._others
        if holders is not None:
            candidates = [
                *self._region_sums,
                *(
                    self._peer_by_instance[instance]
                    for instance in holders
                    if instance in self._peer_by_instance
                ),
            ]
        assumed = sum(
            fair_shares.peers_share(customer, each)
            for each in candidates
            if each.rate_by_customer is None
            or (
                customer_id not in each.rate_by_customer
                and each.complete_at < known_since + _CUSTOMER_LEARNT_WITHIN_S
            )
        )
        return self._share_millionths[customer_id] / _SHARE_UNITS + assumed


class _Bucket:
    """Rate share, token bucket and demand of one customer at one entry."""

    def __init__(self, now: float) -> None:
        self.customer: serving_config.CustomerConfig | None = None
        self.share = 0.0
        self.tokens = 0.0
        self.refilled_at = now
        self.demand_per_s = 0.0
        self.has_fair_share = True
        self.known_since = now
        self.requests = 0
        self.counted_since = now


class RateShares:
    """Rate shares and token buckets of one entry, by customer.

    Args:
        tolerance (RateTolerance): Tolerated excess.
    """

    def __init__(self, tolerance: RateTolerance) -> None:
        self._tolerance = tolerance
        self._reduces_in_proportion = False
        self._bucket_by_customer: dict[ids.CustomerId, _Bucket] = {}
        self._announced_sum = _AnnouncedSum([])
        self._fair_shares: FairShares = EqualShares(1)
        self._announced: RateTable = {}

    def _bucket(self, customer_id: ids.CustomerId, now: float) -> _Bucket:
        bucket = self._bucket_by_customer.get(customer_id)
        if bucket is None:
            bucket = _Bucket(now)
            self._bucket_by_customer[customer_id] = bucket
        return bucket

    def acquire(
        self,
        customer: serving_config.CustomerConfig,
        now: float,
        *,
        is_demand: bool = True,
    ) -> float:
        """Acquire a token for a request.

        Args:
            customer (CustomerConfig): The request's customer.
            now (float): Current time in seconds.
            is_demand (bool): Whether to count the request as demand; False
                if another entry has counted it. Defaults to True.

        Returns:
            0 if a token was acquired or the customer has no rate limit, else
            the seconds until a token is available.
        """
        if customer.rate_per_s <= 0:
            return 0.0
        bucket = self._bucket(customer.customer_id, now)
        bucket.requests += is_demand
        self._refill(customer, bucket, now)
        wait_s = self._wait_s(customer, bucket, bucket.tokens)
        if wait_s <= 0:
            bucket.tokens -= 1.0
        return wait_s

    def peek(
        self, customer: serving_config.CustomerConfig, now: float
    ) -> tuple[float, float]:
        """Return what ``acquire`` would, without acquiring a token.

        Args:
            customer (CustomerConfig): The request's customer.
            now (float): Current time in seconds.

        Returns:
            Seconds until a token is available, 0 if there is one or the
            customer has no rate limit; and the tokens at the moment.
        """
        if customer.rate_per_s <= 0:
            return 0.0, 0.0
        bucket = self._bucket_by_customer.get(customer.customer_id)
        if bucket is None:
            bucket = _Bucket(now)
        tokens = self._tokens_at(customer, bucket, now)
        return self._wait_s(customer, bucket, tokens), tokens

    def _wait_s(
        self,
        customer: serving_config.CustomerConfig,
        bucket: _Bucket,
        tokens: float,
    ) -> float:
        """Seconds until a bucket with some tokens has a whole one."""
        if tokens >= 1.0:
            return 0.0
        rate = self._entry_rate_per_s(customer, bucket)
        return (1.0 - tokens) / max(rate, 1e-3)

    def release(
        self, customer: serving_config.CustomerConfig, now: float
    ) -> None:
        """Release the token of a request that did not run."""
        if customer.rate_per_s > 0:
            self._bucket(customer.customer_id, now).tokens += 1.0

    def share(self, customer_id: ids.CustomerId) -> float:
        """This entry's share of a customer's rate, 0 to 1."""
        bucket = self._bucket_by_customer.get(customer_id)
        return bucket.share if bucket is not None else 0.0

    def is_near_rate_limit(
        self, customer: serving_config.CustomerConfig
    ) -> bool:
        """Whether the fleet's demand is near the rate or above it."""
        bucket = self._bucket_by_customer.get(customer.customer_id)
        if bucket is None:
            return False
        # The demand of a small customer is measured from few requests.
        noise_per_s = _NEAR_LIMIT_DEVIATIONS * math.sqrt(
            customer.rate_per_s * math.log(2) / _DEMAND_HALF_LIFE_S
        )
        fleet_demand_per_s = (
            self._announced_sum.demand_per_s(customer.customer_id)
            + bucket.demand_per_s
        )
        return (
            fleet_demand_per_s
            > _NEAR_LIMIT_FACTOR * customer.rate_per_s + noise_per_s
        )

    def _entry_rate_per_s(
        self, customer: serving_config.CustomerConfig, bucket: _Bucket
    ) -> float:
        overage = 1.0 + _PLANNED_OVERAGE_FACTOR * self._tolerance.overage
        return customer.rate_per_s * overage * bucket.share

    def _refill(
        self,
        customer: serving_config.CustomerConfig,
        bucket: _Bucket,
        now: float,
    ) -> None:
        bucket.tokens = self._tokens_at(customer, bucket, now)
        bucket.refilled_at = now

    def _tokens_at(
        self,
        customer: serving_config.CustomerConfig,
        bucket: _Bucket,
        now: float,
    ) -> float:
        # The slack is divided like the rate. Divided equally among all entries
        # it would be lost where few of them hold the rate.
        slack = _PLANNED_OVERAGE_FACTOR * self._tolerance.slack
        capacity = (customer.burst + slack) * bucket.share
        gained = (now - bucket.refilled_at) * self._entry_rate_per_s(
            customer, bucket
        )
        return min(capacity, bucket.tokens + gained)

    def full_reports(self) -> RateTable:
        """Reports on all customers; they count as announced now.

        Left out are customers of whose rate this entry has no part by any
        count, as peers assume that anyway.
        """
        self._announced = {
            customer_id: report
            for customer_id, bucket in self._bucket_by_customer.items()
            if not (report := _report(bucket)).is_zero or bucket.has_fair_share
        }
        return dict(self._announced)

    def changed_reports(self) -> RateTable:
        """Reports that changed enough to be announced before a full report.

        They count as announced now.
        """
        changed: RateTable = {}
        for customer_id, bucket in self._bucket_by_customer.items():
            report = _report(bucket)
            announced = self._announced.get(customer_id)
            if announced is None:
                is_due = bucket.has_fair_share or not report.is_zero
            else:
                is_due = report.has_changed_since(announced)
            if is_due:
                changed[customer_id] = report
        self._announced |= changed
        return changed

    def combined_reports(
        self, others: abc.Sequence[AnnouncedRates]
    ) -> RateTable:
        """Sums of the shares and demand of this entry and some peers."""
        announced = _AnnouncedSum(others)
        table: RateTable = {}
        for customer_id, bucket in self._bucket_by_customer.items():
            if bucket.customer is None:
                continue
            taken_share = announced.taken_share(
                bucket.customer, bucket.known_since, self._fair_shares
            )
            table[customer_id] = RateReport.from_values(
                taken_share + bucket.share,
                announced.demand_per_s(customer_id) + bucket.demand_per_s,
            )
        return table

    def rebalance(
        self,
        customers: abc.Iterable[serving_config.CustomerConfig],
        others: abc.Sequence[AnnouncedRates],
        now: float,
        *,
        fair_shares: FairShares | None = None,
        is_isolated: bool = False,
        reduces_in_proportion: bool = False,
    ) -> None:
        """Move the shares towards the demand.

        Args:
            customers (Iterable): All customers with a rate.
            others (Sequence): The latest announcements of all peers that
                may be alive, recently seen or not.
            now (float): Current time in seconds.
            fair_shares (FairShares): Shares that do not depend on demand.
                Defaults to equal shares of all entries.
            is_isolated (bool): Whether peers may claim this entry's share;
                it is then capped at an equal part of
                ``_MIN_FAIR_SHARE_WEIGHT`` of the rate. Defaults to False.
            reduces_in_proportion (bool): Whether each entry gives up only its
                own part where the announced shares exceed the rate, as they
                do while demand moves. If each gave up the whole excess, the
                shares of many entries would fall to nearly nothing together.
                Defaults to False.
        """
        self._reduces_in_proportion = reduces_in_proportion
        announced = self._announced_sum = _AnnouncedSum(others)
        self._fair_shares = fair_shares or EqualShares(announced.entry_count)
        for customer in customers:
            bucket = self._bucket(customer.customer_id, now)
            bucket.customer = customer
            fair = self._fair_shares.own_share(customer)
            bucket.has_fair_share = fair > 0
            if not bucket.has_fair_share and _is_idle(bucket):
                bucket.counted_since = bucket.refilled_at = now
                continue
            self._refill(customer, bucket, now)
            self._measure_demand(bucket, now)
            share = self._next_share(customer, bucket, fair)
            if is_isolated:
                share = min(
                    share, _MIN_FAIR_SHARE_WEIGHT / announced.entry_count
                )
            bucket.share = share

    def _measure_demand(self, bucket: _Bucket, now: float) -> None:
        elapsed_s = now - bucket.counted_since
        if elapsed_s <= 0:
            return
        decay = 0.5 ** (elapsed_s / _DEMAND_HALF_LIFE_S)
        latest = bucket.requests / elapsed_s
        bucket.demand_per_s = (
            decay * bucket.demand_per_s + (1 - decay) * latest
        )
        bucket.requests = 0
        bucket.counted_since = now

    def _next_share(
        self,
        customer: serving_config.CustomerConfig,
        bucket: _Bucket,
        fair: float,
    ) -> float:
        """Return this entry's next share, 0 to 1.

        Args:
            customer (CustomerConfig): The customer.
            bucket (_Bucket): Its bucket at this entry.
            fair (float): This entry's fair share, 0 to 1.
        """
        announced = self._announced_sum
        taken_share = announced.taken_share(
            customer, bucket.known_since, self._fair_shares
        )
        demand = bucket.demand_per_s + announced.demand_per_s(
            customer.customer_id
        )
        demand_share = bucket.demand_per_s / demand if demand > 0 else fair
        # Demand far below the rate decides little, since a few requests more
        # or less would move the shares.
        offered_share = _DEMAND_HEADROOM_FACTOR * demand / customer.rate_per_s
        fair_share_weight = max(_MIN_FAIR_SHARE_WEIGHT, 1.0 - offered_share)
        wanted = (
            fair_share_weight * fair + (1.0 - fair_share_weight) * demand_share
        )
        if not self._reduces_in_proportion:
            return min(wanted, max(0.0, 1.0 - taken_share))
        announced_share = taken_share + bucket.share
        if announced_share > 1.0:
            return min(wanted, bucket.share / announced_share)
        return min(wanted, 1.0 - taken_share)


def _report(bucket: _Bucket) -> RateReport:
    return RateReport.from_values(bucket.share, bucket.demand_per_s)


def _is_idle(bucket: _Bucket) -> bool:
    """Whether a bucket has neither a share nor requests."""
    return (
        bucket.share == 0.0
        and bucket.requests == 0
        and bucket.demand_per_s < _NEGLIGIBLE_DEMAND_PER_S
    )
