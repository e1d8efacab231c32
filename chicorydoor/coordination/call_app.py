"""ASGI application that serves callers' requests."""

import asyncio
from collections import abc
import logging
import math
import typing

from chicorydoor.coordination import active_serving_config
from chicorydoor.coordination import body_reader
from chicorydoor.coordination import call_runner
from chicorydoor.coordination import rate_limiter
from chicorydoor.coordination import request_admission
from chicorydoor.coordination import request_types
from chicorydoor.protocol import admitted_request
from chicorydoor.protocol import header_names
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import result_codes
from chicorydoor.protocol import serving_config
from chicorydoor.transport import asgi
from chicorydoor.transport import buffered_connection
from chicorydoor.transport import caller_connection
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import logs
from chicorydoor.transport import metrics

_CODES = result_codes.ResultCode
_LOG = logging.getLogger(__name__)
_REQUEST_LOG = logging.getLogger(logs.REQUEST_LOGGER)
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Once an entry has left for this long, most callers have found other entries,
# and requests that may outlast it are left to these.
_LAST_LONG_REQUESTS_S = 2.0
_LEAVING_RETRY_AFTER_S = 0.1


class Admission(typing.NamedTuple):
    """What admitting a request found.

    Args:
        route (RouteConfig): The matching route.
        customer (CustomerConfig): Owner of the API key; None without one.
        rate_decision (RateDecision): To release if the request does not run;
            None if no token was taken.
        relay_history (RelayHistory): What the entry that relayed the request
            did with it; None if its caller sent it to this entry. Defaults to
            None.
    """

    route: serving_config.RouteConfig
    customer: serving_config.CustomerConfig | None
    rate_decision: rate_limiter.RateDecision | None
    relay_history: admitted_request.RelayHistory | None = None


class CallApp:
    """Serves requests from reading the body to writing the response.

    Args:
        admission (RequestAdmission): Route look-up, key check and rate limit.
        runner (CallRunner): Runs admitted requests at targets.
        active_config (ActiveServingConfig): Holds the active configuration.
        names (HeaderNames): Header names.
        clock (Clock): Source of time.
        configuration_age_s (callable): Returns how long ago the configuration
            was known to be current, in seconds; infinite before it was read.
        bodies (BodyReader): Reads the bodies of requests.
    """

    def __init__(
        self,
        admission: request_admission.RequestAdmission,
        runner: call_runner.CallRunner,
        active_config: active_serving_config.ActiveServingConfig,
        names: header_names.HeaderNames,
        clock: clock_module.Clock,
        configuration_age_s: abc.Callable[[], float],
        bodies: body_reader.BodyReader,
    ) -> None:
        self.admission = admission
        self.runner = runner
        self.active_config = active_config
        self.header_names = names
        self.clock = clock
        self.configuration_age_s = configuration_age_s
        self.bodies = bodies
        self.running_count = 0
        self.is_leaving = False
        self._ends_at = math.inf
        self._refuses_long_from = math.inf

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        self.running_count += 1
        try:
            await self.make_handler(scope, receive, send).serve()
        finally:
            self.running_count -= 1

    def leave(self, ends_at: float) -> None:
        """Close connections after their responses from now on.

        Args:
            ends_at (float): When running requests are aborted, on the clock.
        """
        self.is_leaving = True
        self._ends_at = ends_at
        self._refuses_long_from = self.clock.now() + _LAST_LONG_REQUESTS_S

    def refuse_if_too_long(self, deadline: float) -> None:
        """Refuse a request that this entry, if it leaves, may have to abort.

        Args:
            deadline (float): The request's deadline on the clock.

        Raises:
            RefusedError: If it is refused; it has not run.
        """
        if (
            deadline > self._ends_at
            and self.clock.now() >= self._refuses_long_from
        ):
            raise request_types.RefusedError(
                _CODES.NOT_READY,
                "the entry stops before the deadline",
                retry_after_s=_LEAVING_RETRY_AFTER_S,
            )

    def may_run_early(self, scope: asgi.Scope) -> bool:
        """Whether a pipelined request may run beside those before it.

        Only where the decisions for overload apply. If an earlier response
        closes the connection, its caller sends it again. Large responses that
        wait for their turn would take the memory that earlier ones need.

        Args:
            scope (dict): ASGI scope of the request.
        """
        if (
            not self.runner.selection.decides_for_overload
            or body_reader.body_length(scope) != 0
        ):
            return False
        host = http_headers.find_header(scope["headers"], b"host") or b""
        try:
            route = self.admission.find_route(
                host.decode("latin-1"), scope["raw_path"].decode("latin-1")
            )
        except request_types.RefusedError:
            return False
        return route.is_idempotent and not route.has_large_responses

    def make_handler(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> "RequestHandler":
        """Return the handler of one request."""
        return RequestHandler(self, scope, receive, send)


class RequestHandler:
    """One request and its response."""

    def __init__(
        self,
        app: CallApp,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        self._app = app
        self._scope = scope
        self._receive = receive
        self._send = send
        handled_at = app.clock.now()
        read_at = asgi.read_time(scope)
        self._arrived_at = handled_at if read_at is None else read_at
        self._queued_s = handled_at - self._arrived_at
        self._caller_connection = caller_connection.find_in_scope(scope)
        self._trace = call_runner.CallTrace(
            had_caller_left_unread=self._is_caller_gone()
        )
        self._has_seen_disconnect = False
        self._values_by_header: dict[bytes, list[bytes]] = {}
        for name, value in scope["headers"]:
            self._values_by_header.setdefault(name, []).append(value)
        self._route_id = ""
        self._customer_id = ""

    def _header_value(self, name: bytes) -> bytes:
        values = self._values_by_header.get(name)
        return values[0] if values else b""

    async def serve(self) -> None:
        """Read the request, run it, respond and log."""
        try:
            if self._trace.had_caller_left_unread:
                raise request_types.RefusedError(
                    _CODES.CALLER_LEFT, outcome=result_codes.Outcome.NOT_RUN
                )
            await self._run_and_respond()
        except body_reader.CallerLeftError:
            self._log_request(0, _CODES.BODY_INCOMPLETE)
        except request_types.RefusedError as refusal:
            await self._send_refusal(refusal)
        except asyncio.CancelledError:
            if not self._has_seen_disconnect:
                raise
            task = asyncio.current_task()
            if task is not None:
                task.uncancel()
            self._log_request(0, _CODES.CALLER_LEFT)
        except Exception:
            _LOG.exception("unexpected error while serving a request")
            await self._send_refusal(
                request_types.RefusedError(_CODES.INTERNAL)
            )
        finally:
            body_reader.discard(self._scope)

    async def _run_and_respond(self) -> None:
        """Read the body, run the request and send the target's response.

        Raises:
            RefusedError: If there is no target's response.
            CallerLeftError: If the caller left before the request was read.
        """
        body = await self._read_body()
        watcher = asyncio.create_task(
            self._cancel_on_disconnect(asyncio.current_task())
        )
        try:
            answer = await self._run_request(body)
            await self._send_target_answer(answer)
            # The connection holds it until its caller has taken it.
            answer.body = b""
        finally:
            watcher.cancel()
            body.release()
        if answer.reservation is not None:
            await self._wait_until_written()
            answer.reservation.release()

    def _is_caller_gone(self) -> bool:
        connection = self._caller_connection
        return connection is not None and connection.is_closed()

    async def _read_body(self) -> body_reader.Body:
        if body_reader.body_length(self._scope) == 0:
            await body_reader.read_empty(self._receive)
            return body_reader.Body()
        app = self._app
        route = self._find_route()
        return await app.bodies.read(
            self._scope,
            self._receive,
            app.active_config.current.limits.body_bytes,
            self._absolute_deadline(route.timeout_s),
        )

    def _find_route(self) -> serving_config.RouteConfig:
        """Return the request's route.

        Raises:
            RefusedError: If it has none.
        """
        return self._app.admission.find_route(
            self._header_value(b"host").decode("latin-1"),
            self._raw_path().decode("latin-1"),
        )

    def _raw_path(self) -> bytes:
        scope = self._scope
        return scope["raw_path"] or scope["path"].encode("latin-1")

    async def _cancel_on_disconnect(
        self, serving: asyncio.Task | None
    ) -> None:
        """Cancel the request when its caller disconnects."""
        event = await self._receive()
        if event["type"] == "http.disconnect" and serving is not None:
            self._has_seen_disconnect = True
            serving.cancel()

    async def _run_request(
        self, body: body_reader.Body
    ) -> buffered_connection.BufferedResponse:
        app, scope = self._app, self._scope
        path = self._raw_path()
        admission = await self._admit()
        route, customer = admission.route, admission.customer
        query = scope["query_string"]
        headers = scope["headers"]
        call = admitted_request.AdmittedRequest(
            method=scope["method"].encode(),
            request_target=path + b"?" + query if query else path,
            headers=admitted_request.filter_request_headers(
                headers,
                app.header_names,
                admitted_request.parse_connection_options(headers),
            ),
            body_chunks=body.chunks,
            body_digest=body.digest,
            request_id=self._header_value(app.header_names.request_id),
            affinity_key=self._header_value(app.header_names.affinity_key),
            route=route,
            customer=customer,
            arrived_at=self._arrived_at,
            deadline=self._absolute_deadline(route.timeout_s),
            relay_history=admission.relay_history,
            is_caller_gone=self._is_caller_gone,
        )
        try:
            return await app.runner.run(call, self._trace)
        except request_types.RefusedError as refusal:
            if refusal.certainly_not_run:
                app.admission.release_rate_token(
                    customer, admission.rate_decision
                )
            raise

    async def _admit(self) -> Admission:
        """Find the route, check the key and take a token of the rate."""
        app = self._app
        route = self._find_route()
        self._route_id = route.route_id
        app.refuse_if_too_long(self._absolute_deadline(route.timeout_s))
        keys = self._values_by_header.get(app.header_names.api_key, [])
        customer = app.admission.authenticate(route, keys)
        if customer is not None:
            self._customer_id = customer.customer_id
        decision = await app.admission.acquire_rate_token(customer)
        return Admission(route, customer, decision)

    def _add_headers(
        self, headers: admitted_request.Headers, is_refusal: bool
    ) -> admitted_request.Headers:
        """Return the headers of a response with those of this handler."""
        return headers

    def _absolute_deadline(self, timeout_s: float) -> float:
        # Relative to the request's arrival.
        remaining_ms = http_headers.parse_whole_number(
            self._header_value(self._app.header_names.deadline_ms)
        )
        remaining_s = (
            timeout_s if remaining_ms is None else remaining_ms / 1000
        )
        return self._arrived_at + min(remaining_s, timeout_s)

    async def _send_target_answer(
        self, answer: buffered_connection.BufferedResponse
    ) -> None:
        headers = self._add_headers(
            admitted_request.filter_response_headers(answer.headers), False
        )
        await self._send_response(answer.status, headers, answer.body)
        self._log_request(answer.status, _CODES.OK)

    async def _wait_until_written(self) -> None:
        """Wait while a large response takes memory in the connection."""
        limits = self._app.active_config.current.limits
        if (
            self._caller_connection is not None
            and not await self._caller_connection.wait_until_written(
                limits.idle_timeout_s
            )
        ):
            _LOG.warning(
                "caller did not take its response",
                extra={
                    "request_id": self._header_value(
                        self._app.header_names.request_id
                    ).decode("latin-1")
                },
            )

    async def _send_refusal(self, refusal: request_types.RefusedError) -> None:
        code = refusal.code
        headers = [
            (result_codes.CODE_HEADER, b"%d" % code.number),
            (b"x-chicorydoor-outcome", refusal.outcome.value.encode()),
        ]
        request_id = self._header_value(self._app.header_names.request_id)
        if request_id:
            headers.append((self._app.header_names.request_id, request_id))
        if refusal.retry_after_s > 0:
            value = f"{refusal.retry_after_s:.3f}".encode()
            headers.append((b"retry-after", value))
        headers = self._add_headers(headers, True)
        await self._send_response(code.status, headers, b"")
        self._log_request(code.status, code, refusal.detail, refusal.outcome)

    async def _send_response(
        self, status: int, headers: admitted_request.Headers, body: bytes
    ) -> None:
        if (
            status not in _STATUSES_WITHOUT_BODY
            and self._scope["method"] != "HEAD"
        ):
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        if self._app.is_leaving and not self._has_successor():
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await self._send({"type": "http.response.body", "body": body})

    def _has_successor(self) -> bool:
        """Whether another request on the connection waits for this one."""
        connection = self._caller_connection
        return connection is not None and connection.has_waiting_request

    @property
    def _log_message(self) -> str:
        return "request"

    def _record_metrics(
        self, code: result_codes.ResultCode, elapsed_s: float
    ) -> None:
        metrics.REQUESTS.labels(
            self._route_id, self._customer_id, code.number
        ).inc()
        metrics.REQUEST_SECONDS.labels(self._route_id).observe(elapsed_s)

    def _log_request(
        self,
        status: int,
        code: result_codes.ResultCode,
        detail: str = "",
        outcome: result_codes.Outcome | None = None,
    ) -> None:
        elapsed_s = self._app.clock.now() - self._arrived_at
        self._record_metrics(code, elapsed_s)
        trace = self._trace
        request_id = self._header_value(self._app.header_names.request_id)
        _REQUEST_LOG.info(
            self._log_message,
            extra={
                "request_id": request_id.decode("latin-1"),
                "route": self._route_id,
                "customer": self._customer_id,
                "status": status,
                "code": code.number,
                "outcome": (outcome or code.outcome).value,
                "detail": detail,
                "object": self._header_value(
                    self._app.header_names.affinity_key
                ).decode("latin-1"),
                "fingerprint": trace.fingerprint.hex(),
                "service": trace.service_id,
                "sends": trace.attempts,
                "target_region": trace.region,
                "chosen_as": trace.reason,
                "expected_ms": round(trace.expected_latency_s * 1000),
                "measured_ms": round(trace.measured_latency_s * 1000),
                "object_known": trace.is_cached,
                "target_load": round(trace.target_load, 1),
                "target_rate_limit": trace.target_rate_limit_per_s,
                "load_age_ms": _milliseconds(trace.target_load_age_s),
                "send_delay_ms": _milliseconds(trace.send_delay_s),
                "queued_ms": round(self._queued_s * 1000),
                "left_unread": trace.had_caller_left_unread,
                "elapsed_ms": round(elapsed_s * 1000),
                "configuration": self._app.active_config.current.version,
                "configuration_age_ms": _milliseconds(
                    self._app.configuration_age_s()
                ),
            },
        )


def _milliseconds(seconds: float | None) -> int | None:
    if seconds is None or math.isinf(seconds):
        return None
    return round(seconds * 1000)
