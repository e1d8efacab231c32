"""Targets that asked this entry to send them nothing for some time.

A target asks when it turns a request away. Each entry is asked for itself.
"""

import logging
import re

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.transport import metrics

# A target that names a longer time is tried again then. It may have named it
# by mistake, and nothing else would show that it takes requests again.
_MAX_REST_S = 600.0
_DECIMAL_NUMBER = re.compile(rb"\s*(\d{1,9}(?:\.\d{0,9})?)\s*")

_LOG = logging.getLogger(__name__)


class _Rest(msgspec.Struct):
    """A target's rest.

    Args:
        ends_at (float): Its end in seconds of the entry's clock.
        has_logged_error (bool): Whether an unreadable time was logged.
    """

    ends_at: float = float("-inf")
    has_logged_error: bool = False


class TargetRests:
    """The rests that targets asked this entry for."""

    def __init__(self) -> None:
        self._rest_by_incarnation: dict[ids.TargetIncarnation, _Rest] = {}

    def ends_at(self, incarnation: ids.TargetIncarnation) -> float:
        """Return the end of a target's rest; minus infinity without one."""
        rest = self._rest_by_incarnation.get(incarnation)
        return rest.ends_at if rest is not None else float("-inf")

    def record_request_for_rest(
        self,
        incarnation: ids.TargetIncarnation,
        header_value: bytes,
        now: float,
    ) -> None:
        """Record that a target turned a request away and asked for rest.

        Args:
            incarnation (tuple): The target's incarnation.
            header_value (bytes): For how many seconds, a decimal number.
                Another value changes nothing.
            now (float): Current time in seconds.
        """
        rest = self._rest_by_incarnation.setdefault(incarnation, _Rest())
        match = _DECIMAL_NUMBER.fullmatch(header_value)
        if match is None:
            _report_unreadable(incarnation, rest, header_value)
            return
        rest_s = min(float(match[1]), _MAX_REST_S)
        if now >= rest.ends_at:
            metrics.TARGET_RESTS.inc()
            _LOG.info(
                "target asks for rest",
                extra={"target": incarnation[0], "rest_s": rest_s},
            )
        rest.ends_at = max(rest.ends_at, now + rest_s)

    def remove_obsolete(
        self, known: set[ids.TargetIncarnation], now: float
    ) -> None:
        """Remove ended rests and those of unknown targets.

        Args:
            known (set): Incarnations of all known targets.
            now (float): Current time in seconds.
        """
        for incarnation, rest in list(self._rest_by_incarnation.items()):
            has_ended = now >= rest.ends_at and not rest.has_logged_error
            if has_ended or incarnation not in known:
                del self._rest_by_incarnation[incarnation]


def _report_unreadable(
    incarnation: ids.TargetIncarnation, rest: _Rest, value: bytes
) -> None:
    """Log the first unreadable time of an incarnation."""
    if rest.has_logged_error:
        return
    rest.has_logged_error = True
    _LOG.warning(
        "rest of a target unreadable, ignored",
        extra={
            "target": incarnation[0],
            "value": value[:40].decode("latin-1"),
        },
    )
