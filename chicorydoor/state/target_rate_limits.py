"""Rate limits that targets name in their responses.

A target in need names the requests per second that it accepts from all
entries together. The limit lasts until the target responds without one.
"""

import logging
import re

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.transport import metrics

# No target accepts more, so a greater number is an error of the target.
_MAX_RATE_PER_S = 1e6
_DECIMAL_NUMBER = re.compile(rb"\s*(\d{1,12}(?:\.\d{0,12})?)\s*")

_LOG = logging.getLogger(__name__)

# Target id and start of the incarnation.
Incarnation = tuple[ids.TargetId, int]


class _TargetLimit(msgspec.Struct):
    """What is known of the limit of one incarnation of a target.

    Args:
        rate_per_s (float): Requests per second; None without a limit.
        named_at (float): When the latest response with a limit arrived, in
            seconds of the entry's clock.
        has_logged_error (bool): Whether an unreadable limit was logged.
            Defaults to False.
    """

    rate_per_s: float | None = None
    named_at: float = float("-inf")
    has_logged_error: bool = False


class TargetRateLimits:
    """The named rate limits that one entry knows."""

    def __init__(self) -> None:
        self._limit_by_incarnation: dict[Incarnation, _TargetLimit] = {}

    def rate_per_s(self, incarnation: Incarnation) -> float | None:
        """Return the limit of a target in requests per second, or None."""
        limit = self._limit_by_incarnation.get(incarnation)
        return limit.rate_per_s if limit is not None else None

    def record_response(
        self,
        incarnation: Incarnation,
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
        self._set_rate(incarnation, limit, rate_per_s)

    def _set_rate(
        self,
        incarnation: Incarnation,
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
        metrics.RATE_LIMITED_TARGETS.set(
            sum(
                each.rate_per_s is not None
                for each in self._limit_by_incarnation.values()
            )
        )

    def remove_unknown(self, known: set[Incarnation]) -> None:
        """Remove what is known of targets that no longer exist.

        Args:
            known (set): Incarnations of all known targets.
        """
        for incarnation in self._limit_by_incarnation.keys() - known:
            limit = self._limit_by_incarnation[incarnation]
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
    incarnation: Incarnation, limit: _TargetLimit, value: bytes
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
