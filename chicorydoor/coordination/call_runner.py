"""Runs a request at targets: selection, sending and retries.

A request that may not be repeated is sent again only while it is certain that
it has not run.
"""

import collections
from collections import abc

import msgspec

from chicorydoor.coordination import request_types
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

# Targets that are tried for one request, including those that could not be
# reached.
_MAX_TRIES = 4
# For a service without a usable target: by then targets have been listed or
# probed again.
_NO_TARGET_RETRY_AFTER_S = 0.5
# A fully loaded target has a free slot after about one request's time.
_BUSY_RETRY_AFTER_S = 0.25
# Longer, because a lasting overload does not end at once.
_OVERLOAD_RETRY_AFTER_S = 1.0

_CODES = result_codes.ResultCode


class CallTrace(msgspec.Struct):
    """What happened to a request, for its log line.

    Args:
        service_id (str): The service that was chosen. Defaults to empty.
        sends (list): Target, verdict and reason of each send. Defaults to
            none.
        expected_s (float): Expected response time of the last choice, in
            seconds. Defaults to 0.
        is_known (bool): Whether that target should have the object cached.
            Defaults to False.
        load (float): Requests running or waiting at that target. Defaults
            to 0.
        load_age_s (float): Age of the target's load report in seconds; None
            without a report. Defaults to None.
    """

    service_id: str = ""
    sends: list[str] = []
    expected_s: float = 0.0
    is_known: bool = False
    load: float = 0.0
    load_age_s: float | None = None


class CallRunner:
    """Runs the requests of one entry.

    Args:
        selection (TargetSelection): Chooses targets.
        sender (TargetSender): Sends requests to targets.
        new_budget (callable): Creates the retry budget of a service.
        entries (callable): Returns the number of entries that may be alive.
        clock (Clock): Source of time.
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
        self._service_split = service_split.ServiceSplit()
        self._budget_by_service: collections.defaultdict[
            ids.ServiceId, retry_budget.RetryBudget
        ] = collections.defaultdict(new_budget)

    async def run(
        self, call: calls.Call, trace: CallTrace
    ) -> target_channel.WholeAnswer:
        """Run a request at one or more targets.

        Args:
            call (Call): The request.
            trace (CallTrace): Filled for the request's log line.

        Raises:
            RefusedError: If there is no target's response to pass on.
        """
        service_id = self._service_split.next_service(call.route)
        trace.service_id = service_id
        self._budget_by_service[service_id].note_request(self.clock.now())
        subject = target_selection.Subject(
            call.route, service_id, call.affinity, call.regions
        )
        return await _Attempts(self, call, subject, trace).run()

    def may_retry(self, service_id: ids.ServiceId) -> bool:
        """Spend one retry of the service's budget.

        Returns:
            Whether the budget allowed it.
        """
        budget = self._budget_by_service[service_id]
        return budget.try_spend(self.clock.now(), self._entries())


class _Attempts:
    """The attempts of one request."""

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
        self._tried_targets: list[ids.TargetId] = []
        self._sent_count = 0
        self._paid_retries = 0
        self._may_have_run = False
        self._failed_answer: target_channel.WholeAnswer | None = None
        self._refusal = request_types.RefusedError(
            _CODES.TARGET_SHED, retry_after_s=_BUSY_RETRY_AFTER_S
        )

    async def run(self) -> target_channel.WholeAnswer:
        """Send until there is a response or no further attempt is allowed."""
        for _ in range(_MAX_TRIES):
            choice = self._choose_target()
            if choice is None or not self._try_pay_retry():
                break
            sent = await self._runner.sender.send(self._call, choice)
            self._record_attempt(sent)
            if (
                sent.verdict is target_sender.Verdict.ANSWERED
                and sent.answer is not None
            ):
                return sent.answer
            if not self._may_retry(sent):
                break
        return self._conclude()

    def _record_attempt(self, sent: target_sender.Sent) -> None:
        self._tried_targets.append(sent.target_id)
        self._trace.sends.append(
            f"{sent.target_id}:{sent.verdict.value}:{sent.reason}"
        )
        if sent.verdict is target_sender.Verdict.FAILED:
            self._failed_answer = sent.answer
        if sent.verdict in (
            target_sender.Verdict.UNKNOWN,
            target_sender.Verdict.FAILED,
        ):
            self._may_have_run = True
        if sent.verdict is not target_sender.Verdict.NOT_SENT:
            self._sent_count += 1
            if self._sent_count > 1:
                metrics.RETRIES.inc()

    def _choose_target(self) -> target_selection.Choice | None:
        runner, call = self._runner, self._call
        now = runner.clock.now()
        choice = runner.selection.choose(
            self._subject, now, self._tried_targets
        )
        if choice is None:
            self._refusal = request_types.RefusedError(
                _CODES.NO_TARGET, retry_after_s=_NO_TARGET_RETRY_AFTER_S
            )
            return None
        trace = self._trace
        trace.expected_s = choice.expected_s
        trace.is_known = choice.is_known
        trace.load = choice.view.running(now)
        trace.load_age_s = choice.view.report_age_s(now)
        if now + choice.expected_s > call.deadline:
            self._refusal = request_types.RefusedError(
                _CODES.NO_CAPACITY, retry_after_s=_BUSY_RETRY_AFTER_S
            )
            return None
        if runner.selection.sheds(self._subject, choice, now):
            self._refusal = request_types.RefusedError(
                _CODES.NO_CAPACITY,
                "the only regions that may serve it are overloaded",
                retry_after_s=_OVERLOAD_RETRY_AFTER_S,
            )
            return None
        return choice

    def _may_retry(self, sent: target_sender.Sent) -> bool:
        """Whether everything but the retry budget allows another attempt."""
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
        return self._sent_count < call.route.attempt_limit

    def _try_pay_retry(self) -> bool:
        """Whether the next attempt is no retry, or the budget allows it."""
        if self._sent_count > self._paid_retries:
            if not self._runner.may_retry(self._subject.service_id):
                return False
            self._paid_retries += 1
        return True

    def _conclude(self) -> target_channel.WholeAnswer:
        """End the request without success.

        Returns:
            The target's own error response if there is one.

        Raises:
            RefusedError: Otherwise, saying whether the request may have run.
        """
        if self._failed_answer is not None:
            return self._failed_answer
        if not self._may_have_run:
            raise self._refusal
        is_late = self._runner.clock.now() >= (
            self._call.deadline - 2 * target_sender.ANSWER_MARGIN_S
        )
        code = _CODES.DEADLINE_PASSED if is_late else _CODES.TARGET_FAILED
        raise request_types.RefusedError(code)
