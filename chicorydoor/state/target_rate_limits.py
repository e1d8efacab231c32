"""Rate limits that targets name in their responses.

A target in need names the requests per second that it accepts from all
entries together. The limit lasts until the target responds without one.

A few designated entries send to such a target, the others nothing. They
divide the limit and save up no unused part, so that even entries that all
begin to send at the same moment exceed it by one request each. The number of
senders therefore follows the limit and not the size of the fleet. The entries
tell each other what the target has responded.
"""

from collections import abc
import logging
import math
import re

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.state import designated_entries
from chicorydoor.transport import metrics

# Senders of a target: this many, and one for each request per second of the
# limit. With D senders and a limit of L, up to 4 L + D requests arrive in 4 s.
# Targets tolerate 6 L + 5, so there is room for a sender that is replaced.
_MIN_SENDERS = 3
# The senders keep to this rate where a target names less, since without
# requests nobody would learn that the limit has ended.
_MIN_RATE_PER_S = 0.1
# The parts of a target's senders are determined again after this time. The
# entries of a fleet change less often.
_SHARE_LIFETIME_S = 0.25
# Digests pass on responses up to this age; several digests are sent in it.
_MAX_PUBLISHED_AGE_S = 10.0
# After this time all entries have been told that a limit has ended.
_ENDED_LIFETIME_S = 30.0
# No target accepts more, so a greater number is an error of the target.
_MAX_RATE_PER_S = 1e6
_DECIMAL_NUMBER = re.compile(rb"\s*(\d{1,12}(?:\.\d{0,12})?)\s*")

_LOG = logging.getLogger(__name__)


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Whether a response of a target named a limit, for other entries.

    Args:
        target_id (str): The target.
        started_ms (int): Start of the target's incarnation, milliseconds
            since the epoch.
        rate_per_s (float): The limit in requests per second; None if the
            response named none.
        age_ms (int): Time since the response with a limit arrived, or since
            the request of a response without one was sent, in milliseconds.
    """

    target_id: ids.TargetId
    started_ms: int
    rate_per_s: float | None
    age_ms: int


class _TargetLimit(msgspec.Struct):
    """What is known of the limit of one incarnation of a target.

    All times are in seconds of the entry's clock.

    Args:
        rate_per_s (float): Requests per second; None without a limit.
        named_at (float): When the latest response with a limit arrived.
        absent_at (float): When the latest request was sent whose response
            named no limit.
        last_sent_at (float): When this entry last sent a request.
        own_share (float): This entry's part of the limit, as a fraction.
            Defaults to 0, for an entry that sends nothing.
        share_expires_at (float): When the part is determined again.
        is_unpublished (bool): Whether this entry got a response that it has
            not reported to its region peers. Defaults to False.
        has_logged_error (bool): Whether an unreadable limit was logged.
            Defaults to False.
    """

    rate_per_s: float | None = None
    named_at: float = float("-inf")
    absent_at: float = float("-inf")
    last_sent_at: float = float("-inf")
    own_share: float = 0.0
    share_expires_at: float = float("-inf")
    is_unpublished: bool = False
    has_logged_error: bool = False

    def build_report(
        self, incarnation: ids.TargetIncarnation, now: float
    ) -> LimitReport:
        """Build the report on the latest response."""
        reported_at = (
            self.absent_at if self.rate_per_s is None else self.named_at
        )
        age_ms = max(0, round(1000 * (now - reported_at)))
        return LimitReport(*incarnation, self.rate_per_s, age_ms)


class TargetRateLimits:
    """The named rate limits that one entry knows, and its parts of them.

    Args:
        instance (str): This entry's instance id.
        get_instances (callable): Returns the instance ids of all entries that
            may be alive, including this one; none while they are unknown.
        get_region_instances (callable): Returns those of a region.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        get_instances: abc.Callable[[], abc.Collection[ids.InstanceId]],
        get_region_instances: abc.Callable[
            [ids.RegionId], abc.Collection[ids.InstanceId]
        ],
    ) -> None:
        self._instance = instance
        self._get_instances = get_instances
        self._get_region_instances = get_region_instances
        self._limit_by_incarnation: dict[
            ids.TargetIncarnation, _TargetLimit
        ] = {}

    def rate_per_s(self, incarnation: ids.TargetIncarnation) -> float | None:
        """Return the limit of a target in requests per second, or None."""
        limit = self._limit_by_incarnation.get(incarnation)
        return limit.rate_per_s if limit is not None else None

    def may_send(
        self,
        incarnation: ids.TargetIncarnation,
        region: ids.RegionId,
        now: float,
    ) -> bool:
        """Whether the limit allows a request now; does not record it.

        Args:
            incarnation (tuple): The target's incarnation.
            region (str): The target's region.
            now (float): Current time in seconds.
        """
        limit = self._limit_by_incarnation.get(incarnation)
        if limit is None or limit.rate_per_s is None:
            return True
        if now >= limit.share_expires_at:
            limit.share_expires_at = now + _SHARE_LIFETIME_S
            limit.own_share = self._own_share(
                incarnation[0], region, limit.rate_per_s
            )
        if limit.own_share <= 0.0:
            return False
        own_rate_per_s = limit.own_share * max(
            limit.rate_per_s, _MIN_RATE_PER_S
        )
        return now >= limit.last_sent_at + 1.0 / own_rate_per_s

    def _own_share(
        self, target_id: ids.TargetId, region: ids.RegionId, rate_per_s: float
    ) -> float:
        """Return this entry's part of a target's limit, as a fraction.

        The senders in the target's region, where most of its requests come
        from, have at least half of the limit. The others are anywhere, so
        that a region with few targets is served when all targets name limits.
        """
        instances = set(self._get_instances())
        region_instances = instances & set(self._get_region_instances(region))
        senders = designated_entries.designate(
            target_id,
            instances,
            _MIN_SENDERS + math.floor(rate_per_s),
            preferred=region_instances,
        )
        if self._instance not in senders:
            return 0.0
        in_region = len(senders & region_instances)
        if in_region in (0, len(senders)):
            return 1.0 / len(senders)
        region_share = max(0.5, in_region / len(senders))
        if self._instance in region_instances:
            return region_share / in_region
        return (1.0 - region_share) / (len(senders) - in_region)

    def record_sent(
        self, incarnation: ids.TargetIncarnation, now: float
    ) -> None:
        """Record a request, also a probe, that is sent to a target."""
        limit = self._limit_by_incarnation.get(incarnation)
        if limit is not None:
            limit.last_sent_at = now

    def record_response(
        self,
        incarnation: ids.TargetIncarnation,
        header_value: bytes | None,
        sent_at: float,
        now: float,
    ) -> None:
        """Record whether a target's response names a limit.

        Args:
            incarnation (tuple): The target's incarnation.
            header_value (bytes): Value of the limit's header; None if the
                response has none. An unreadable value changes nothing.
            sent_at (float): When the request was sent, in seconds of the
                entry's clock.
            now (float): Current time in seconds.
        """
        limit = self._limit_by_incarnation.get(incarnation)
        if header_value is None:
            # A response may be overtaken by a later one that names a limit.
            if limit is not None and sent_at > limit.named_at:
                limit.absent_at = max(limit.absent_at, sent_at)
                limit.is_unpublished = True
                self._set_rate(incarnation, limit, None)
            return
        if limit is None:
            limit = _TargetLimit()
            self._limit_by_incarnation[incarnation] = limit
        rate_per_s = parse_rate_per_s(header_value)
        if rate_per_s is None:
            _report_unreadable(incarnation, limit, header_value)
            return
        limit.named_at = now
        limit.is_unpublished = True
        self._set_rate(incarnation, limit, rate_per_s)

    def pop_reports(self, now: float) -> list[LimitReport]:
        """Remove and return this entry's new reports for region peers."""
        reports = []
        for incarnation, limit in self._limit_by_incarnation.items():
            if limit.is_unpublished:
                limit.is_unpublished = False
                reports.append(limit.build_report(incarnation, now))
        return reports

    def recent_reports(self, now: float) -> list[LimitReport]:
        """Return the latest reports of all entries, for other regions."""
        return [
            limit.build_report(incarnation, now)
            for incarnation, limit in self._limit_by_incarnation.items()
            if now - max(limit.named_at, limit.absent_at)
            < _MAX_PUBLISHED_AGE_S
        ]

    def apply_reports(
        self, reports: abc.Iterable[LimitReport], now: float
    ) -> None:
        """Apply what targets responded to other entries."""
        for report in reports:
            incarnation = (report.target_id, report.started_ms)
            limit = self._limit_by_incarnation.get(incarnation)
            reported_at = now - report.age_ms / 1000
            if report.rate_per_s is None:
                if limit is not None and reported_at > limit.named_at:
                    limit.absent_at = max(limit.absent_at, reported_at)
                    self._set_rate(incarnation, limit, None)
                continue
            if limit is None:
                limit = _TargetLimit()
                self._limit_by_incarnation[incarnation] = limit
            if reported_at > max(limit.named_at, limit.absent_at):
                limit.named_at = reported_at
                self._set_rate(incarnation, limit, report.rate_per_s)

    def _set_rate(
        self,
        incarnation: ids.TargetIncarnation,
        limit: _TargetLimit,
        rate_per_s: float | None,
    ) -> None:
        if rate_per_s == limit.rate_per_s:
            return
        _LOG.info(
            "target rate limit changed",
            extra={
                "target": incarnation[0],
                "before_per_s": limit.rate_per_s,
                "after_per_s": rate_per_s,
            },
        )
        limit.rate_per_s = rate_per_s
        limit.share_expires_at = float("-inf")
        metrics.RATE_LIMITED_TARGETS.set(
            sum(
                each.rate_per_s is not None
                for each in self._limit_by_incarnation.values()
            )
        )

    def remove_obsolete(
        self, known: set[ids.TargetIncarnation], now: float
    ) -> None:
        """Remove what is known of limits that ended long ago.

        The limits of targets that no longer exist are removed at once.

        Args:
            known (set): Incarnations of all known targets.
            now (float): Current time in seconds.
        """
        for incarnation, limit in list(self._limit_by_incarnation.items()):
            has_ended = (
                limit.rate_per_s is None
                and now - limit.named_at > _ENDED_LIFETIME_S
            )
            if has_ended or incarnation not in known:
                self._set_rate(incarnation, limit, None)
                del self._limit_by_incarnation[incarnation]


def parse_rate_per_s(value: bytes) -> float | None:
    """Return a limit in requests per second, None if it is not usable.

    Args:
        value (bytes): A decimal number greater than 0.
    """
    match = _DECIMAL_NUMBER.fullmatch(value)
    if match is None:
        return None
    rate_per_s = float(match[1])
    return rate_per_s if 0.0 < rate_per_s <= _MAX_RATE_PER_S else None


def _report_unreadable(
    incarnation: ids.TargetIncarnation,
    limit: _TargetLimit,
    value: bytes,
) -> None:
    """Count an unreadable limit; log the first one of an incarnation."""
    metrics.TARGET_RATE_LIMIT_PARSE_ERRORS.inc()
    if limit.has_logged_error:
        return
    limit.has_logged_error = True
    _LOG.warning(
        "target rate limit unreadable, ignored",
        extra={
            "target": incarnation[0],
            "value": value[:40].decode("latin-1"),
        },
    )
