"""Stand-in for a target.

Serves any path, reports its load and records the requests that it received.
It can be told to shed requests, to be slow after its start, to report a wrong
load, and to answer late, with an error, truncated or with the id of another
request.
"""

import asyncio
import dataclasses

import litestar
from litestar import handlers
import msgspec

from chicorydoor.transport import asgi
from chicorydoor.transport import http_server


@dataclasses.dataclass
class HttpTargetBehaviour:
    """Processing time and faults of the stand-in.

    Args:
        work_s (float): Processing time of a request. Defaults to 0.005.
        cold_s (float): Time after its start during which requests take
            ``cold_factor`` times as long. Defaults to 0.
        cold_factor (float): Factor on the processing time during the cold
            start. Defaults to 5.
        sheds_requests (bool): Whether it refuses all requests as not
            processed. Defaults to False.
        answers_to_truncate (int): Number of answers to truncate. Defaults to
            0.
        answers_to_mismatch (int): Number of answers to send with the id of
            another request. Defaults to 0.
        answer_delay_s (float): Delay of each answer, added to its processing
            time. Defaults to 0.
        answers_500 (bool): Whether it answers 500. Defaults to False.
        reported_load (float): Load that it reports, None for the actual
            load. Defaults to None.
        answer_bytes (int): Minimum size of the response to a request without
            a body; a request body is echoed. Defaults to 64.
    """

    work_s: float = 0.005
    cold_s: float = 0.0
    cold_factor: float = 5.0
    sheds_requests: bool = False
    answers_to_truncate: int = 0
    answers_to_mismatch: int = 0
    answer_delay_s: float = 0.0
    answers_500: bool = False
    reported_load: float | None = None
    answer_bytes: int = 64


class ReceivedRequest(msgspec.Struct, frozen=True):
    """A request that the target received.

    Args:
        at (float): Time of arrival in seconds, on the loop's clock.
        method (str): HTTP method.
        path (str): Raw path.
        headers (list): Names and values.
        body (bytes): Whole body.
    """

    at: float
    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes

    @property
    def request_id(self) -> str:
        """Id of the request, empty if it has none."""
        return dict(self.headers).get(b"x-request-id", b"").decode()


class StandinTarget:
    """A target served over HTTP, with faults.

    Args:
        slots (int): Requests that fully load it; it does not limit them.
        address (str): IP address. Defaults to 127.0.0.1.
        port (int): TCP port, 0 for any free one. Defaults to 0.
    """

    def __init__(
        self, slots: int, address: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.slots = slots
        self.behaviour = HttpTargetBehaviour()
        self.received_requests: list[ReceivedRequest] = []
        self.running_count = 0
        self.peak_running_count = 0
        self.cancelled_count = 0
        self.finished_count = 0
        self._started_at = 0.0
        app = litestar.Litestar(
            [
                litestar.get("/health", sync_to_thread=False)(self._health),
                litestar.get("/standin/seen", sync_to_thread=False)(
                    self._list_request_ids
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
        """Start to serve; the cold start begins."""
        self._started_at = asyncio.get_running_loop().time()
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server and close its connections."""
        await self._server.stop()

    def _list_request_ids(self) -> list[str]:
        """Ids of all received requests, for programs in other processes."""
        return [request.request_id for request in self.received_requests]

    def _health(self) -> dict[str, float]:
        load = self.behaviour.reported_load
        if load is None:
            load = self.running_count / self.slots
        return {"load": load}

    async def _handle(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        body = await asgi.read_body(receive)
        now = asyncio.get_running_loop().time()
        headers = [(bytes(n), bytes(v)) for n, v in scope["headers"]]
        request = ReceivedRequest(
            now, scope["method"], scope["raw_path"].decode(), headers, body
        )
        if self.behaviour.sheds_requests:
            await asgi.send_response(
                send, 503, [(b"x-not-processed", b"1")], b""
            )
            return
        self.received_requests.append(request)
        self.running_count += 1
        self.peak_running_count = max(
            self.peak_running_count, self.running_count
        )
        try:
            await self._process(request, receive)
            self.finished_count += 1
        except _CancelledError:
            self.cancelled_count += 1
            return
        finally:
            self.running_count -= 1
        await self._send_answer(request, send)

    async def _process(
        self, request: ReceivedRequest, receive: asgi.Receive
    ) -> None:
        """Wait for the processing time of a request.

        Raises:
            _CancelledError: If the caller disconnects or the deadline passes.
        """
        now = asyncio.get_running_loop().time()
        work_s = self.behaviour.work_s
        if now - self._started_at < self.behaviour.cold_s:
            work_s *= self.behaviour.cold_factor
        work_s += self.behaviour.answer_delay_s
        header_by_name = dict(request.headers)
        deadline_ms = header_by_name.get(b"x-deadline-ms")
        disconnect = asyncio.create_task(receive())
        try:
            limit_s = work_s
            if deadline_ms is not None:
                limit_s = min(work_s, int(deadline_ms) / 1000)
            done, _ = await asyncio.wait([disconnect], timeout=limit_s)
            if not done and limit_s < work_s:
                # Returning would send an error, and the deadline is rounded
                # down: the caller would get it before its own time is over.
                await disconnect
            if done or limit_s < work_s:
                raise _CancelledError
        finally:
            disconnect.cancel()

    async def _send_answer(
        self, request: ReceivedRequest, send: asgi.Send
    ) -> None:
        behaviour = self.behaviour
        request_id = request.request_id.encode()
        if behaviour.answers_to_mismatch > 0:
            behaviour.answers_to_mismatch -= 1
            request_id = b"somebody-else"
        headers = [(b"x-request-id", request_id)]
        status = 500 if behaviour.answers_500 else 200
        body = (request_id + b" ").ljust(behaviour.answer_bytes, b".")
        if request.body:
            body = request_id + b" " + request.body
        if behaviour.answers_to_truncate > 0:
            behaviour.answers_to_truncate -= 1
            await _send_truncated_answer(send, headers, body)
            return
        await asgi.send_response(send, status, headers, body)


class _CancelledError(Exception):
    """The caller disconnected or the deadline of the request passed."""


async def _send_truncated_answer(
    send: asgi.Send, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Announce the whole body, send half of it and drop the connection."""
    length = (b"content-length", b"%d" % len(body))
    start = {
        "type": "http.response.start",
        "status": 200,
        "headers": [*headers, length],
    }
    await send(start)
    half = body[: len(body) // 2]
    await send({"type": "http.response.body", "body": half, "more_body": True})
    raise ConnectionAbortedError("response truncated by a simulated fault")
