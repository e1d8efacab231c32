"""Runs a request at targets: choices, sends, second attempts.

A request that may not be repeated is sent again only while it is certain that
it has not run.
"""

import collections
from collections import abc

import msgspec

from chicorydoor.coordination import requests
from chicorydoor.coordination import target_selection
from chicorydoor.coordination import target_sender
from chicorydoor.protocol import calls
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.state import retry_budget
from chicorydoor.state import service_split
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import target_channel

# Targets that one request tries to reach at most, sent or not.
_TRIES = 4
# When a service has no usable target: they are listed or probed again by
# then.
_NO_TARGET_RETRY_S = 0.5
# A full target has a slot free after about one request's time.
_BUSY_RETRY_S = 0.25
# A lasting overload does not end within a moment.
_OVERLOAD_RETRY_S = 1.0

_CODES = result_codes.ResultCode


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
        selection (TargetSelection): Chooses among the targets.
        sender (TargetSender): Sends to them.
        new_budget (callable): Makes a service's retry budget.
        entries (callable): Number of entries that may be alive.
        clock (Clock): Time.
    """

    def __init__(
        self,
        *,
        selection: target_selection.TargetSelection,
        sender: target_sender.TargetSender,
        new_budget: abc.Callable[[], retry_budget.RetryBudget],
        entries: abc.Callable[[], int],
        clock: clock_module.Clock,
    ) -> None:
        self.selection = selection
        self.sender = sender
        self.clock = clock
        self._entries = entries
        self._split = service_split.ServiceSplit()
        self._budget_by_service: collections.defaultdict[
            ids.ServiceId, retry_budget.RetryBudget
        ] = collections.defaultdict(new_budget)

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

    def may_retry(self, service_id: ids.ServiceId) -> bool:
        """Take a repeated send out of the service's budget."""
        budget = self._budget_by_service[service_id]
        return budget.try_spend(self.clock.now(), self._entries())


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
        self._paid_repeats = 0
        self._may_have_run = False
        self._failed: target_channel.WholeAnswer | None = None
        self._refusal = requests.RefusedError(
            _CODES.TARGET_SHED, retry_after_s=_BUSY_RETRY_S
        )

    async def run(self) -> target_channel.WholeAnswer:
        """Send until there is an answer, or nothing more may be done."""
        for _ in range(_TRIES):
            choice = self._choose()
            if choice is None or not self._is_paid():
                break
            sent = await self._runner.sender.send(self._call, choice)
            self._note(sent)
            if (
                sent.verdict is target_sender.Verdict.ANSWERED
                and sent.answer is not None
            ):
                return sent.answer
            if not self._may_send_again(sent):
                break
        return self._give_up()

    def _note(self, sent: target_sender.Sent) -> None:
        self._tried.append(sent.target_id)
        self._trace.sends.append(
            f"{sent.target_id}:{sent.verdict.value}:{sent.reason}"
        )
        if sent.verdict is target_sender.Verdict.FAILED:
            self._failed = sent.answer
        if sent.verdict in (
            target_sender.Verdict.UNKNOWN,
            target_sender.Verdict.FAILED,
        ):
            self._may_have_run = True
        if sent.verdict is not target_sender.Verdict.NOT_SENT:
            self._arrivals += 1
            if self._arrivals > 1:
                metrics.RETRIES.inc()

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

    def _may_send_again(self, sent: target_sender.Sent) -> bool:
        """Whether another send keeps every promise but the budget."""
        call = self._call
        if self._may_have_run and not call.route.is_repeatable:
            return False
        if (
            self._runner.clock.now() + target_sender.ANSWER_MARGIN_S
            >= call.deadline
        ):
            return False
        if sent.verdict is target_sender.Verdict.NOT_SENT:
            return True
        return self._arrivals < call.route.attempt_limit

    def _is_paid(self) -> bool:
        """Whether the next send is the first, or the budget bears it."""
        if self._arrivals > self._paid_repeats:
            if not self._runner.may_retry(self._subject.service_id):
                return False
            self._paid_repeats += 1
        return True

    def _give_up(self) -> target_channel.WholeAnswer:
        """The target's own failure, or a refusal that is true."""
        if self._failed is not None:
            return self._failed
        if not self._may_have_run:
            raise self._refusal
        is_late = self._runner.clock.now() >= (
            self._call.deadline - 2 * target_sender.ANSWER_MARGIN_S
        )
        code = _CODES.DEADLINE_PASSED if is_late else _CODES.TARGET_FAILED
        raise requests.RefusedError(code)
