"""Follows the targets' registrations.

A registration that ends means that the target leaves. The exception are
those that lapsed while nobody could renew them, because the store was away:
such a target stays in use until its owner has had time to come back.
"""

import asyncio
import logging

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving
from chicorydoor.state import target_book
from chicorydoor.transport import clock as clock_module

# No sign of the store for this long, from any call of any entry, means that
# it was away; usual signs are less than a second apart.
_AWAY_S = 2.5
# Targets that live are registered again within two seconds of the store's
# return; a reading of the registrations may be another second late.
_RETURN_S = 2.5

_LOG = logging.getLogger(__name__)


class TargetRegistry:
    """Brings registrations into the target book.

    Args:
        book (TargetBook): The targets.
        clock (Clock): Time.
    """

    def __init__(
        self, book: target_book.TargetBook, clock: clock_module.Clock
    ) -> None:
        self._book = book
        self._clock = clock
        self._contact_at = clock.now()
        self._returned_at = float("-inf")

    def note_contact(self) -> None:
        """The store answered this entry or a peer, whatever the call.

        The earliest sign counts: one part of the store may be heard again
        seconds after another, when a waiting call has gone silent.
        """
        now = self._clock.now()
        if now - self._contact_at > _AWAY_S:
            self._returned_at = now
        self._contact_at = now

    def put(self, record: serving.TargetRecord) -> None:
        """A registration is new or has changed."""
        known = self._book.target_by_id.get(record.target_id)
        before = known.record if known is not None else None
        self._book.put(record, self._clock.now())
        if before is None or _is_news(before, record):
            _LOG.info(
                "target registered",
                extra={
                    "target": record.target_id,
                    "service": record.service_id,
                    "address": record.address,
                    "domain": record.domain,
                    "standing": record.standing.value,
                    "started_ms": record.started_ms,
                    "cold_s": record.cold_remaining_s,
                },
            )

    def remove(self, target_id: ids.TargetId) -> None:
        """A registration has ended."""
        view = self._book.target_by_id.get(target_id)
        if view is None:
            return
        age_s = self._clock.now() - self._returned_at
        if age_s >= _RETURN_S or view.is_leaving:
            self._drop(target_id, "registration ended")
            return
        view.is_listed = False
        _LOG.info(
            "target lapsed while the store was away",
            extra={"target": target_id, "returned_s": round(age_s, 3)},
        )
        loop = asyncio.get_running_loop()
        loop.call_later(_RETURN_S - age_s, self._drop_unlisted, target_id)

    def _drop_unlisted(self, target_id: ids.TargetId) -> None:
        view = self._book.target_by_id.get(target_id)
        if view is not None and not view.is_listed:
            self._drop(target_id, "did not return after the store did")

    def _drop(self, target_id: ids.TargetId, reason: str) -> None:
        self._book.remove(target_id)
        _LOG.info("target gone", extra={"target": target_id, "reason": reason})


def _is_news(
    before: serving.TargetRecord, record: serving.TargetRecord
) -> bool:
    """Whether more changed than the time that a target stays cold."""
    return (
        before.standing is not record.standing
        or before.started_ms != record.started_ms
        or before.address != record.address
    )
