"""Applies the targets' registrations to the known targets.

A target whose registration ends is removed. An exception are registrations
that expired while the store was unavailable, so that nobody could renew them:
such a target stays in use until it has had time to register again.
"""

import asyncio
import logging

from chicorydoor.protocol import ids
from chicorydoor.protocol import serving_config
from chicorydoor.state import target_views
from chicorydoor.transport import clock as clock_module

# If the store answered no call of this entry, nor of a peer as far as known
# here, for this long while this entry ran, it was unavailable; answers are
# usually less than a second apart.
_OUTAGE_THRESHOLD_S = 2.5
# An entry that runs says so four times a second. In a longer interval it got
# no processor time, and does not know whether the store would have answered.
_MAX_RUNNING_INTERVAL_S = 0.5
# Live targets register again within two seconds after the store's return; the
# registrations may be read up to another second later.
_REGISTRATION_GRACE_S = 2.5
# Replaced incarnations that are remembered: room for several replacements of
# all targets of a large deployment.
_MAX_REPLACED = 10_000

_LOG = logging.getLogger(__name__)


class TargetRegistrations:
    """Adds, updates and removes targets by their registrations.

    Args:
        targets (TargetViews): The known targets.
        clock (Clock): Source of time.
    """

    def __init__(
        self, targets: target_views.TargetViews, clock: clock_module.Clock
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._ran_at = clock.now()
        # Time for which this entry has run since its last contact.
        self._silent_s = 0.0
        # The latest sequence of each, the first to be replaced first.
        self._replaced: dict[ids.TargetIncarnation, int] = {}
        self._store_returned_at = float("-inf")

    def record_running(self) -> None:
        """Record that this entry runs; called a few times a second."""
        now = self._clock.now()
        self._silent_s += min(now - self._ran_at, _MAX_RUNNING_INTERVAL_S)
        self._ran_at = now

    def record_store_contact(self) -> None:
        """Record that the store answered any call of this entry or a peer.

        The grace period starts with the first answer to any call after an
        outage: if a waiting call for one part of the store has gone silent,
        that part may be read again seconds after another.
        """
        self.record_running()
        if self._silent_s > _OUTAGE_THRESHOLD_S:
            self._store_returned_at = self._clock.now()
        self._silent_s = 0.0

    def apply_registration(
        self, record: serving_config.TargetRegistration
    ) -> None:
        """Apply a new or changed registration.

        One that its target wrote before the known one is ignored: a store
        that comes back from a copy shows such until the target writes again.
        So is one of an earlier incarnation that the known one has replaced;
        after a step of a clock, a new one may have an earlier start too.
        """
        known = self._targets.target_by_id.get(record.target_id)
        previous = known.record if known is not None else None
        if previous is not None and (
            _was_written_before(record, previous)
            or self._was_replaced_by(record, previous)
        ):
            _LOG.info(
                "outdated registration ignored",
                extra={
                    "target": record.target_id,
                    "sequence": record.sequence,
                    "known": previous.sequence,
                    "started_ms": record.started_ms,
                    "known_started_ms": previous.started_ms,
                },
            )
            return
        if known is not None and known.record.started_ms != record.started_ms:
            self._remember_replaced(known)
        self._targets.add_or_update(record, self._clock.now())
        if previous is None or _should_log_change(previous, record):
            _LOG.info(
                "target registered",
                extra={
                    "target": record.target_id,
                    "service": record.service_id,
                    "address": record.address,
                    "domain": record.domain,
                    "standing": record.lifecycle.value,
                    "started_ms": record.started_ms,
                    "cold_s": record.warm_up_remaining_s,
                },
            )

    def _was_replaced_by(
        self,
        record: serving_config.TargetRegistration,
        known: serving_config.TargetRegistration,
    ) -> bool:
        """Whether it was known before an incarnation that replaced it.

        One that writes again is running.
        """
        latest = self._replaced.get((record.target_id, record.started_ms), -1)
        return (
            record.started_ms < known.started_ms and record.sequence <= latest
        )

    def _remember_replaced(self, view: target_views.TargetView) -> None:
        self._replaced[view.incarnation_key] = view.record.sequence
        if len(self._replaced) > _MAX_REPLACED:
            del self._replaced[next(iter(self._replaced))]

    def handle_removal(self, target_id: ids.TargetId) -> None:
        """Handle the end of a registration.

        Right after an outage of the store the target is removed only if it
        does not register again in time.
        """
        view = self._targets.target_by_id.get(target_id)
        if view is None:
            return
        since_return_s = self._clock.now() - self._store_returned_at
        if since_return_s >= _REGISTRATION_GRACE_S or view.is_leaving:
            self._remove_target(target_id, "registration ended")
            return
        view.is_registered = False
        _LOG.info(
            "target lapsed while the store was away",
            extra={
                "target": target_id,
                "returned_s": round(since_return_s, 3),
            },
        )
        loop = asyncio.get_running_loop()
        loop.call_later(
            _REGISTRATION_GRACE_S - since_return_s,
            self._remove_if_unregistered,
            target_id,
        )

    def _remove_if_unregistered(self, target_id: ids.TargetId) -> None:
        view = self._targets.target_by_id.get(target_id)
        if view is not None and not view.is_registered:
            self._remove_target(
                target_id, "did not return after the store did"
            )

    def _remove_target(self, target_id: ids.TargetId, reason: str) -> None:
        self._targets.remove(target_id)
        _LOG.info("target gone", extra={"target": target_id, "reason": reason})


def _was_written_before(
    record: serving_config.TargetRegistration,
    known: serving_config.TargetRegistration,
) -> bool:
    """Whether the same incarnation wrote a registration before another."""
    return (
        0 < record.started_ms == known.started_ms
        and 0 < record.sequence < known.sequence
    )


def _should_log_change(
    previous: serving_config.TargetRegistration,
    record: serving_config.TargetRegistration,
) -> bool:
    """Whether more than the remaining warm-up has changed.

    That is the lifecycle state, the start or the address.
    """
    return (
        previous.lifecycle is not record.lifecycle
        or previous.started_ms != record.started_ms
        or previous.address != record.address
    )
