"""Sends a request to a target once and determines the outcome.

Only this module decides the outcome: not run only if no byte was sent or the
target says so, answered or failed if a complete response arrived, unknown
otherwise.
"""

import asyncio
from collections import abc
import enum
import logging

import msgspec

from chicorydoor import errors
from chicorydoor.coordination import target_selection
from chicorydoor.protocol import calls
from chicorydoor.protocol import ids
from chicorydoor.protocol import wire_names
from chicorydoor.state import cold_limits
from chicorydoor.state import idle_caution
from chicorydoor.state import target_book
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import target_channel

# A lost packet of the TCP handshake is retransmitted after a second; trying
# another target is faster.
_CONNECT_TIMEOUT_S = 0.7
# A reset within two round-trip times plus this after sending did not come from
# a target that had worked on the request.
_PROMPT_RESET_S = 0.02
# Time reserved so that the entry's own response arrives before the deadline.
ANSWER_MARGIN_S = 0.01
_SUCCESS = range(200, 300)
_SERVER_ERRORS = range(500, 600)
_MISDIRECTED = 421

_LOG = logging.getLogger(__name__)


class Verdict(enum.Enum):
    """What is known of a request after it was sent once."""

    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    ANSWERED = "answered"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Sent(msgspec.Struct):
    """The result of one send.

    Args:
        verdict (Verdict): What is known of the request.
        target_id (str): The target.
        answer (WholeAnswer): The complete response; None if there was none.
            Defaults to None.
        reason (str): Status of the response, or why there was none.
            Defaults to empty.
    """

    verdict: Verdict
    target_id: ids.TargetId
    answer: target_channel.WholeAnswer | None = None
    reason: str = ""


class TargetSender:
    """Holds the connections to targets and records what responses show.

    Args:
        book (TargetBook): The known targets.
        selection (TargetSelection): Records cached objects and service
            times for later choices.
        cold (ColdLimits): Counts requests to cold targets.
        cold_rate_per_s (callable): Returns the requests per second that a
            cold target of a service can take.
        wire (WireNames): Header names.
        clock (Clock): Source of time.
        on_unreachable (callable): Called with a target that does not
            answer, and the reason.
        on_distance (callable): Called with a region and the seconds that
            opening a connection to it took.
    """

    def __init__(
        self,
        *,
        book: target_book.TargetBook,
        selection: target_selection.TargetSelection,
        cold: cold_limits.ColdLimits,
        cold_rate_per_s: abc.Callable[[ids.ServiceId], float],
        wire: wire_names.WireNames,
        clock: clock_module.Clock,
        on_unreachable: abc.Callable[[target_book.TargetView, str], None],
        on_distance: abc.Callable[[ids.RegionId, float], None],
    ) -> None:
        self._book = book
        self._selection = selection
        self._cold = cold
        self._cold_rate_per_s = cold_rate_per_s
        self._wire = wire
        self._clock = clock
        self._on_unreachable = on_unreachable
        self._on_distance = on_distance
        self.idle_caution = idle_caution.IdleCaution()
        self._pool_by_holder: dict[
            tuple[ids.TargetId, int], target_channel.ChannelPool
        ] = {}

    async def send(
        self, call: calls.Call, choice: target_selection.Choice
    ) -> Sent:
        """Send a request to a target once.

        Args:
            call (Call): The request.
            choice (Choice): The target with its estimates.
        """
        view = choice.view
        now = self._clock.now()
        if choice.is_cold:
            rate = self._cold_rate_per_s(view.record.service_id)
            self._cold.note_sent(view.target_id, rate, now)
        object_id = (call.route.route_id, call.affinity)
        view.own_running += 1
        view.has_worked = True
        try:
            sent = await self._exchange(call, choice)
            if sent.verdict in (Verdict.ANSWERED, Verdict.FAILED):
                self._selection.memory.note(
                    object_id, view.holder, self._clock.now()
                )
        finally:
            view.own_running -= 1
        return sent

    async def _exchange(
        self, call: calls.Call, choice: target_selection.Choice
    ) -> Sent:
        view = choice.view
        try:
            remaining_s = call.deadline - self._clock.now()
            limit_s = min(_CONNECT_TIMEOUT_S, remaining_s)
            pool = self.pool(view)
            channel = await pool.take(
                limit_s, self.idle_caution.limit_s(self._clock.now())
            )
        except errors.TargetError as error:
            self._on_unreachable(view, f"{error}")
            return Sent(Verdict.NOT_SENT, view.target_id, reason=f"{error}")
        started_at = self._clock.now()
        remaining_s = call.deadline - started_at - ANSWER_MARGIN_S
        if remaining_s <= 0:
            pool.put_back(channel, view.record.slots)
            return Sent(
                Verdict.NOT_SENT, view.target_id, reason="no time left"
            )
        request = calls.encode(call, self._wire, view.target_id, remaining_s)
        try:
            async with asyncio.timeout(remaining_s):
                answer = await channel.exchange(
                    request, call.request_id, call.method == b"HEAD"
                )
        except TimeoutError:
            return self._record_timeout(view, started_at)
        except errors.TargetError as error:
            self._record_idle_loss(view, channel, error, started_at)
            return self._record_broken_connection(view, error)
        pool.put_back(channel, view.record.slots)
        return self._evaluate_answer(call, choice, answer, started_at)

    def _record_timeout(
        self, view: target_book.TargetView, sent_at: float
    ) -> Sent:
        """Record that no response arrived in time."""
        reason = "no answer in time"
        if view.note_lost(sent_at, self._clock.now()):
            self._on_unreachable(view, reason)
        return Sent(Verdict.UNKNOWN, view.target_id, reason=reason)

    def _record_broken_connection(
        self, view: target_book.TargetView, error: errors.TargetError
    ) -> Sent:
        """Record that the connection ended.

        A target that resets a connection is still reachable.
        """
        view.note_broken(self._clock.now())
        if error.is_unreachable:
            self._on_unreachable(view, f"{error}")
        verdict = (
            Verdict.UNKNOWN if error.may_have_been_sent else Verdict.NOT_SENT
        )
        return Sent(verdict, view.target_id, reason=f"{error}")

    def _record_idle_loss(
        self,
        view: target_book.TargetView,
        channel: target_channel.TargetChannel,
        error: errors.TargetError,
        sent_at: float,
    ) -> None:
        """Record a reset of an idle connection that the target had dropped."""
        now = self._clock.now()
        round_trip_s = self._selection.distance_s(view.region)
        is_prompt = now - sent_at < 2 * round_trip_s + _PROMPT_RESET_S
        if (
            not error.may_have_been_sent
            or channel.rested_s <= 0
            or not is_prompt
        ):
            return
        self.idle_caution.note_loss(channel.rested_s, now)
        _LOG.info(
            "idle connection lost",
            extra={
                "target": view.target_id,
                "rested_s": round(channel.rested_s, 3),
                "trusted_s": round(self.idle_caution.limit_s(now), 3),
            },
        )

    def _evaluate_answer(
        self,
        call: calls.Call,
        choice: target_selection.Choice,
        answer: target_channel.WholeAnswer,
        started_at: float,
    ) -> Sent:
        view = choice.view
        now = self._clock.now()
        self._record_load(view, answer, now)
        if answer.status == _MISDIRECTED:
            self._book.set_reach(view, target_book.Reach.REPLACED)
            _LOG.warning(
                "target replaced",
                extra={
                    "target": view.target_id,
                    "address": view.record.address,
                },
            )
            return Sent(Verdict.NOT_RUN, view.target_id, reason="replaced")
        if answer.header(self._wire.not_run) is not None:
            view.note_answer(1.0, False, now)
            return Sent(
                Verdict.NOT_RUN, view.target_id, answer, f"{answer.status}"
            )
        if (
            answer.status in _SUCCESS
            and answer.header(self._wire.seal) is None
        ):
            view.note_answer(1.0, True, now)
            return Sent(
                Verdict.UNKNOWN, view.target_id, reason="answer not sealed"
            )
        is_failure = answer.status in _SERVER_ERRORS
        self._record_response_time(
            call, choice, now - started_at, is_failure, now
        )
        verdict = Verdict.FAILED if is_failure else Verdict.ANSWERED
        return Sent(verdict, view.target_id, answer, f"{answer.status}")

    def _record_load(
        self,
        view: target_book.TargetView,
        answer: target_channel.WholeAnswer,
        now: float,
    ) -> None:
        value = answer.header(self._wire.load)
        if value is None:
            return
        try:
            running, waiting, _ = (int(field) for field in value.split(b","))
        except ValueError:
            metrics.TARGET_LOAD_PARSE_ERRORS.inc()
            return
        view.note_load(running + waiting, now)

    def _record_response_time(
        self,
        call: calls.Call,
        choice: target_selection.Choice,
        elapsed_s: float,
        is_failure: bool,
        now: float,
    ) -> None:
        view = choice.view
        expected_s = max(choice.expected_s, 1e-3)
        view.note_answer(elapsed_s / expected_s, is_failure, now)
        is_saturated = view.running(now) >= view.record.slots
        if is_failure or choice.is_cold or is_saturated:
            return
        distance_s = self._selection.distance_s(view.region)
        self._selection.times.note(
            call.route, choice.is_known, max(0.0, elapsed_s - distance_s)
        )

    def pool(self, view: target_book.TargetView) -> target_channel.ChannelPool:
        """Return the connection pool of a target's current incarnation."""
        pool = self._pool_by_holder.get(view.holder)
        if pool is None:
            pool = target_channel.ChannelPool(
                view.record.address,
                self._wire.request_id,
                self._clock,
                lambda seconds: self._on_distance(view.region, seconds),
            )
            self._pool_by_holder[view.holder] = pool
        return pool

    def forget_gone(self) -> None:
        """Close connections to targets that get no more requests."""
        in_use = {
            view.holder
            for view in self._book.target_by_id.values()
            if self._book.may_get_work(view)
        }
        for holder in self._pool_by_holder.keys() - in_use:
            self._pool_by_holder.pop(holder).close()
        self._selection.shedding.keep_only(set(self._book.target_by_id))

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pool_by_holder.values():
            pool.close()
