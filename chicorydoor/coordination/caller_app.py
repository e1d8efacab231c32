"""The callers' port: look-ups, and the requests themselves."""

import asyncio
from collections import abc
import typing
import uuid

import litestar
import msgspec

from chicorydoor.coordination import allotments as allotments_module
from chicorydoor.coordination import directory as directory_module
from chicorydoor.coordination import dispatcher as dispatcher_module
from chicorydoor.coordination import gate as gate_module
from chicorydoor.coordination import once as once_module
from chicorydoor.coordination import requests
from chicorydoor.protocol import caller_api
from chicorydoor.protocol import headers as header_names
from chicorydoor.protocol import names
from chicorydoor.protocol import result_codes
from chicorydoor.state import event_ring
from chicorydoor.state import idempotency
from chicorydoor.transport import asgi
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics

_CODES = result_codes.ResultCode
_MOST_MINTED = 100
_LONGEST_REQUEST_ID = 64
_RETRY_JITTER = 0.5


class _CallerGoneError(Exception):
    """The caller closed the connection."""


class _Call:
    """One request on the callers' port."""

    def __init__(self, app: "CallerApp", scope: asgi.Scope) -> None:
        self.scope = scope
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.header_by_name: dict[bytes, bytes] = dict(scope["headers"])
        self.request_id = _request_id(self.header_by_name)
        self.started_at = app.clock.now()
        self.route = ""
        self.customer = ""
        self.has_started = False
        self.code = _CODES.OK


def _request_id(header_by_name: dict[bytes, bytes]) -> str:
    """The caller's id if it is a plain token, else a new one."""
    given = header_by_name.get(header_names.REQUEST_ID, b"")
    text = given.decode("latin-1")
    is_plain = text.replace("-", "").replace("_", "").isalnum()
    if text.isascii() and is_plain and len(text) <= _LONGEST_REQUEST_ID:
        return text
    return uuid.uuid4().hex


class CallerApp:
    """Answers callers.

    Args:
        gate (Gate): Checks route and key.
        allotments (Allotments): Holds the customers' tokens.
        dispatcher (Dispatcher): Runs admitted requests.
        once (OnceGuard): Runs requests with idempotency keys.
        mint (KeyMint): Mints idempotency keys.
        directory (Directory): Answers look-ups.
        clock (Clock): Time.
        events (EventRing): Gets what happens to requests.
        body_bytes (int): Bound on request bodies.
        jitter (callable): Random, 0 to 1, for retry times.
    """

    def __init__(
        self,
        *,
        gate: gate_module.Gate,
        allotments: allotments_module.Allotments,
        dispatcher: dispatcher_module.Dispatcher,
        once: once_module.OnceGuard,
        mint: idempotency.KeyMint,
        directory: directory_module.Directory,
        clock: clock_module.Clock,
        events: event_ring.EventRing,
        body_bytes: int,
        jitter: abc.Callable[[], float],
    ) -> None:
        self._gate = gate
        self._allotments = allotments
        self._dispatcher = dispatcher
        self._once = once
        self._mint = mint
        self._directory = directory
        self.clock = clock
        self._events = events
        self._body_bytes = body_bytes
        self._jitter = jitter
        self.is_ready: abc.Callable[[], bool] = lambda: True
        self.running = 0
        self._encoder = msgspec.json.Encoder()
        self.app = litestar.Litestar(
            [
                litestar.get("/healthz", sync_to_thread=False)(self._health),
                litestar.get("/readyz", sync_to_thread=False)(self._ready),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer a request; look-ups and routes take the short way."""
        path = scope.get("path", "")
        if path == "/v1/lookup":
            await self._lookup(scope, send)
        elif path in ("/healthz", "/readyz"):
            await self.app(scope, receive, send)
        elif scope["type"] == "http":
            await self._handle(scope, receive, send)

    def _health(self) -> str:
        return "ok"

    def _ready(self) -> litestar.Response[str]:
        if self.is_ready():
            return litestar.Response("ready")
        return litestar.Response("not ready", status_code=503)

    # Look-ups.

    async def _lookup(self, scope: asgi.Scope, send: asgi.Send) -> None:
        try:
            answer = self._answer_lookup(scope)
        except (ValueError, requests.RefusedError) as error:
            refused = requests.RefusedError(_CODES.BAD_REQUEST, str(error))
            await self._send_refusal(send, refused, uuid.uuid4().hex)
            return
        metrics.LOOKUPS.inc()
        await _send_whole(
            send,
            200,
            [(b"content-type", b"application/json")],
            self._encoder.encode(answer),
        )

    def _answer_lookup(self, scope: asgi.Scope) -> caller_api.LookupAnswer:
        query = scope["query_string"]
        if scope["method"] != "GET":
            raise requests.RefusedError(_CODES.BAD_REQUEST, "use GET")
        if header_names.KEY_PREFIX in query:
            raise requests.RefusedError(_CODES.KEY_IN_URL)
        value_by_name = _parse_query(query) if query else {}
        address = value_by_name.get("address") or scope["client"][0]
        address = address.partition("/")[0]
        answer = self._directory.lookup(address)
        count = min(int(value_by_name.get("mint", 0)), _MOST_MINTED)
        if count > 0:
            keys = [self._mint.mint() for _ in range(count)]
            answer = msgspec.structs.replace(answer, idempotency_keys=keys)
        self._note_lookup(scope, address)
        return answer

    def _note_lookup(self, scope: asgi.Scope, address: str) -> None:
        """Record look-ups that carry a request id."""
        for name, value in scope["headers"]:
            if name == header_names.REQUEST_ID:
                self._events.add(
                    event_ring.EventKind.LOOKED_UP,
                    request_id=value.decode("latin-1")[:_LONGEST_REQUEST_ID],
                    subject=address,
                )

    # Requests.

    async def _handle(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        call = _Call(self, scope)
        self.running += 1
        try:
            await self._serve(call, receive, send)
        except requests.RefusedError as error:
            call.code = error.code
            if call.has_started:
                raise
            await self._send_refusal(send, error, call.request_id)
        except (_CallerGoneError, asyncio.CancelledError):
            call.code = _CODES.BODY_INCOMPLETE
        except Exception:
            call.code = _CODES.INTERNAL
            if not call.has_started:
                fault = requests.RefusedError(_CODES.INTERNAL)
                await self._send_refusal(send, fault, call.request_id)
            raise
        finally:
            self.running -= 1
            self._note_end(call)

    def _note_end(self, call: _Call) -> None:
        number = call.code.number
        metrics.REQUESTS.labels(call.route, call.customer, number).inc()
        elapsed_s = self.clock.now() - call.started_at
        metrics.REQUEST_SECONDS.labels(call.route).observe(elapsed_s)
        self._events.add(
            event_ring.EventKind.FINISHED,
            request_id=call.request_id,
            customer=call.customer,
            subject=call.route,
            detail=str(number),
        )

    async def _serve(
        self, call: _Call, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        admission = self._gate.admit(
            call.scope.get("raw_path") or call.path.encode(),
            call.path,
            call.scope["query_string"],
            call.header_by_name.get(header_names.KEY, b""),
        )
        call.route = admission.route_id
        call.customer = admission.customer
        self._events.add(
            event_ring.EventKind.RECEIVED,
            request_id=call.request_id,
            customer=admission.customer,
            subject=admission.route_id,
        )
        deadline = self._deadline(call, admission.route.deadline_s)
        if admission.customer:
            await self._take_token(admission, deadline)
        body = await self._read_in_time(call, receive, deadline)
        request = self._request(call, admission, deadline, body)
        await self._run_watched(call, request, receive, send)

    def _deadline(self, call: _Call, longest_s: float) -> float:
        raw = call.header_by_name.get(header_names.DEADLINE)
        if raw is None:
            return call.started_at + longest_s
        try:
            asked_s = int(raw) / 1000
        except ValueError as error:
            raise requests.RefusedError(
                _CODES.BAD_REQUEST, "x-deadline-ms is not a whole number"
            ) from error
        if asked_s <= 0:
            raise requests.RefusedError(_CODES.DEADLINE_TOO_SHORT)
        return call.started_at + min(asked_s, longest_s)

    async def _take_token(
        self, admission: gate_module.Admission, deadline: float
    ) -> None:
        bucket = names.customer_bucket(admission.customer)
        remaining_s = deadline - self.clock.now()
        await self._allotments.take_tokens(bucket, 1.0, remaining_s)

    def _request(
        self,
        call: _Call,
        admission: gate_module.Admission,
        deadline: float,
        body: requests.Body,
    ) -> requests.Request:
        headers = call.header_by_name
        path = call.scope.get("raw_path") or call.path.encode()
        return requests.Request(
            method=call.method,
            path=path.decode("latin-1"),
            query=call.scope["query_string"],
            headers=header_names.for_target(call.scope["headers"]),
            body=body,
            route_id=admission.route_id,
            route=admission.route,
            customer=admission.customer,
            key=admission.key,
            request_id=call.request_id,
            deadline=deadline,
            idempotency_key=headers.get(
                header_names.IDEMPOTENCY_KEY, b""
            ).decode("latin-1"),
            is_first_attempt=header_names.FIRST_ATTEMPT in headers,
        )

    async def _read_in_time(
        self, call: _Call, receive: asgi.Receive, deadline: float
    ) -> requests.Body:
        """Read a body, or its first part, before the deadline."""
        try:
            async with asyncio.timeout(deadline - self.clock.now()):
                return await self._read_body(call, receive)
        except TimeoutError as error:
            raise requests.RefusedError(
                _CODES.BODY_INCOMPLETE,
                outcome=result_codes.Outcome.NOT_RUN,
            ) from error

    async def _read_body(
        self, call: _Call, receive: asgi.Receive
    ) -> requests.Body:
        raw = call.header_by_name.get(b"content-length", b"0")
        if not raw.isdigit():
            raise requests.RefusedError(_CODES.BAD_REQUEST, "content-length")
        if int(raw) > self._body_bytes:
            raise requests.RefusedError(_CODES.BODY_TOO_LARGE)
        if raw == b"0" and b"transfer-encoding" not in call.header_by_name:
            await receive()
            return requests.Body(b"")
        return await requests.read_body(self._pieces(receive))

    async def _pieces(self, receive: asgi.Receive) -> abc.AsyncIterator[bytes]:
        total = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _CallerGoneError
            piece = message.get("body", b"")
            total += len(piece)
            if total > self._body_bytes:
                raise requests.RefusedError(
                    _CODES.BODY_TOO_LARGE,
                    outcome=_outcome_of_large_body(total),
                )
            if piece:
                yield piece
            if not message.get("more_body", False):
                return

    async def _run_watched(
        self,
        call: _Call,
        request: requests.Request,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Run a request; cancel it when the caller goes away."""
        task = asyncio.current_task()
        assert task is not None
        watch: asyncio.Task | None = None
        if request.body.is_replayable:
            watch = asyncio.create_task(_cancel_when_gone(receive, task))
        try:
            answer = await self._run(request)
            try:
                await self._send_answer(call, answer, send)
            finally:
                await answer.close()
        finally:
            if watch is not None:
                watch.cancel()

    async def _run(self, request: requests.Request) -> requests.Answer:
        if request.idempotency_key and not request.is_repeatable:
            return await self._once.run(request, self._dispatcher.run)
        return await self._dispatcher.run(request)

    async def _send_answer(
        self, call: _Call, answer: requests.Answer, send: asgi.Send
    ) -> None:
        headers = [
            *answer.headers,
            (header_names.REQUEST_ID, call.request_id.encode()),
            (header_names.CODE, b"0"),
            (header_names.OUTCOME, b"ran"),
        ]
        call.has_started = True
        if answer.rest is None:
            await _send_whole(send, answer.status, headers, answer.first)
            return
        await send(_start(answer.status, headers))
        await send(_body(answer.first, more=True))
        async for piece in answer.rest:
            await send(_body(piece, more=True))
        await send(_body(b"", more=False))

    async def _send_refusal(
        self, send: asgi.Send, error: requests.RefusedError, request_id: str
    ) -> None:
        spread = 1.0 + _RETRY_JITTER * self._jitter()
        retry_after_s = round(error.retry_after_s * spread, 3)
        body = caller_api.RefusalBody(
            error.code.number,
            error.code.name,
            error.outcome.value,
            error.detail,
            retry_after_s,
        )
        headers = [
            (b"content-type", b"application/json"),
            (header_names.REQUEST_ID, request_id.encode()),
            (header_names.CODE, b"%d" % error.code.number),
            (header_names.OUTCOME, error.outcome.value.encode()),
        ]
        if retry_after_s > 0:
            seconds = max(1, round(retry_after_s))
            headers.append((b"retry-after", b"%d" % seconds))
        await _send_whole(
            send, error.code.status, headers, self._encoder.encode(body)
        )


def _outcome_of_large_body(total: int) -> result_codes.Outcome:
    """Once part of a body was passed on the effect is not known."""
    if total > requests.REPLAYABLE_BYTES:
        return result_codes.Outcome.UNKNOWN
    return result_codes.Outcome.NOT_RUN


async def _cancel_when_gone(receive: asgi.Receive, task: asyncio.Task) -> None:
    message = await receive()
    if message["type"] == "http.disconnect":
        task.cancel()


def _parse_query(query: bytes) -> dict[str, str]:
    pairs = (part.partition("=") for part in query.decode("ascii").split("&"))
    return {name: value for name, _, value in pairs}


def _start(
    status: int, headers: list[tuple[bytes, bytes]]
) -> dict[str, typing.Any]:
    return {
        "type": "http.response.start",
        "status": status,
        "headers": headers,
    }


def _body(data: bytes, *, more: bool) -> dict[str, typing.Any]:
    return {"type": "http.response.body", "body": data, "more_body": more}


async def _send_whole(
    send: asgi.Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    if not any(name == header_names.CONTENT_LENGTH for name, _ in headers):
        length = b"%d" % len(body)
        headers.append((header_names.CONTENT_LENGTH, length))
    await send(_start(status, headers))
    await send(_body(body, more=False))
