"""Requests that end the targets that run them.

A caller may repeat such a request under new ids at any entry, so it is known
by its fingerprint (``AdmittedRequest.fingerprint``). A request that got no
response, because its connection broke or stayed silent, is suspected of the
end of its target once that target refuses connections. A request under which
several targets have ended, and that no target has ever answered, is blocked:
no entry sends it.

Other requests are lost with the same targets. One that is repeated has been
answered before or is answered next time, which clears it. The entries tell
each other of suspected and of cleared requests.
"""

import collections
from collections import abc
import logging
import typing

import msgspec

from chicorydoor.protocol import ids
from chicorydoor.state import designated_entries
from chicorydoor.transport import metrics

# Targets that end under a request before it is blocked. A target that ends
# for another reason takes a request with it, a retry of the entry may lose a
# second one.
_ENDED_TARGETS_TO_BLOCK = 3
# A target refuses connections within a round trip after it has ended; a
# request that was lost earlier has another cause.
_LOSS_TO_END_S = 2.0
# The same for a response that is missing at the deadline: whether its target
# still listens is checked at once.
_SILENCE_TO_END_S = 1.0
# The end of a target is remembered for as long as requests that were under way
# may still wait for its response; routes have timeouts of a few seconds.
_ENDED_LIFETIME_S = 30.0
# A suspected request is forgotten if no target ended under it for this long.
# As long, an answer shows that a request is not the cause.
_SUSPECT_LIFETIME_S = 600.0
# Time between two trials of a blocked request by one entry, which clear one
# that was blocked by mistake. Each may end a target.
_TRIAL_INTERVAL_S = 600.0
# A blocked request is forgotten when no caller has sent it for this long.
_BLOCKED_LIFETIME_S = 3600.0
# Suspected requests are reported to other entries for this time after the
# latest target ended; several heartbeats and digests are sent in it.
_REPORTED_FOR_S = 5.0
# Bounds on memory and messages. A target that ends loses about as many
# requests as it has slots.
_MAX_REQUESTS = 4096
_MAX_LOST_PER_TARGET = 256
_MAX_ANSWERED = 32_768
_MAX_REPORTS = 64

_LOG = logging.getLogger(__name__)

Fingerprint = bytes


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """What an entry knows of a suspected request, for other entries.

    Args:
        fingerprint (bytes): The request's fingerprint.
        ended_targets (list): Incarnations of the targets that ended under it.
        was_answered (bool): Whether a target has answered it, so that it is
            not the cause.
        age_ms (int): Time since a target last ended under it or, if it is
            blocked, since a caller last sent it, in milliseconds.
    """

    fingerprint: Fingerprint
    ended_targets: list[ids.TargetIncarnation]
    was_answered: bool
    age_ms: int


class _Suspect(msgspec.Struct):
    """A request under which targets have ended.

    Times are in seconds of the entry's clock.

    Args:
        seen_at (float): When a target last ended under it, or a caller last
            sent it while it was blocked.
        ended_targets (set): Incarnations of these targets. Defaults to none.
        next_trial_at (float): When it may next be sent while it is blocked.
            Defaults to 0.
    """

    seen_at: float
    ended_targets: set[ids.TargetIncarnation] = set()
    next_trial_at: float = 0.0

    @property
    def is_blocked(self) -> bool:
        return len(self.ended_targets) >= _ENDED_TARGETS_TO_BLOCK


class RequestCrashes:
    """The suspected and blocked requests that one entry knows.

    Args:
        instance (str): This entry's instance id.
        get_instances (callable): Returns the instance ids of all entries that
            may be alive, including this one.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        get_instances: abc.Callable[[], abc.Collection[ids.InstanceId]],
    ) -> None:
        self._instance = instance
        self._get_instances = get_instances
        self._suspect_by_fingerprint: dict[Fingerprint, _Suspect] = {}
        # Until when the end of its target counts against a lost request.
        self._lost_by_incarnation: dict[
            ids.TargetIncarnation, dict[Fingerprint, float]
        ] = {}
        self._ended_at_by_incarnation: dict[ids.TargetIncarnation, float] = {}
        # When the most recently answered requests were, the latest last.
        self._answered_at: collections.OrderedDict[Fingerprint, float] = (
            collections.OrderedDict()
        )
        self._cleared_at: dict[Fingerprint, float] = {}

    @property
    def blocked_count(self) -> int:
        """Number of blocked requests."""
        return sum(
            suspect.is_blocked
            for suspect in self._suspect_by_fingerprint.values()
        )

    def may_send(self, fingerprint: Fingerprint, now: float) -> bool:
        """Whether a request may be sent to a target.

        A trial of a blocked request is counted as sent.
        """
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or not suspect.is_blocked:
            return True
        suspect.seen_at = now
        if now < suspect.next_trial_at:
            return False
        suspect.next_trial_at = now + _TRIAL_INTERVAL_S
        return self.is_designated(fingerprint)

    def is_designated(self, fingerprint: Fingerprint) -> bool:
        """Whether this entry acts for all entries on a blocked request."""
        return self._instance in designated_entries.designate(
            fingerprint.hex(), self._get_instances(), 1
        )

    def record_answered(self, fingerprint: Fingerprint, now: float) -> None:
        """Record that a target has run a request without ending."""
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > _MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        if fingerprint in self._suspect_by_fingerprint:
            self._clear(fingerprint, now)

    def _clear(self, fingerprint: Fingerprint, now: float) -> None:
        suspect = self._suspect_by_fingerprint.pop(fingerprint, None)
        self._cleared_at[fingerprint] = now
        if suspect is not None and suspect.is_blocked:
            _report_unblocked(fingerprint)
            metrics.BLOCKED_REQUESTS.set(self.blocked_count)

    def record_lost(
        self,
        fingerprint: Fingerprint,
        incarnation: ids.TargetIncarnation,
        sent_at: float,
        now: float,
        is_silent: bool = False,
    ) -> None:
        """Record that a request ended without a response.

        Args:
            fingerprint (bytes): The request's fingerprint.
            incarnation (tuple): The target's incarnation.
            sent_at (float): When the request was sent, in seconds.
            now (float): Current time in seconds.
            is_silent (bool): Whether its connection is still open. Defaults to
                False.
        """
        ended_at = self._ended_at_by_incarnation.get(incarnation)
        if ended_at is not None and (
            sent_at <= ended_at or now - ended_at <= _LOSS_TO_END_S
        ):
            self._add_ended(fingerprint, {incarnation}, now, now)
            return
        lost = self._lost_by_incarnation.setdefault(incarnation, {})
        if len(lost) < _MAX_LOST_PER_TARGET:
            lost[fingerprint] = now + (
                _SILENCE_TO_END_S if is_silent else _LOSS_TO_END_S
            )

    def record_ended(
        self, incarnation: ids.TargetIncarnation, now: float
    ) -> None:
        """Record that a target refuses connections."""
        self._ended_at_by_incarnation[incarnation] = now
        lost = self._lost_by_incarnation.pop(incarnation, {})
        for fingerprint, counts_until in lost.items():
            if now <= counts_until:
                self._add_ended(fingerprint, {incarnation}, now, now)

    def retract_ended(self, incarnation: ids.TargetIncarnation) -> None:
        """Forget that a target has ended: this entry was cut off from it."""
        self._ended_at_by_incarnation.pop(incarnation, None)
        for fingerprint, suspect in list(self._suspect_by_fingerprint.items()):
            was_blocked = suspect.is_blocked
            suspect.ended_targets.discard(incarnation)
            if not suspect.ended_targets:
                del self._suspect_by_fingerprint[fingerprint]
            if was_blocked and not suspect.is_blocked:
                _report_unblocked(fingerprint)
        metrics.BLOCKED_REQUESTS.set(self.blocked_count)

    def _add_ended(
        self,
        fingerprint: Fingerprint,
        incarnations: set[ids.TargetIncarnation],
        ended_at: float,
        now: float,
    ) -> None:
        answered_at = self._answered_at.get(fingerprint, float("-inf"))
        if now - answered_at < _SUSPECT_LIFETIME_S:
            # Other entries may suspect it too.
            self._cleared_at[fingerprint] = now
            return
        if fingerprint in self._cleared_at:
            return
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            self._make_room()
            suspect = _Suspect(ended_at)
            self._suspect_by_fingerprint[fingerprint] = suspect
        was_blocked = suspect.is_blocked
        suspect.seen_at = max(suspect.seen_at, ended_at)
        if not was_blocked:
            suspect.ended_targets |= incarnations
        if suspect.is_blocked and not was_blocked:
            suspect.next_trial_at = now + _TRIAL_INTERVAL_S
            self._report_blocked(fingerprint, suspect)

    def _report_blocked(
        self, fingerprint: Fingerprint, suspect: _Suspect
    ) -> None:
        _LOG.warning(
            "request blocked",
            extra={
                "fingerprint": fingerprint.hex(),
                "ended_targets": sorted(
                    target_id for target_id, _ in suspect.ended_targets
                ),
            },
        )
        metrics.REQUESTS_BLOCKED.inc()
        metrics.BLOCKED_REQUESTS.set(self.blocked_count)

    def _make_room(self) -> None:
        """Forget the least suspected request if there are too many."""
        if len(self._suspect_by_fingerprint) >= _MAX_REQUESTS:
            least = min(self._suspect_by_fingerprint.items(), key=_suspicion)
            del self._suspect_by_fingerprint[least[0]]

    def blocked_reports(self, now: float) -> list[CrashReport]:
        """Return reports on the blocked requests."""
        return [
            _build_report(fingerprint, suspect, now)
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            if suspect.is_blocked
        ]

    def recent_reports(self, now: float) -> list[CrashReport]:
        """Return reports on blocked, recently suspected and cleared requests.

        If there are too many, those under which fewest targets have ended are
        left out.
        """
        cleared = [
            CrashReport(fingerprint, [], True, _age_ms(cleared_at, now))
            for fingerprint, cleared_at in self._cleared_at.items()
            if now - cleared_at < _REPORTED_FOR_S
        ]
        suspects = [
            (fingerprint, suspect)
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            if suspect.is_blocked or now - suspect.seen_at < _REPORTED_FOR_S
        ]
        suspects.sort(key=_suspicion, reverse=True)
        reports = cleared[-_MAX_REPORTS // 2 :]
        for fingerprint, suspect in suspects[: _MAX_REPORTS - len(reports)]:
            reports.append(_build_report(fingerprint, suspect, now))
        return reports

    def apply_reports(
        self, reports: abc.Iterable[CrashReport], now: float
    ) -> None:
        """Apply what other entries know of suspected requests."""
        for report in reports:
            fingerprint = report.fingerprint
            if report.was_answered:
                if fingerprint in self._suspect_by_fingerprint:
                    self._clear(fingerprint, now)
                continue
            seen_at = now - report.age_ms / 1000
            self._add_ended(
                fingerprint, set(report.ended_targets), seen_at, now
            )

    def remove_expired(self, now: float) -> None:
        """Forget what is too old to matter."""
        for fingerprint, suspect in list(self._suspect_by_fingerprint.items()):
            lifetime_s = (
                _BLOCKED_LIFETIME_S
                if suspect.is_blocked
                else _SUSPECT_LIFETIME_S
            )
            if now - suspect.seen_at > lifetime_s:
                del self._suspect_by_fingerprint[fingerprint]
                metrics.BLOCKED_REQUESTS.set(self.blocked_count)
        for incarnation, lost in list(self._lost_by_incarnation.items()):
            if now > max(lost.values()):
                del self._lost_by_incarnation[incarnation]
        _remove_older(self._ended_at_by_incarnation, now - _ENDED_LIFETIME_S)
        _remove_older(self._cleared_at, now - _SUSPECT_LIFETIME_S)


def _report_unblocked(fingerprint: Fingerprint) -> None:
    _LOG.info("request unblocked", extra={"fingerprint": fingerprint.hex()})


def _build_report(
    fingerprint: Fingerprint, suspect: _Suspect, now: float
) -> CrashReport:
    return CrashReport(
        fingerprint,
        sorted(suspect.ended_targets),
        False,
        _age_ms(suspect.seen_at, now),
    )


def _suspicion(
    item: tuple[Fingerprint, _Suspect],
) -> tuple[int, float]:
    """Key by which the requests under which most targets ended are last."""
    suspect = item[1]
    return len(suspect.ended_targets), suspect.seen_at


def _age_ms(at: float, now: float) -> int:
    return max(0, round(1000 * (now - at)))


_KeyT = typing.TypeVar("_KeyT")


def _remove_older(time_by_key: dict[_KeyT, float], oldest: float) -> None:
    for key in [key for key, at in time_by_key.items() if at < oldest]:
        del time_by_key[key]
