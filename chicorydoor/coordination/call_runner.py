"""Runs a request at targets: choice, sending, outcome, second attempts.

The outcome of each send is decided in one place: ``not run`` only if no byte
was sent or the target says so, ``ran`` if it answered, ``unknown`` for the
rest. A request that may not be repeated is sent again only after ``not
run``.
"""

import asyncio
import collections
from collections import abc
import enum
import logging

import msgspec

from chicorydoor import errors
from chicorydoor.coordination import requests
from chicorydoor.coordination import target_selection
from chicorydoor.protocol import calls
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.protocol import wire_names
from chicorydoor.state import cold_limits
from chicorydoor.state import retry_budget
from chicorydoor.state import service_split
from chicorydoor.state import target_book
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import target_channel

# One lost packet of a handshake is sent again after a second; another
# target is sooner.
_CONNECT_TIMEOUT_S = 0.7
# Targets that one request tries to reach at most, sent or not.
_TRIES = 4
# Time kept back so that an answer of the entry arrives before the deadline.
_ANSWER_MARGIN_S = 0.01
# When a service has no usable target: they are listed or probed again by
# then.
_NO_TARGET_RETRY_S = 0.5
_BUSY_RETRY_S = 0.25
# A lasting overload does not end within a moment.
_OVERLOAD_RETRY_S = 1.0
_SERVER_ERRORS = range(500, 600)
_MISDIRECTED = 421

_CODES = result_codes.ResultCode
_LOG = logging.getLogger(__name__)


class Verdict(enum.Enum):
    """What is known after a send."""

    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    ANSWERED = "answered"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Sent(msgspec.Struct):
    """The result of one send.

    Args:
        answer (WholeAnswer): None if there was none. Defaults to None.
        reason (str): Why there was none. Defaults to empty.
    """

    verdict: Verdict
    target_id: ids.TargetId
    answer: target_channel.WholeAnswer | None = None
    reason: str = ""


class CallTrace(msgspec.Struct):
    """What happened to a request, for its log line."""

    service_id: str = ""
    sends: list[str] = []
    expected_s: float = 0.0
    is_known: bool = False
    load: float = 0.0
    load_age_s: float | None = None


class CallRunner:
    """Runs requests of one entry.

    Args:
        book (TargetBook): The targets.
        selection (TargetSelection): Chooses among them.
        cold (ColdLimits): Bounds requests to cold targets.
        new_budget (callable): Makes a service's retry budget.
        cold_rate_per_s (callable): What a cold target of a service bears.
        entries (callable): Number of entries that may be alive.
        wire (WireNames): Header names.
        clock (Clock): Time.
        on_unreachable (callable): Called with a target that does not
            answer, and the reason.
        on_distance (callable): Gets the seconds that opening a connection
            to a region took.
    """

    def __init__(
        self,
        *,
        book: target_book.TargetBook,
        selection: target_selection.TargetSelection,
        cold: cold_limits.ColdLimits,
        new_budget: abc.Callable[[], retry_budget.RetryBudget],
        cold_rate_per_s: abc.Callable[[ids.ServiceId], float],
        entries: abc.Callable[[], int],
        wire: wire_names.WireNames,
        clock: clock_module.Clock,
        on_unreachable: abc.Callable[[target_book.TargetView, str], None],
        on_distance: abc.Callable[[ids.RegionId, float], None],
    ) -> None:
        self._book = book
        self.selection = selection
        self._cold = cold
        self._cold_rate_per_s = cold_rate_per_s
        self._entries = entries
        self._wire = wire
        self.clock = clock
        self._on_unreachable = on_unreachable
        self._on_distance = on_distance
        self._split = service_split.ServiceSplit()
        self._budget_by_service: collections.defaultdict[
            ids.ServiceId, retry_budget.RetryBudget
        ] = collections.defaultdict(new_budget)
        self._pool_by_target: dict[
            tuple[ids.TargetId, int], target_channel.ChannelPool
        ] = {}

    async def run(
        self, call: calls.Call, trace: CallTrace
    ) -> target_channel.WholeAnswer:
        """Run a request.

        Raises:
            RefusedError: If there is no target's answer to pass on.
        """
        service_id = self._split.next_service(call.route)
        trace.service_id = service_id
        self._budget_by_service[service_id].note_request(self.clock.now())
        subject = target_selection.Subject(
            call.route, service_id, call.affinity, call.regions
        )
        return await _Attempts(self, call, subject, trace).run()

    def pool(self, view: target_book.TargetView) -> target_channel.ChannelPool:
        """Connections to a target's present incarnation."""
        name = (view.target_id, view.record.started_ms)
        pool = self._pool_by_target.get(name)
        if pool is None:
            pool = target_channel.ChannelPool(
                view.record.address,
                self._wire.request_id,
                self.clock,
                lambda seconds: self._on_distance(view.region, seconds),
            )
            self._pool_by_target[name] = pool
        return pool

    def forget_gone(self) -> None:
        """Close connections to targets that are no longer known."""
        known = {
            (view.target_id, view.record.started_ms)
            for view in self._book.target_by_id.values()
            if self._book.may_get_work(view)
        }
        for name in self._pool_by_target.keys() - known:
            self._pool_by_target.pop(name).close()
        self.selection.shedding.keep_only(set(self._book.target_by_id))

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pool_by_target.values():
            pool.close()

    def may_retry(self, service_id: ids.ServiceId) -> bool:
        """Take a repeated send out of the service's budget."""
        budget = self._budget_by_service[service_id]
        return budget.try_spend(self.clock.now(), self._entries())

    async def send(
        self, call: calls.Call, choice: target_selection.Choice
    ) -> Sent:
        """Send a request to a target once."""
        view = choice.view
        now = self.clock.now()
        if choice.is_cold:
            rate = self._cold_rate_per_s(view.record.service_id)
            self._cold.note_sent(view.target_id, rate, now)
        object_id = (call.route.route_id, call.affinity)
        view.own_running += 1
        view.has_worked = True
        try:
            sent = await self._exchange(call, choice)
            if sent.verdict in (Verdict.ANSWERED, Verdict.FAILED):
                self.selection.memory.note(
                    object_id, view.holder, self.clock.now()
                )
        finally:
            view.own_running -= 1
        return sent

    async def _exchange(
        self, call: calls.Call, choice: target_selection.Choice
    ) -> Sent:
        view = choice.view
        try:
            remaining_s = call.deadline - self.clock.now()
            limit_s = min(_CONNECT_TIMEOUT_S, remaining_s)
            pool = self.pool(view)
            channel = await pool.take(limit_s)
        except errors.TargetError as error:
            self._on_unreachable(view, f"{error}")
            return Sent(Verdict.NOT_SENT, view.target_id, reason=f"{error}")
        started_at = self.clock.now()
        remaining_s = call.deadline - started_at - _ANSWER_MARGIN_S
        request = calls.encode(call, self._wire, view.target_id, remaining_s)
        try:
            async with asyncio.timeout(remaining_s):
                answer = await channel.exchange(
                    request, call.request_id, call.method == b"HEAD"
                )
        except TimeoutError:
            return self._silent(view, started_at)
        except errors.TargetError as error:
            return self._broken(view, error)
        pool.put_back(channel, view.record.slots)
        return self._judge(call, choice, answer, started_at)

    def _silent(self, view: target_book.TargetView, sent_at: float) -> Sent:
        """No answer came in time."""
        reason = "no answer in time"
        if view.note_lost(sent_at, self.clock.now()):
            self._on_unreachable(view, reason)
        return Sent(Verdict.UNKNOWN, view.target_id, reason=reason)

    def _broken(
        self, view: target_book.TargetView, error: errors.TargetError
    ) -> Sent:
        """The connection ended; a target that resets it is still there."""
        view.note_broken(self.clock.now())
        if error.is_vanished:
            self._on_unreachable(view, f"{error}")
        verdict = Verdict.UNKNOWN if error.sent else Verdict.NOT_SENT
        return Sent(verdict, view.target_id, reason=f"{error}")

    def _judge(
        self,
        call: calls.Call,
        choice: target_selection.Choice,
        answer: target_channel.WholeAnswer,
        started_at: float,
    ) -> Sent:
        view = choice.view
        now = self.clock.now()
        self._note_load(view, answer, now)
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
        is_success = 200 <= answer.status < 300
        if is_success and answer.header(self._wire.seal) is None:
            view.note_answer(1.0, True, now)
            return Sent(
                Verdict.UNKNOWN, view.target_id, reason="answer not sealed"
            )
        is_failure = answer.status in _SERVER_ERRORS
        self._note_time(call, choice, now - started_at, is_failure, now)
        verdict = Verdict.FAILED if is_failure else Verdict.ANSWERED
        return Sent(verdict, view.target_id, answer, f"{answer.status}")

    def _note_load(
        self,
        view: target_book.TargetView,
        answer: target_channel.WholeAnswer,
        now: float,
    ) -> None:
        told = answer.header(self._wire.load)
        if told is None:
            return
        try:
            running, waiting, _ = (int(part) for part in told.split(b","))
        except ValueError:
            metrics.TARGET_LOAD_UNREADABLE.inc()
            return
        view.note_load(running + waiting, now)

    def _note_time(
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
        is_waiting = view.running(now) >= view.record.slots
        if is_failure or choice.is_cold or is_waiting:
            return
        distance_s = self.selection.distance_s(view.region)
        self.selection.times.note(
            call.route, choice.is_known, max(0.0, elapsed_s - distance_s)
        )


class _Attempts:
    """The sends of one request."""

    def __init__(
        self,
        runner: CallRunner,
        call: calls.Call,
        subject: target_selection.Subject,
        trace: CallTrace,
    ) -> None:
        self._runner = runner
        self._call = call
        self._subject = subject
        self._trace = trace
        self._tried: list[ids.TargetId] = []
        self._arrivals = 0
        self._may_have_run = False
        self._failed: target_channel.WholeAnswer | None = None
        self._refusal = requests.RefusedError(
            _CODES.TARGET_SHED, retry_after_s=_BUSY_RETRY_S
        )

    async def run(self) -> target_channel.WholeAnswer:
        """Send until there is an answer, or nothing more may be done."""
        for _ in range(_TRIES):
            choice = self._choose()
            if choice is None:
                break
            sent = await self._runner.send(self._call, choice)
            self._note(sent)
            if sent.verdict is Verdict.ANSWERED and sent.answer is not None:
                return sent.answer
            if not self._may_send_again(sent):
                break
        return self._give_up()

    def _note(self, sent: Sent) -> None:
        self._tried.append(sent.target_id)
        self._trace.sends.append(
            f"{sent.target_id}:{sent.verdict.value}:{sent.reason}"
        )
        if sent.verdict is Verdict.FAILED:
            self._failed = sent.answer
        if sent.verdict in (Verdict.UNKNOWN, Verdict.FAILED):
            self._may_have_run = True
        if sent.verdict is not Verdict.NOT_SENT:
            self._arrivals += 1
            metrics.RETRIES.inc(self._arrivals > 1)

    def _choose(self) -> target_selection.Choice | None:
        runner, call = self._runner, self._call
        now = runner.clock.now()
        choice = runner.selection.choose(self._subject, now, self._tried)
        if choice is None:
            self._refusal = requests.RefusedError(
                _CODES.NO_TARGET, retry_after_s=_NO_TARGET_RETRY_S
            )
            return None
        trace = self._trace
        trace.expected_s = choice.expected_s
        trace.is_known = choice.is_known
        trace.load = choice.view.running(now)
        trace.load_age_s = choice.view.report_age_s(now)
        if now + choice.expected_s > call.deadline:
            self._refusal = requests.RefusedError(
                _CODES.NO_CAPACITY, retry_after_s=_BUSY_RETRY_S
            )
            return None
        if runner.selection.sheds(self._subject, choice, now):
            self._refusal = requests.RefusedError(
                _CODES.NO_CAPACITY,
                "the only regions that may serve it are overloaded",
                retry_after_s=_OVERLOAD_RETRY_S,
            )
            return None
        return choice

    def _may_send_again(self, sent: Sent) -> bool:
        """Whether another send keeps every promise; counts it if so."""
        call = self._call
        if self._may_have_run and not call.route.is_repeatable:
            return False
        if self._runner.clock.now() + _ANSWER_MARGIN_S >= call.deadline:
            return False
        if sent.verdict is Verdict.NOT_SENT:
            return True
        if self._arrivals >= call.route.attempt_limit:
            return False
        return self._runner.may_retry(self._subject.service_id)

    def _give_up(self) -> target_channel.WholeAnswer:
        """The target's own failure, or a refusal that is true."""
        if self._failed is not None:
            return self._failed
        if not self._may_have_run:
            raise self._refusal
        is_late = self._runner.clock.now() >= (
            self._call.deadline - 2 * _ANSWER_MARGIN_S
        )
        code = _CODES.DEADLINE_PASSED if is_late else _CODES.TARGET_FAILED
        raise requests.RefusedError(code)
