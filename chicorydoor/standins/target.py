"""Stand-in for a target.

Serves any path, holds a bounded number of requests, records what it saw, and
can shed, drain, start cold, mislead about its load, and answer late, cut
short or with another request's id.
"""

import asyncio
import dataclasses

import litestar
from litestar import handlers
import msgspec

from chicorydoor.transport import asgi
from chicorydoor.transport import http_server


@dataclasses.dataclass
class TargetFaults:
    """What the stand-in does.

    Args:
        work_s (float): Time for a request. Defaults to 0.005.
        cold_s (float): Time after its start during which requests take
            ``cold_factor`` times as long. Defaults to 0.
        cold_factor (float): See there. Defaults to 5.
        shed (bool): Refuse everything unprocessed. Defaults to False.
        cut_short (int): Answers that end early. Defaults to 0.
        cross (int): Answers with another request's id. Defaults to 0.
        late_s (float): Added to each answer. Defaults to 0.
        fail (bool): Answer 500. Defaults to False.
        reported_load (float): Load that it reports, or None for the true
            one. Defaults to None.
        answer_bytes (int): Size of answers. Defaults to 64.
    """

    work_s: float = 0.005
    cold_s: float = 0.0
    cold_factor: float = 5.0
    shed: bool = False
    cut_short: int = 0
    cross: int = 0
    late_s: float = 0.0
    fail: bool = False
    reported_load: float | None = None
    answer_bytes: int = 64


class SeenRequest(msgspec.Struct, frozen=True):
    """A request as the target saw it."""

    at: float
    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes

    @property
    def request_id(self) -> str:
        """The request's id."""
        return dict(self.headers).get(b"x-request-id", b"").decode()


class StandinTarget:
    """The stand-in server.

    Args:
        slots (int): Requests that it may have running.
        address (str): IP number. Defaults to 127.0.0.1.
        port (int): TCP port. Defaults to 0, the system's choice.
    """

    def __init__(
        self, slots: int, address: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.slots = slots
        self.faults = TargetFaults()
        self.seen: list[SeenRequest] = []
        self.running = 0
        self.most_running = 0
        self.cancelled = 0
        self.finished = 0
        self._started_at = 0.0
        app = litestar.Litestar(
            [
                litestar.get("/health", sync_to_thread=False)(self._health),
                litestar.get("/standin/seen", sync_to_thread=False)(
                    self._seen_ids
                ),
                handlers.asgi("/", is_mount=True, copy_scope=False)(
                    self._handle
                ),
            ],
            openapi_config=None,
            logging_config=None,
        )
        self._server = http_server.HttpServer(app, address, port)
        self.address = address
        self.port = self._server.port

    async def start(self) -> None:
        """Begin to serve, cold."""
        self._started_at = asyncio.get_running_loop().time()
        await self._server.start()

    async def stop(self) -> None:
        """Cut everything."""
        await self._server.stop()

    def _seen_ids(self) -> list[str]:
        """Ids of all requests seen, for programs in other processes."""
        return [seen.request_id for seen in self.seen]

    def _health(self) -> dict[str, float]:
        load = self.faults.reported_load
        if load is None:
            load = self.running / self.slots
        return {"load": load}

    async def _handle(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        body = await asgi.read_body(receive)
        now = asyncio.get_running_loop().time()
        headers = [(bytes(n), bytes(v)) for n, v in scope["headers"]]
        seen = SeenRequest(
            now, scope["method"], scope["raw_path"].decode(), headers, body
        )
        if self.faults.shed:
            await asgi.send_answer(
                send, 503, [(b"x-not-processed", b"1")], b""
            )
            return
        self.seen.append(seen)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self._work(seen, receive)
            self.finished += 1
        except _CancelledError:
            self.cancelled += 1
            return
        finally:
            self.running -= 1
        await self._reply(seen, send)

    async def _work(self, seen: SeenRequest, receive: asgi.Receive) -> None:
        """Take the time that a request needs, unless it is cancelled."""
        now = asyncio.get_running_loop().time()
        work_s = self.faults.work_s
        if now - self._started_at < self.faults.cold_s:
            work_s *= self.faults.cold_factor
        work_s += self.faults.late_s
        header_by_name = dict(seen.headers)
        deadline_ms = header_by_name.get(b"x-deadline-ms")
        gone = asyncio.create_task(receive())
        try:
            limit_s = work_s
            if deadline_ms is not None:
                limit_s = min(work_s, int(deadline_ms) / 1000)
            done, _ = await asyncio.wait([gone], timeout=limit_s)
            if done or limit_s < work_s:
                raise _CancelledError
        finally:
            gone.cancel()

    async def _reply(self, seen: SeenRequest, send: asgi.Send) -> None:
        faults = self.faults
        request_id = seen.request_id.encode()
        if faults.cross > 0:
            faults.cross -= 1
            request_id = b"somebody-else"
        headers = [(b"x-request-id", request_id)]
        status = 500 if faults.fail else 200
        body = (request_id + b" ").ljust(faults.answer_bytes, b".")
        if seen.body:
            body = request_id + b" " + seen.body
        if faults.cut_short > 0:
            faults.cut_short -= 1
            await _cut_short(send, headers, body)
            return
        await asgi.send_answer(send, status, headers, body)


class _CancelledError(Exception):
    """The request's caller went away or its deadline passed."""


async def _cut_short(
    send: asgi.Send, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Promise a whole body and end the connection in its middle."""
    length = (b"content-length", b"%d" % len(body))
    start = {
        "type": "http.response.start",
        "status": 200,
        "headers": [*headers, length],
    }
    await send(start)
    half = body[: len(body) // 2]
    await send({"type": "http.response.body", "body": half, "more_body": True})
    raise ConnectionAbortedError("cut short on purpose")
