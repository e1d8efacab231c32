"""ASGI application that takes callers' requests."""

import asyncio
import logging

from chicorydoor.coordination import admission
from chicorydoor.coordination import call_runner
from chicorydoor.coordination import plan_keeper
from chicorydoor.coordination import requests
from chicorydoor.protocol import calls
from chicorydoor.protocol import result_codes
from chicorydoor.protocol import wire_names
from chicorydoor.transport import asgi
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import target_channel

_CODES = result_codes.ResultCode
_LOG = logging.getLogger(__name__)
_BODILESS = frozenset({204, 304})


class _CallerLeftError(Exception):
    """The caller closed its connection before its request was whole."""


class CallApp:
    """Serves requests from their head to the end of their answer.

    Args:
        gate (Admission): Lets requests in.
        runner (CallRunner): Runs them.
        plans (PlanKeeper): The configuration.
        wire (WireNames): Header names.
        clock (Clock): Time.
    """

    def __init__(
        self,
        gate: admission.Admission,
        runner: call_runner.CallRunner,
        plans: plan_keeper.PlanKeeper,
        wire: wire_names.WireNames,
        clock: clock_module.Clock,
    ) -> None:
        self._gate = gate
        self._runner = runner
        self._plans = plans
        self._wire = wire
        self._clock = clock
        self.running = 0
        self.is_leaving = False

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        self.running += 1
        try:
            await _Exchange(self, scope, receive, send).serve()
        finally:
            self.running -= 1


class _Exchange:
    """One request and its answer."""

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
        self._arrived_at = app._clock.now()
        self._trace = call_runner.CallTrace()
        self._has_left = False
        self._values_by_header: dict[bytes, list[bytes]] = {}
        for name, value in scope["headers"]:
            self._values_by_header.setdefault(name, []).append(value)
        self._route_name = ""
        self._customer_name = ""

    def _header(self, name: bytes) -> bytes:
        values = self._values_by_header.get(name)
        return values[0] if values else b""

    async def serve(self) -> None:
        """Read, run, answer and log."""
        watcher: asyncio.Task | None = None
        try:
            body = await self._read_body()
            watcher = asyncio.create_task(
                self._watch_caller(asyncio.current_task())
            )
            answer = await self._run(body)
            await self._pass_on(answer)
        except _CallerLeftError:
            self._log(0, _CODES.BODY_INCOMPLETE)
        except requests.RefusedError as refusal:
            await self._refuse(refusal)
        except asyncio.CancelledError:
            if not self._has_left:
                raise
            task = asyncio.current_task()
            if task is not None:
                task.uncancel()
            self._log(0, _CODES.CALLER_LEFT)
        except Exception:
            _LOG.exception("fault while serving a request")
            await self._refuse(requests.RefusedError(_CODES.INTERNAL))
        finally:
            if watcher is not None:
                watcher.cancel()

    async def _read_body(self) -> bytes:
        limit = self._app._plans.plan.limits.body_bytes
        pieces: list[bytes] = []
        size = 0
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                raise _CallerLeftError
            piece = event.get("body", b"")
            size += len(piece)
            if size > limit:
                raise requests.RefusedError(_CODES.BODY_TOO_LARGE)
            pieces.append(piece)
            if not event.get("more_body", False):
                return b"".join(pieces)

    async def _watch_caller(self, serving: asyncio.Task | None) -> None:
        """Stop the work when the caller has left."""
        event = await self._receive()
        if event["type"] == "http.disconnect" and serving is not None:
            self._has_left = True
            serving.cancel()

    async def _run(self, body: bytes) -> target_channel.WholeAnswer:
        app, scope = self._app, self._scope
        path = scope["raw_path"] or scope["path"].encode("latin-1")
        route = app._gate.route(
            self._header(b"host").decode("latin-1"), path.decode("latin-1")
        )
        self._route_name = route.route_id
        keys = self._values_by_header.get(app._wire.key, [])
        customer = app._gate.customer(route, keys)
        if customer is not None:
            self._customer_name = customer.customer_id
        grant = await app._gate.take_rate(customer)
        query = scope["query_string"]
        headers = scope["headers"]
        call = calls.Call(
            method=scope["method"].encode(),
            target=path + b"?" + query if query else path,
            headers=calls.end_to_end(
                headers, app._wire, calls.connection_options(headers)
            ),
            body=body,
            request_id=self._header(app._wire.request_id),
            affinity=self._header(app._wire.affinity),
            route=route,
            customer=customer,
            arrived_at=self._arrived_at,
            deadline=self._deadline(route.timeout_s),
        )
        try:
            return await app._runner.run(call, self._trace)
        except requests.RefusedError as refusal:
            if refusal.is_not_run:
                app._gate.give_back_rate(customer, grant)
            raise

    def _deadline(self, timeout_s: float) -> float:
        told = self._header(self._app._wire.deadline)
        patience_s = int(told) / 1000 if told.isdigit() else timeout_s
        return self._arrived_at + min(patience_s, timeout_s)

    async def _pass_on(self, answer: target_channel.WholeAnswer) -> None:
        headers = calls.answer_headers(answer.headers)
        await self._answer(answer.status, headers, answer.body)
        self._log(answer.status, _CODES.OK)

    async def _refuse(self, refusal: requests.RefusedError) -> None:
        code = refusal.code
        headers = [
            (b"x-chicorydoor-code", b"%d" % code.number),
            (b"x-chicorydoor-outcome", refusal.outcome.value.encode()),
        ]
        request_id = self._header(self._app._wire.request_id)
        if request_id:
            headers.append((self._app._wire.request_id, request_id))
        if refusal.retry_after_s > 0:
            value = f"{refusal.retry_after_s:.3f}".encode()
            headers.append((b"retry-after", value))
        await self._answer(code.status, headers, b"")
        self._log(code.status, code, refusal.detail)

    async def _answer(
        self, status: int, headers: calls.Headers, body: bytes
    ) -> None:
        if status not in _BODILESS and self._scope["method"] != "HEAD":
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        if self._app.is_leaving:
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await self._send({"type": "http.response.body", "body": body})

    def _log(
        self, status: int, code: result_codes.ResultCode, detail: str = ""
    ) -> None:
        elapsed_s = self._app._clock.now() - self._arrived_at
        route, customer = self._route_name, self._customer_name
        metrics.REQUESTS.labels(route, customer, code.number).inc()
        metrics.REQUEST_SECONDS.labels(route).observe(elapsed_s)
        trace = self._trace
        request_id = self._header(self._app._wire.request_id)
        _LOG.info(
            "request",
            extra={
                "request_id": request_id.decode("latin-1"),
                "route": route,
                "customer": customer,
                "status": status,
                "code": code.number,
                "outcome": code.outcome.value,
                "detail": detail,
                "object": self._header(self._app._wire.affinity).decode(
                    "latin-1"
                ),
                "service": trace.service_id,
                "sends": trace.sends,
                "expected_ms": round(trace.expected_s * 1000),
                "object_known": trace.is_known,
                "target_load": round(trace.load, 1),
                "load_age_ms": _milliseconds(trace.load_age_s),
                "elapsed_ms": round(elapsed_s * 1000),
                "configuration": self._app._plans.plan.version,
            },
        )


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)
