"""ASGI application of the callers' port: look-ups and requests."""

import asyncio
from collections import abc
import typing
import uuid

import litestar
import msgspec

from chicorydoor.coordination import authenticator as authenticator_module
from chicorydoor.coordination import dispatcher as dispatcher_module
from chicorydoor.coordination import entry_directory
from chicorydoor.coordination import idempotency_guard as guard_module
from chicorydoor.coordination import local_grants
from chicorydoor.coordination import request_types
from chicorydoor.protocol import bucket_ids
from chicorydoor.protocol import caller_api
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import result_codes
from chicorydoor.state import event_ring
from chicorydoor.state import idempotency
from chicorydoor.transport import asgi
from chicorydoor.transport import caller_connection
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_CODES = result_codes.ResultCode
_MAX_KEYS_PER_LOOKUP = 100
_MAX_REQUEST_ID_CHARS = 64
_RETRY_AFTER_JITTER = 0.5


class _CallerGoneError(Exception):
    """The caller closed the connection."""


class _Call:
    """State of one request on the callers' port."""

    def __init__(self, app: "CallerApp", scope: asgi.Scope) -> None:
        self.scope = scope
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.header_by_name: dict[bytes, bytes] = dict(scope["headers"])
        self.request_id = _request_id(self.header_by_name)
        self.started_at = app.clock.now()
        self.route_id = ""
        self.customer = ""
        self.has_response_started = False
        self.code = _CODES.OK
        self._connection = caller_connection.find_in_scope(scope)

    def is_caller_gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._connection is not None and self._connection.is_closed()


def _request_id(header_by_name: dict[bytes, bytes]) -> str:
    """Return the caller's request id if it is valid, else a new one.

    Valid ids have ASCII letters, digits, ``-`` and ``_`` only.
    """
    header_value = header_by_name.get(http_headers.REQUEST_ID, b"")
    text = header_value.decode("latin-1")
    is_plain = text.replace("-", "").replace("_", "").isalnum()
    if text.isascii() and is_plain and len(text) <= _MAX_REQUEST_ID_CHARS:
        return text
    return uuid.uuid4().hex


class CallerApp:
    """ASGI application that serves callers.

    Args:
        authenticator (Authenticator): Checks route and key.
        grants (LocalGrants): Holds the customers' local tokens.
        dispatcher (Dispatcher): Runs admitted requests.
        idempotency_guard (IdempotencyGuard): Runs requests with idempotency
            keys.
        key_issuer (IdempotencyKeyIssuer): Mints idempotency keys.
        directory (EntryDirectory): Answers look-ups.
        clock (Clock): Time source.
        events (EventRing): Records what happens to requests.
        max_body_bytes (int): Size of the largest request body.
        random_fraction (callable): Returns a random number from 0 to 1, for
            the jitter of retry times.
    """

    def __init__(
        self,
        *,
        authenticator: authenticator_module.Authenticator,
        grants: local_grants.LocalGrants,
        dispatcher: dispatcher_module.Dispatcher,
        idempotency_guard: guard_module.IdempotencyGuard,
        key_issuer: idempotency.IdempotencyKeyIssuer,
        directory: entry_directory.EntryDirectory,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
        max_body_bytes: int,
        random_fraction: abc.Callable[[], float],
    ) -> None:
        self._authenticator = authenticator
        self._grants = grants
        self._dispatcher = dispatcher
        self._idempotency_guard = idempotency_guard
        self._key_issuer = key_issuer
        self._directory = directory
        self.clock = clock
        self._events = events
        self._max_body_bytes = max_body_bytes
        self._random_fraction = random_fraction
        self.is_ready: abc.Callable[[], bool] = lambda: True
        self.running_count = 0
        self._encoder = msgspec.json.Encoder()
        self.app = litestar.Litestar(
            [
                litestar.get("/healthz", sync_to_thread=False)(
                    self._get_health
                ),
                litestar.get("/readyz", sync_to_thread=False)(
                    self._get_readiness
                ),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer a request; look-ups and requests bypass the router.

        Scopes of types other than HTTP are ignored.
        """
        path = scope.get("path", "")
        if path == "/v1/lookup":
            await self._lookup(scope, send)
        elif path in ("/healthz", "/readyz"):
            await self.app(scope, receive, send)
        elif scope["type"] == "http":
            await self._handle_request(scope, receive, send)

    def _get_health(self) -> str:
        return "ok"

    def _get_readiness(self) -> litestar.Response[str]:
        if self.is_ready():
            return litestar.Response("ready")
        return litestar.Response("not ready", status_code=503)

    # Look-ups.

    async def _lookup(self, scope: asgi.Scope, send: asgi.Send) -> None:
        try:
            answer = self._answer_lookup(scope)
        except (ValueError, request_types.RefusedError) as error:
            refused = request_types.RefusedError(
                _CODES.BAD_REQUEST, str(error)
            )
            await self._send_refusal(send, refused, uuid.uuid4().hex)
            return
        metrics.LOOKUPS.inc()
        await _send_response(
            send,
            200,
            [(b"content-type", b"application/json")],
            self._encoder.encode(answer),
        )

    def _answer_lookup(self, scope: asgi.Scope) -> caller_api.LookupAnswer:
        query = scope["query_string"]
        if scope["method"] != "GET":
            raise request_types.RefusedError(_CODES.BAD_REQUEST, "use GET")
        if http_headers.API_KEY_PREFIX in query:
            raise request_types.RefusedError(_CODES.KEY_IN_URL)
        value_by_name = _parse_query(query) if query else {}
        address = value_by_name.get("address") or scope["client"][0]
        address = address.partition("/")[0]
        answer = self._directory.lookup(address)
        idempotency_key_count = min(
            int(value_by_name.get("mint", 0)), _MAX_KEYS_PER_LOOKUP
        )
        if idempotency_key_count > 0:
            keys = [
                self._key_issuer.mint() for _ in range(idempotency_key_count)
            ]
            answer = msgspec.structs.replace(answer, idempotency_keys=keys)
        self._record_lookup(scope, address)
        return answer

    def _record_lookup(self, scope: asgi.Scope, address: str) -> None:
        """Record an event for a look-up with a request id."""
        for name, value in scope["headers"]:
            if name == http_headers.REQUEST_ID:
                self._events.add(
                    event_ring.EventKind.LOOKED_UP,
                    request_id=value.decode("latin-1")[:_MAX_REQUEST_ID_CHARS],
                    subject=address,
                )

    # Requests.

    async def _handle_request(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        call = _Call(self, scope)
        self.running_count += 1
        try:
            await self._serve_request(call, receive, send)
        except request_types.RefusedError as error:
            call.code = error.code
            if call.has_response_started:
                raise
            await self._send_refusal(send, error, call.request_id)
        except (_CallerGoneError, asyncio.CancelledError):
            # Also recorded if the caller left after its whole body.
            call.code = _CODES.BODY_INCOMPLETE
        except Exception:
            call.code = _CODES.INTERNAL
            if not call.has_response_started:
                refusal = request_types.RefusedError(_CODES.INTERNAL)
                await self._send_refusal(send, refusal, call.request_id)
            raise
        finally:
            self.running_count -= 1
            self._record_end(call)

    def _record_end(self, call: _Call) -> None:
        number = call.code.number
        metrics.REQUESTS.labels(call.route_id, call.customer, number).inc()
        elapsed_s = self.clock.now() - call.started_at
        metrics.REQUEST_SECONDS.labels(call.route_id).observe(elapsed_s)
        self._events.add(
            event_ring.EventKind.FINISHED,
            request_id=call.request_id,
            customer=call.customer,
            subject=call.route_id,
            detail=str(number),
        )

    async def _serve_request(
        self, call: _Call, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if call.is_caller_gone():
            raise request_types.RefusedError(
                _CODES.CALLER_LEFT, outcome=result_codes.Outcome.NOT_RUN
            )
        caller = self._authenticator.authenticate(
            call.scope.get("raw_path") or call.path.encode(),
            call.path,
            call.scope["query_string"],
            call.header_by_name.get(http_headers.API_KEY, b""),
        )
        call.route_id = caller.route_id
        call.customer = caller.customer
        self._events.add(
            event_ring.EventKind.RECEIVED,
            request_id=call.request_id,
            customer=caller.customer,
            subject=caller.route_id,
        )
        deadline = self._parse_deadline(call, caller.route.deadline_s)
        if caller.customer:
            await self._acquire_token(caller, deadline)
        body = await self._read_body_before_deadline(call, receive, deadline)
        request = self._build_request(call, caller, deadline, body)
        await self._run_until_disconnect(call, request, receive, send)

    def _parse_deadline(self, call: _Call, max_deadline_s: float) -> float:
        header_value = call.header_by_name.get(http_headers.DEADLINE_MS)
        if header_value is None:
            return call.started_at + max_deadline_s
        requested_ms = http_headers.parse_whole_number(header_value.strip())
        if requested_ms is None:
            raise request_types.RefusedError(
                _CODES.BAD_REQUEST, "x-deadline-ms is not a whole number"
            )
        requested_s = requested_ms / 1000
        if requested_s <= 0:
            raise request_types.RefusedError(_CODES.DEADLINE_TOO_SHORT)
        return call.started_at + min(requested_s, max_deadline_s)

    async def _acquire_token(
        self, caller: authenticator_module.AuthenticatedCaller, deadline: float
    ) -> None:
        bucket = bucket_ids.customer_bucket_id(caller.customer)
        remaining_s = deadline - self.clock.now()
        await self._grants.acquire_tokens(bucket, 1.0, remaining_s)

    def _build_request(
        self,
        call: _Call,
        caller: authenticator_module.AuthenticatedCaller,
        deadline: float,
        body: request_types.Body,
    ) -> request_types.Request:
        headers = call.header_by_name
        path = call.scope.get("raw_path") or call.path.encode()
        return request_types.Request(
            method=call.method,
            path=path.decode("latin-1"),
            query=call.scope["query_string"],
            headers=http_headers.filter_request_headers(call.scope["headers"]),
            body=body,
            route_id=caller.route_id,
            route=caller.route,
            customer=caller.customer,
            key_id=caller.key_id,
            request_id=call.request_id,
            deadline_at=deadline,
            idempotency_key=headers.get(
                http_headers.IDEMPOTENCY_KEY, b""
            ).decode("latin-1"),
            is_first_attempt=http_headers.FIRST_ATTEMPT in headers,
            is_caller_gone=call.is_caller_gone,
        )

    async def _read_body_before_deadline(
        self, call: _Call, receive: asgi.Receive, deadline: float
    ) -> request_types.Body:
        """Read a small body, or the first part of a large one, in time."""
        try:
            async with asyncio.timeout(deadline - self.clock.now()):
                return await self._read_body(call, receive)
        except TimeoutError as error:
            raise request_types.RefusedError(
                _CODES.BODY_INCOMPLETE,
                outcome=result_codes.Outcome.NOT_RUN,
            ) from error

    async def _read_body(
        self, call: _Call, receive: asgi.Receive
    ) -> request_types.Body:
        header_value = call.header_by_name.get(b"content-length", b"0")
        if not header_value.isdigit():
            raise request_types.RefusedError(
                _CODES.BAD_REQUEST, "content-length"
            )
        if int(header_value) > self._max_body_bytes:
            raise request_types.RefusedError(_CODES.BODY_TOO_LARGE)
        if (
            header_value == b"0"
            and b"transfer-encoding" not in call.header_by_name
        ):
            # Consume the empty body, so that the next message is the
            # disconnect.
            await receive()
            return request_types.Body(b"")
        return await request_types.buffer_body(self._body_pieces(receive))

    async def _body_pieces(
        self, receive: asgi.Receive
    ) -> abc.AsyncIterator[bytes]:
        received_bytes = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _CallerGoneError
            piece = message.get("body", b"")
            received_bytes += len(piece)
            if received_bytes > self._max_body_bytes:
                raise request_types.RefusedError(
                    _CODES.BODY_TOO_LARGE,
                    outcome=_outcome_of_large_body(received_bytes),
                )
            if piece:
                yield piece
            if not message.get("more_body", False):
                return

    async def _run_until_disconnect(
        self,
        call: _Call,
        request: request_types.Request,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Run a request; cancel it when the caller disconnects.

        A disconnect is watched for only when the body was read to its end.
        """
        task = asyncio.current_task()
        assert task is not None
        disconnect_watch: asyncio.Task | None = None
        if request.body.is_replayable:
            disconnect_watch = asyncio.create_task(
                _cancel_on_disconnect(receive, task)
            )
        try:
            answer = await self._run_request(request)
            try:
                await self._send_answer(call, answer, send)
            finally:
                await answer.close()
        finally:
            if disconnect_watch is not None:
                disconnect_watch.cancel()

    async def _run_request(
        self, request: request_types.Request
    ) -> request_types.Answer:
        if request.idempotency_key and not request.is_idempotent:
            return await self._idempotency_guard.run(
                request, self._dispatcher.run
            )
        return await self._dispatcher.run(request)

    async def _send_answer(
        self, call: _Call, answer: request_types.Answer, send: asgi.Send
    ) -> None:
        headers = [
            *answer.headers,
            (http_headers.REQUEST_ID, call.request_id.encode()),
            (http_headers.RESULT_CODE, b"0"),
            (http_headers.RESULT_OUTCOME, b"ran"),
        ]
        call.has_response_started = True
        if answer.remaining_pieces is None:
            await _send_response(send, answer.status, headers, answer.buffered)
            return
        await send(_response_start(answer.status, headers))
        await send(_response_body(answer.buffered, more=True))
        async for piece in answer.remaining_pieces:
            await send(_response_body(piece, more=True))
        await send(_response_body(b"", more=False))

    async def _send_refusal(
        self,
        send: asgi.Send,
        error: request_types.RefusedError,
        request_id: str,
    ) -> None:
        jitter_factor = 1.0 + _RETRY_AFTER_JITTER * self._random_fraction()
        retry_after_s = round(error.retry_after_s * jitter_factor, 3)
        body = caller_api.RefusalBody(
            error.code.number,
            error.code.name,
            error.outcome.value,
            error.detail,
            retry_after_s,
        )
        headers = [
            (b"content-type", b"application/json"),
            (http_headers.REQUEST_ID, request_id.encode()),
            (http_headers.RESULT_CODE, b"%d" % error.code.number),
            (http_headers.RESULT_OUTCOME, error.outcome.value.encode()),
        ]
        if retry_after_s > 0:
            seconds = max(1, round(retry_after_s))
            headers.append((b"retry-after", b"%d" % seconds))
        await _send_response(
            send, error.code.status, headers, self._encoder.encode(body)
        )


def _outcome_of_large_body(received_bytes: int) -> result_codes.Outcome:
    """Return the outcome of a request whose body exceeds the limit.

    It is unknown if a first part of the body may have been forwarded.
    """
    if received_bytes > request_types.STREAMING_THRESHOLD_BYTES:
        return result_codes.Outcome.UNKNOWN
    return result_codes.Outcome.NOT_RUN


async def _cancel_on_disconnect(
    receive: asgi.Receive, task: asyncio.Task
) -> None:
    message = await receive()
    if message["type"] == "http.disconnect":
        task.cancel()


def _parse_query(query: bytes) -> dict[str, str]:
    pairs = (part.partition("=") for part in query.decode("ascii").split("&"))
    return {name: value for name, _, value in pairs}


def _response_start(
    status: int, headers: list[tuple[bytes, bytes]]
) -> dict[str, typing.Any]:
    return {
        "type": "http.response.start",
        "status": status,
        "headers": headers,
    }


def _response_body(data: bytes, *, more: bool) -> dict[str, typing.Any]:
    return {"type": "http.response.body", "body": data, "more_body": more}


async def _send_response(
    send: asgi.Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    if not any(name == http_headers.CONTENT_LENGTH for name, _ in headers):
        length = b"%d" % len(body)
        headers.append((http_headers.CONTENT_LENGTH, length))
    await send(_response_start(status, headers))
    await send(_response_body(body, more=False))
