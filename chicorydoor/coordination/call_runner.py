"""Runs a request: at targets or at a peer, with retries.

A request that may not be repeated is sent again only while it is certain that
it has not run.
"""

import collections
from collections import abc

import msgspec

from chicorydoor.balancing import admission
from chicorydoor.coordination import request_relay
from chicorydoor.coordination import request_types
from chicorydoor.coordination import target_selection
from chicorydoor.coordination import target_sender
from chicorydoor.protocol import admitted_request
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.protocol import serving_config
from chicorydoor.state import fleet_view
from chicorydoor.state import request_crashes
from chicorydoor.state import service_retry_budget
from chicorydoor.state import service_split
from chicorydoor.state import target_views
from chicorydoor.transport import buffered_connection
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

# Targets that are tried for one request, including those that could not be
# reached.
_MAX_TRIES = 4
# For a service without a usable target: by then targets may have been listed,
# or the first probe of an ejected one may have succeeded.
_NO_TARGET_RETRY_AFTER_S = 0.5
# A target that turned a request away with free slots may take the next one.
_ROOM_RETRY_AFTER_S = 0.05
# A fully loaded target has a free slot after about one request's time.
_BUSY_RETRY_AFTER_S = 0.25
# Only a change of the targets' software lets such a request run again.
_BLOCKED_RETRY_AFTER_S = 60.0
# Longer, because a lasting overload does not end at once.
_OVERLOAD_RETRY_AFTER_S = 1.0

_CODES = result_codes.ResultCode


class CallTrace(msgspec.Struct):
    """What happened to a request, for its log line.

    Args:
        fingerprint (bytes): Digest of what repetitions of the request have in
            common. Defaults to empty.
        service_id (str): The service that was chosen. Defaults to empty.
        attempts (list): ``target:outcome:reason`` of each attempt, sent or
            not. Defaults to none.
        region (str): Region of the last chosen target. Defaults to empty.
        reason (str): Why that target was chosen, a value of
            ``SelectionReason``. Defaults to empty.
        expected_latency_s (float): Expected response time of the last choice,
            in seconds. Defaults to 0.
        measured_latency_s (float): The part of it that recent measurements
            show, in seconds. Defaults to 0.
        is_cached (bool): Whether the object is believed to be in that target's
            cache. Defaults to False.
        target_load (float): Requests running or waiting at that target.
            Defaults to 0.
        target_rate_limit_per_s (float): Rate limit that the target was known
            to name; None without one. Defaults to None.
        target_load_age_s (float): Age of the target's load report in seconds;
            None without a report. Defaults to None.
        send_delay_s (float): From the last choice of a target to sending the
            request, in seconds; None if it was not sent. Defaults to None.
        had_caller_left_unread (bool): Whether the caller had closed its
            connection before the request was handled. Defaults to False.
    """

    fingerprint: bytes = b""
    service_id: str = ""
    attempts: list[str] = []
    region: str = ""
    reason: str = ""
    expected_latency_s: float = 0.0
    measured_latency_s: float = 0.0
    is_cached: bool = False
    target_load: float = 0.0
    target_rate_limit_per_s: float | None = None
    target_load_age_s: float | None = None
    send_delay_s: float | None = None
    had_caller_left_unread: bool = False


class CallRunner:
    """Runs the requests of one entry.

    Args:
        selection (TargetSelection): Chooses targets.
        sender (TargetSender): Sends requests to targets.
        relay (RequestRelay): Relays requests to peers.
        make_retry_budget (callable): Creates the retry budget of a service.
        crashes (RequestCrashes): Knows the requests that end their targets.
        count_entries (callable): Returns the number of entries that may be
            alive.
        clock (Clock): Source of time.
    """

    def __init__(
        self,
        *,
        selection: target_selection.TargetSelection,
        sender: target_sender.TargetSender,
        relay: request_relay.RequestRelay,
        make_retry_budget: abc.Callable[
            [], service_retry_budget.ServiceRetryBudget
        ],
        crashes: request_crashes.RequestCrashes,
        count_entries: abc.Callable[[], int],
        clock: clock_module.Clock,
    ) -> None:
        self.selection = selection
        self.sender = sender
        self.relay = relay
        self.crashes = crashes
        self.clock = clock
        self._count_entries = count_entries
        self._service_split = service_split.ServiceSplit()
        self._budget_by_service: collections.defaultdict[
            ids.ServiceId, service_retry_budget.ServiceRetryBudget
        ] = collections.defaultdict(make_retry_budget)

    async def run(
        self, call: admitted_request.AdmittedRequest, trace: CallTrace
    ) -> buffered_connection.BufferedResponse:
        """Run a request at one or more targets, or at a peer.

        Args:
            call (AdmittedRequest): The request.
            trace (CallTrace): Filled for the request's log line.

        Raises:
            RefusedError: If there is no target's response to pass on.
        """
        history = call.relay_history
        service_id = (
            history.service_id
            if history is not None
            else self._service_split.choose_service(call.route)
        )
        trace.service_id = service_id
        trace.fingerprint = call.fingerprint
        # The relaying entry has counted a request that it has sent itself.
        if history is None or history.send_count == 0:
            self._budget_by_service[service_id].record_request(
                self.clock.now()
            )
        constraints = target_selection.TargetConstraints(
            call.route, service_id, call.affinity_key, call.allowed_region_ids
        )
        return await _Attempts(self, call, constraints, trace).run()

    def peek_service(self, route: serving_config.RouteConfig) -> ids.ServiceId:
        """Return the service that the route's next request will get."""
        return self._service_split.peek_service(route)

    def try_spend_retry(self, service_id: ids.ServiceId) -> bool:
        """Spend one retry of the service's budget.

        Returns:
            Whether the budget allowed it.
        """
        budget = self._budget_by_service[service_id]
        return budget.try_acquire(self.clock.now(), self._count_entries())


class _Attempts:
    """The attempts of one request, which include those not sent."""

    def __init__(
        self,
        runner: CallRunner,
        call: admitted_request.AdmittedRequest,
        constraints: target_selection.TargetConstraints,
        trace: CallTrace,
    ) -> None:
        self._runner = runner
        self._call = call
        self._constraints = constraints
        self._trace = trace
        self._tried_targets: list[ids.TargetId] = []
        self._tried_peers: list[ids.TargetId] = []
        # Attempts of which at least one byte may have been sent.
        self._sent_count = 0
        self._charged_retries = 0
        self._may_have_run = False
        self._failed_answer: buffered_connection.BufferedResponse | None = None
        # Raised if the request has certainly not run. This one remains if all
        # tried targets were unreachable or busy, or the retry budget is spent.
        self._refusal = request_types.RefusedError(
            _CODES.TARGET_SHED, retry_after_s=_BUSY_RETRY_AFTER_S
        )

    async def run(self) -> buffered_connection.BufferedResponse:
        """Send until there is a response or no further attempt is allowed."""
        for _ in range(_MAX_TRIES):
            try:
                sent = await self._send_once()
            except request_types.CallerLeftError as error:
                raise self._refuse_absent_caller() from error
            if sent is None:
                break
            self._record_attempt(sent)
            if (
                sent.outcome is target_sender.SendOutcome.ANSWERED
                and sent.answer is not None
            ):
                return sent.answer
            if not self._may_retry(sent):
                break
        return self._conclude()

    async def _send_once(self) -> target_sender.SendResult | None:
        """Send to a target or relay to a peer; None if neither may get it."""
        choice: target_selection.SelectedTarget | None = None
        peer: fleet_view.Registration | None = None
        if self._runner.relay.is_needed(self._constraints.service_id):
            peer = self._choose_peer()
        if peer is None:
            choice = self._choose_target()
            if choice is None and self._may_others_reach_a_target():
                peer = self._choose_peer()
        if peer is not None:
            if not self._spend_retry_if_needed():
                return None
            return await self._relay(peer)
        if choice is None or not self._spend_retry_if_needed():
            return None
        chosen_at = self._runner.clock.now()
        sent = await self._runner.sender.send(self._call, choice)
        self._trace.send_delay_s = (
            None if choice.sent_at is None else choice.sent_at - chosen_at
        )
        metrics.SENDS.labels(self._trace.region, self._trace.reason).inc()
        if self._has_room(sent, choice.target):
            self._refusal = request_types.RefusedError(
                _CODES.TARGET_SHED, retry_after_s=_ROOM_RETRY_AFTER_S
            )
        else:
            self._tried_targets.append(sent.target_id)
        return sent

    def _has_room(
        self, sent: target_sender.SendResult, view: target_views.TargetView
    ) -> bool:
        """Whether a target turned a request away although slots are free.

        Under a fault some targets turn away a part of all requests, whatever
        their load. Another target would have to load the object.
        """
        return (
            self._runner.selection.decides_for_overload
            and sent.outcome is target_sender.SendOutcome.NOT_RUN
            and sent.answer is not None
            and view.estimated_requests(self._runner.clock.now())
            < view.record.slots
        )

    def _may_others_reach_a_target(self) -> bool:
        """Whether this entry alone may have lost the targets of a request.

        These may be only some of the service's, in the regions that may serve
        the request. Heartbeats say nothing of that, so one peer is asked.
        """
        return not self._tried_peers and may_others_reach_a_target(
            self._runner.selection, self._constraints, self._refusal
        )

    def _choose_peer(self) -> fleet_view.Registration | None:
        """Choose a peer to relay to; None for a request that was relayed."""
        if self._call.relay_history is not None:
            return None
        return self._runner.relay.choose_peer(
            self._constraints.service_id,
            self._constraints.allowed_region_ids,
            self._tried_peers,
        )

    async def _relay(
        self, peer: fleet_view.Registration
    ) -> target_sender.SendResult:
        history = admitted_request.RelayHistory(
            self._constraints.service_id, self._sent_count
        )
        sent = await self._runner.relay.send(self._call, peer, history)
        self._tried_peers.append(sent.target_id)
        if sent.refusal is not None and sent.refusal.certainly_not_run:
            self._refusal = sent.refusal
        return sent

    def _record_attempt(self, sent: target_sender.SendResult) -> None:
        self._trace.attempts.append(
            f"{sent.target_id}:{sent.outcome.value}:{sent.reason}"
        )
        if sent.outcome is target_sender.SendOutcome.FAILED:
            self._failed_answer = sent.answer
        if sent.outcome in (
            target_sender.SendOutcome.UNKNOWN,
            target_sender.SendOutcome.FAILED,
        ):
            self._may_have_run = True
        if sent.outcome is not target_sender.SendOutcome.NOT_SENT:
            self._sent_count += 1
            if self._sent_count > 1:
                metrics.RETRIES.inc()

    def _choose_target(self) -> target_selection.SelectedTarget | None:
        runner, call = self._runner, self._call
        now = runner.clock.now()
        if not runner.crashes.may_send(call.fingerprint, now):
            self._refusal = request_types.RefusedError(
                _CODES.REQUEST_BLOCKED, retry_after_s=_BLOCKED_RETRY_AFTER_S
            )
            return None
        choice = runner.selection.choose(
            self._constraints, now, self._tried_targets
        )
        if choice is None:
            self._refusal = refuse_without_target(
                runner.selection, self._constraints, now
            )
            return None
        trace = self._trace
        trace.region = choice.target.region
        trace.reason = choice.reason.value
        trace.expected_latency_s = choice.expected_latency_s
        trace.measured_latency_s = choice.measured_latency_s
        trace.is_cached = choice.is_cached
        trace.target_load = choice.target.estimated_requests(now)
        trace.target_rate_limit_per_s = choice.rate_limit_per_s
        trace.target_load_age_s = choice.target.load_age_s(now)
        refusal = find_refusal(
            runner.selection, self._constraints, call, choice, now
        )
        if refusal is not None:
            self._refusal = refusal
            return None
        return choice

    def _refuse_absent_caller(self) -> request_types.RefusedError:
        outcome = (
            result_codes.Outcome.UNKNOWN
            if self._may_have_run
            else result_codes.Outcome.NOT_RUN
        )
        return request_types.RefusedError(_CODES.CALLER_LEFT, outcome=outcome)

    def _may_retry(self, sent: target_sender.SendResult) -> bool:
        """Whether everything but the retry budget allows another attempt."""
        call = self._call
        if self._may_have_run and not call.route.is_idempotent:
            return False
        if (
            self._runner.clock.now() + target_sender.RESPONSE_MARGIN_S
            >= call.deadline
        ):
            return False
        if sent.outcome is target_sender.SendOutcome.NOT_SENT:
            return True
        if sent.refusal is not None:
            # The peer has retried as far as the route and its budget allow.
            return False
        history = call.relay_history
        sent_before = history.send_count if history is not None else 0
        return sent_before + self._sent_count < call.route.max_attempts

    def _spend_retry_if_needed(self) -> bool:
        """Spend a retry of the budget if the next attempt is a retry.

        Returns:
            Whether the attempt is no retry, or the budget allowed it.
        """
        if self._sent_count > self._charged_retries:
            if not self._runner.try_spend_retry(self._constraints.service_id):
                return False
            self._charged_retries += 1
        return True

    def _conclude(self) -> buffered_connection.BufferedResponse:
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
        # A send times out one margin before the deadline.
        is_late = self._runner.clock.now() >= (
            self._call.deadline - 2 * target_sender.RESPONSE_MARGIN_S
        )
        code = _CODES.DEADLINE_PASSED if is_late else _CODES.TARGET_FAILED
        raise request_types.RefusedError(code)


def find_refusal(
    selection: target_selection.TargetSelection,
    constraints: target_selection.TargetConstraints,
    call: admitted_request.AdmittedRequest,
    choice: target_selection.SelectedTarget,
    now: float,
) -> request_types.RefusedError | None:
    """Return why a request is refused although there is a target for it.

    Args:
        selection (TargetSelection): Made the choice.
        constraints (TargetConstraints): Where the request may be sent.
        call (AdmittedRequest): The request.
        choice (SelectedTarget): The target chosen for it.
        now (float): Current time in seconds.

    Returns:
        The refusal; None if the request is to be sent.
    """
    # Estimates without measurements choose a target, but refuse nothing:
    # without requests there would never be a measurement.
    if now + choice.measured_latency_s > call.deadline:
        return request_types.RefusedError(
            _CODES.NO_CAPACITY, retry_after_s=_BUSY_RETRY_AFTER_S
        )
    if selection.decides_for_overload:
        expected = admission.Expectation(
            now - call.arrived_at,
            choice.measured_latency_s,
            choice.measured_wait_s,
            call.route.latency_objective_s,
        )
        if not admission.admits(expected):
            return request_types.RefusedError(
                _CODES.NO_CAPACITY,
                "no target has room in time",
                retry_after_s=admission.retry_after_s(
                    expected, selection.draw()
                ),
            )
    if selection.should_shed(constraints, choice, now):
        return request_types.RefusedError(
            _CODES.NO_CAPACITY,
            "the only regions that may serve it are overloaded",
            retry_after_s=_OVERLOAD_RETRY_AFTER_S,
        )
    return None


def refuse_without_target(
    selection: target_selection.TargetSelection,
    constraints: target_selection.TargetConstraints,
    now: float,
) -> request_types.RefusedError:
    """Return the refusal of a request that no target may get now.

    Args:
        selection (TargetSelection): Found no target.
        constraints (TargetConstraints): Where the request may be sent.
        now (float): Current time in seconds.
    """
    wait_s = selection.wait_for_permit_s(constraints, now)
    if wait_s is not None:
        return request_types.RefusedError(
            _CODES.NO_CAPACITY,
            "all targets that may serve it are at rest or at the limits "
            "they named",
            retry_after_s=wait_s,
        )
    return request_types.RefusedError(
        _CODES.NO_TARGET, retry_after_s=_NO_TARGET_RETRY_AFTER_S
    )


def may_others_reach_a_target(
    selection: target_selection.TargetSelection,
    constraints: target_selection.TargetConstraints,
    refusal: request_types.RefusedError,
) -> bool:
    """Whether a request without a target may have one at other entries.

    Args:
        selection (TargetSelection): Found no target.
        constraints (TargetConstraints): Where the request may be sent.
        refusal (RefusedError): The refusal that would end the request.
    """
    return refusal.code is _CODES.NO_TARGET and selection.has_unreachable(
        constraints
    )
