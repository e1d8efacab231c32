"""Sends a request to a target once and determines the outcome.

Only this module decides the outcome, one of ``SendOutcome``. A request counts
as not run only if no byte of it was sent or the target says so.
"""

import asyncio
from collections import abc
import enum
import logging

import msgspec

from chicorydoor import errors
from chicorydoor.coordination import request_types
from chicorydoor.coordination import target_selection
from chicorydoor.protocol import admitted_request
from chicorydoor.protocol import header_names
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import ids
from chicorydoor.state import broken_connections
from chicorydoor.state import idle_limit
from chicorydoor.state import request_crashes
from chicorydoor.state import send_permits
from chicorydoor.state import target_views
from chicorydoor.transport import body_memory
from chicorydoor.transport import buffered_connection
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

# A lost packet of the TCP handshake is retransmitted after a second; trying
# another target is faster.
_CONNECT_TIMEOUT_S = 0.7
# A reset within two round-trip times plus this after sending did not come from
# a target that had worked on the request, but from one that had dropped the
# connection while it was idle.
_PROMPT_RESET_S = 0.02
# Time reserved so that the entry's own response arrives before the deadline.
RESPONSE_MARGIN_S = 0.01
_SUCCESS = range(200, 300)
_SERVER_ERRORS = range(500, 600)
# A target rejects requests that name another target with this status.
_MISDIRECTED = 421
_UNAVAILABLE = 503
# Running requests, waiting requests and slots; some targets add how long work
# takes on their machine at the moment, in percent of the usual time.
_LOAD_FIELDS = 3
_LOAD_FIELDS_WITH_SLOWDOWN = 4
# Other figures are taken for an error of the target.
_PLAUSIBLE_SLOWDOWNS_PERCENT = range(1, 10_001)

_LOG = logging.getLogger(__name__)


class SendOutcome(enum.Enum):
    """What is known of a request after it was sent once.

    ``NOT_SENT``: no byte of it was sent. ``NOT_RUN``: the target responded
    that it did not run it, or another target responded at the address.
    ``FAILED``: the complete response has a server error status. ``ANSWERED``:
    the response is complete with another status; a success is signed.
    ``UNKNOWN``: there was no complete response, or an unsigned success.
    """

    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    ANSWERED = "answered"
    FAILED = "failed"
    UNKNOWN = "unknown"


class SendResult(msgspec.Struct):
    """The result of one send.

    Args:
        outcome (SendOutcome): What is known of the request.
        target_id (str): The target.
        answer (BufferedResponse): The complete response; None if there was
            none. Defaults to None.
        reason (str): Status of the response, or why there was none.
            Defaults to empty.
        refusal (RefusedError): A peer's refusal of a relayed request; None
            without one. Defaults to None.
    """

    outcome: SendOutcome
    target_id: ids.TargetId
    answer: buffered_connection.BufferedResponse | None = None
    reason: str = ""
    refusal: request_types.RefusedError | None = None


class TargetSender:
    """Holds the connections to targets and records what responses show.

    Args:
        targets (TargetViews): The known targets.
        selection (TargetSelection): Records cached objects and service
            times for later choices.
        permits (SendPermits): Learns what targets ask for, and decides whether
            they may get anything.
        names (HeaderNames): Header names.
        clock (Clock): Source of time.
        crashes (RequestCrashes): Learns which requests were lost with their
            targets.
        breaks (BrokenConnections): Learns which connections broke.
        on_unreachable (callable): Called with a target that does not
            answer, and the reason.
        on_refused (callable): Called with a target that refused a connection.
        on_connection_lost (callable): Called with a target that broke a
            connection, or let the deadline pass, before it had responded.
        on_round_trip (callable): Called with a region and the seconds that
            opening a connection to it took.
        response_memory (MemoryPart): Memory for large responses.
    """

    def __init__(
        self,
        *,
        targets: target_views.TargetViews,
        selection: target_selection.TargetSelection,
        permits: send_permits.SendPermits,
        names: header_names.HeaderNames,
        clock: clock_module.Clock,
        crashes: request_crashes.RequestCrashes,
        breaks: broken_connections.BrokenConnections,
        on_unreachable: abc.Callable[[target_views.TargetView, str], None],
        on_refused: abc.Callable[[target_views.TargetView], None],
        on_connection_lost: abc.Callable[[target_views.TargetView], None],
        on_round_trip: abc.Callable[[ids.RegionId, float], None],
        response_memory: body_memory.MemoryPart,
    ) -> None:
        self._targets = targets
        self._selection = selection
        self.permits = permits
        self._header_names = names
        self._clock = clock
        self._crashes = crashes
        self._breaks = breaks
        self._on_unreachable = on_unreachable
        self._on_refused = on_refused
        self._on_connection_lost = on_connection_lost
        self._on_round_trip = on_round_trip
        self._response_memory = response_memory
        self.idle_limit = idle_limit.IdleLimit()
        self._idle_limit_s_by_service: dict[ids.ServiceId, float] = {}
        self._pool_by_incarnation: dict[
            tuple[ids.TargetId, int],
            buffered_connection.BufferedConnectionPool,
        ] = {}

    async def send(
        self,
        call: admitted_request.AdmittedRequest,
        choice: target_selection.SelectedTarget,
    ) -> SendResult:
        """Send a request to a target once.

        Args:
            call (AdmittedRequest): The request.
            choice (SelectedTarget): The target with its estimates.

        Raises:
            CallerLeftError: If the caller has left; nothing was sent.
        """
        view = choice.target
        self.permits.record_request(view, self._clock.now())
        object_id = (call.route.route_id, call.affinity_key)
        view.own_requests_in_flight += 1
        view.has_received_requests = True
        view.last_sent_at = self._clock.now()
        try:
            sent = await self._exchange(call, choice)
            if sent.outcome in (SendOutcome.ANSWERED, SendOutcome.FAILED):
                self._selection.cache_index.record_use(
                    object_id, view.incarnation_key, self._clock.now()
                )
        finally:
            view.own_requests_in_flight -= 1
        return sent

    async def _exchange(
        self,
        call: admitted_request.AdmittedRequest,
        choice: target_selection.SelectedTarget,
    ) -> SendResult:
        view = choice.target
        try:
            remaining_s = call.deadline - self._clock.now()
            limit_s = min(_CONNECT_TIMEOUT_S, remaining_s)
            pool = self.connection_pool(view)
            connection = await pool.acquire(
                limit_s, self.idle_limit.limit_s(self._clock.now())
            )
        except errors.TargetError as error:
            if error.is_refused:
                self._on_refused(view)
            if not error.is_own_shortage:
                self._on_unreachable(view, f"{error}")
            return SendResult(
                SendOutcome.NOT_SENT, view.target_id, reason=f"{error}"
            )
        started_at = self._clock.now()
        remaining_s = call.deadline - started_at - RESPONSE_MARGIN_S
        reason = self._reason_not_to_send(view, remaining_s, started_at)
        if reason:
            pool.release(connection, view.record.slots)
            return SendResult(
                SendOutcome.NOT_SENT, view.target_id, reason=reason
            )
        if call.is_caller_gone():
            pool.release(connection, view.record.slots)
            raise request_types.CallerLeftError
        head = admitted_request.encode_head(
            call, self._header_names, view.target_id, remaining_s
        )
        choice.sent_at = started_at
        try:
            async with asyncio.timeout(remaining_s):
                answer = await connection.exchange(
                    head,
                    call.request_id,
                    call.method == b"HEAD",
                    call.body_chunks,
                )
        except TimeoutError:
            return self._record_timeout(call, view, started_at)
        except errors.TargetError as error:
            self._record_idle_loss(view, connection, error, started_at)
            return self._record_broken_connection(
                call, view, connection, error, started_at
            )
        pool.release(connection, view.record.slots)
        self._idle_limit_s_by_service[view.record.service_id] = (
            connection.idle_limit_s
        )
        return self._evaluate_answer(call, choice, answer, started_at)

    def _reason_not_to_send(
        self, view: target_views.TargetView, remaining_s: float, now: float
    ) -> str:
        """Return why a request is not sent to its target after all.

        Opening a connection takes time, in which the target may have left.

        Args:
            view (TargetView): The target that was chosen.
            remaining_s (float): Seconds left for the target to respond.
            now (float): Current time in seconds.

        Returns:
            The reason; empty if the request may be sent.
        """
        if remaining_s <= 0:
            return "no time left"
        if self.permits.is_at_rest(view, now):
            return "at rest"
        if not self._targets.is_in_service(view):
            return "left"
        return ""

    def _record_timeout(
        self,
        call: admitted_request.AdmittedRequest,
        view: target_views.TargetView,
        sent_at: float,
    ) -> SendResult:
        """Record that no response arrived in time.

        The target may have ended without closing its connections.
        """
        reason = "no answer in time"
        now = self._clock.now()
        self._crashes.record_lost(
            call.fingerprint,
            view.incarnation_key,
            sent_at,
            now,
            is_silent=True,
        )
        if view.record_unanswered(sent_at, now):
            self._on_unreachable(view, reason)
        else:
            self._on_connection_lost(view)
        return SendResult(SendOutcome.UNKNOWN, view.target_id, reason=reason)

    def _record_broken_connection(
        self,
        call: admitted_request.AdmittedRequest,
        view: target_views.TargetView,
        connection: buffered_connection.BufferedConnection,
        error: errors.TargetError,
        sent_at: float,
    ) -> SendResult:
        """Record that the connection ended.

        A target that resets a connection is still reachable, unless the
        connections to others break as well.
        """
        now = self._clock.now()
        view.record_broken_connection(now)
        if error.may_have_been_sent or connection.idle_s <= 0:
            self._breaks.record_break(view, now)
        if error.may_have_been_sent:
            self._crashes.record_lost(
                call.fingerprint, view.incarnation_key, sent_at, now
            )
            self._on_connection_lost(view)
        elif self._breaks.are_widespread(view.record.service_id, now):
            self._on_connection_lost(view)
        if error.is_tcp_timeout:
            self._on_unreachable(view, f"{error}")
        outcome = (
            SendOutcome.UNKNOWN
            if error.may_have_been_sent
            else SendOutcome.NOT_SENT
        )
        return SendResult(outcome, view.target_id, reason=f"{error}")

    def _record_idle_loss(
        self,
        view: target_views.TargetView,
        connection: buffered_connection.BufferedConnection,
        error: errors.TargetError,
        sent_at: float,
    ) -> None:
        """Record a reset of an idle connection that the target had dropped."""
        now = self._clock.now()
        round_trip_s = self._selection.round_trip_s(view.region)
        is_prompt = now - sent_at < 2 * round_trip_s + _PROMPT_RESET_S
        if (
            not error.may_have_been_sent
            or connection.idle_s <= 0
            or not is_prompt
        ):
            return
        self.idle_limit.record_reset(connection.idle_s, now)
        _LOG.info(
            "idle connection lost",
            extra={
                "target": view.target_id,
                "rested_s": round(connection.idle_s, 3),
                "trusted_s": round(self.idle_limit.limit_s(now), 3),
            },
        )

    def _evaluate_answer(
        self,
        call: admitted_request.AdmittedRequest,
        choice: target_selection.SelectedTarget,
        answer: buffered_connection.BufferedResponse,
        started_at: float,
    ) -> SendResult:
        view = choice.target
        now = self._clock.now()
        self._breaks.record_response(view)
        if answer.status != _MISDIRECTED:
            self._record_load(view, answer, now)
            self.record_announcements(view, answer, started_at, now)
        if answer.status == _MISDIRECTED:
            self._targets.set_reach(view, target_views.Reach.REPLACED)
            _LOG.warning(
                "target replaced",
                extra={
                    "target": view.target_id,
                    "address": view.record.address,
                },
            )
            return SendResult(
                SendOutcome.NOT_RUN, view.target_id, reason="replaced"
            )
        if answer.find_header(self._header_names.not_run) is not None:
            view.record_answer(1.0, False, now)
            return SendResult(
                SendOutcome.NOT_RUN, view.target_id, answer, f"{answer.status}"
            )
        if (
            answer.status in _SUCCESS
            and answer.find_header(self._header_names.response_signature)
            is None
        ):
            view.record_answer(1.0, True, now)
            return SendResult(
                SendOutcome.UNKNOWN, view.target_id, reason="answer not sealed"
            )
        is_failure = answer.status in _SERVER_ERRORS
        if not is_failure:
            self._crashes.record_answered(call.fingerprint, now)
        self._record_response_time(
            call, choice, now - started_at, is_failure, now
        )
        outcome = SendOutcome.FAILED if is_failure else SendOutcome.ANSWERED
        return SendResult(outcome, view.target_id, answer, f"{answer.status}")

    def _record_load(
        self,
        view: target_views.TargetView,
        answer: buffered_connection.BufferedResponse,
        now: float,
    ) -> None:
        value = answer.find_header(self._header_names.target_load)
        if value is None:
            return
        fields = [
            http_headers.parse_whole_number(field.strip())
            for field in value.split(b",")
        ]
        if (
            len(fields) not in (_LOAD_FIELDS, _LOAD_FIELDS_WITH_SLOWDOWN)
            or None in fields
        ):
            metrics.TARGET_LOAD_PARSE_ERRORS.inc()
            return
        running, waiting, _slots, *slowdown = fields
        view.record_load(running + waiting, now)
        if not slowdown:
            return
        if slowdown[0] not in _PLAUSIBLE_SLOWDOWNS_PERCENT:
            metrics.TARGET_LOAD_PARSE_ERRORS.inc()
            return
        view.record_slowdown(slowdown[0] / 100, now)

    def record_announcements(
        self,
        view: target_views.TargetView,
        answer: buffered_connection.BufferedResponse,
        sent_at: float,
        now: float,
    ) -> None:
        """Record what a response says of the target's wishes.

        Args:
            view (TargetView): The target.
            answer (BufferedResponse): Its response to a request or a probe.
            sent_at (float): When the request was sent, in seconds.
            now (float): Current time in seconds.
        """
        self._record_rate_limit(view, answer, sent_at, now)
        rest = answer.find_header(b"retry-after")
        if answer.status == _UNAVAILABLE and rest is not None:
            self.permits.rests.record_request_for_rest(
                view.incarnation_key, rest, now
            )
        if answer.find_header(self._header_names.target_leaving) == b"1":
            self._targets.record_said_leaving(view)

    def _record_rate_limit(
        self,
        view: target_views.TargetView,
        answer: buffered_connection.BufferedResponse,
        sent_at: float,
        now: float,
    ) -> None:
        """Record the rate limit that a response names or leaves out."""
        value = answer.find_header(self._header_names.target_rate_limit)
        signature = answer.find_header(self._header_names.response_signature)
        # Only a signed response is sure to come from the target itself.
        if value is None and signature is None:
            return
        self.permits.rate_limits.record_response(
            view.incarnation_key, value, sent_at, now
        )

    def _record_response_time(
        self,
        call: admitted_request.AdmittedRequest,
        choice: target_selection.SelectedTarget,
        elapsed_s: float,
        is_failure: bool,
        now: float,
    ) -> None:
        view = choice.target
        expected_latency_s = max(choice.expected_latency_s, 1e-3)
        view.record_answer(elapsed_s / expected_latency_s, is_failure, now)
        is_saturated = view.estimated_requests(now) >= view.record.slots
        if is_failure or choice.is_cold or is_saturated:
            return
        round_trip_s = self._selection.round_trip_s(view.region)
        self._selection.processing_times.record(
            call.route,
            choice.is_cached,
            max(0.0, elapsed_s - round_trip_s),
            now,
        )

    def connection_pool(
        self, view: target_views.TargetView
    ) -> buffered_connection.BufferedConnectionPool:
        """Return the connection pool of a target's current incarnation."""
        pool = self._pool_by_incarnation.get(view.incarnation_key)
        if pool is None:
            pool = buffered_connection.BufferedConnectionPool(
                view.record.address,
                self._header_names.request_id,
                self._clock,
                self._response_memory,
                lambda seconds: self._on_round_trip(view.region, seconds),
            )
            self._pool_by_incarnation[view.incarnation_key] = pool
        return pool

    def idle_limit_s(self, service_id: ids.ServiceId) -> float:
        """Return how long connections to a service's targets may be idle.

        Args:
            service_id (str): The service.

        Returns:
            Seconds, as a target advertised it last.
        """
        return self._idle_limit_s_by_service.get(
            service_id, buffered_connection.DEFAULT_IDLE_LIMIT_S
        )

    def close_unused(self) -> None:
        """Close connections to targets that get no more requests.

        Also removes the load shedding state of unknown targets and what they
        asked for.
        """
        in_use = {
            view.incarnation_key
            for view in self._targets.target_by_id.values()
            if self._targets.may_get_requests(view)
        }
        for incarnation in self._pool_by_incarnation.keys() - in_use:
            self._pool_by_incarnation.pop(incarnation).close()
        self._selection.load_shedding.remove_unknown(
            set(self._targets.target_by_id)
        )
        known = {
            view.incarnation_key
            for view in self._targets.target_by_id.values()
        }
        self.permits.remove_obsolete(known, self._clock.now())

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pool_by_incarnation.values():
            pool.close()
