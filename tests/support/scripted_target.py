"""A target on real sockets whose faults a test scripts."""

import asyncio
import enum
import typing

# Three digits outside 100 to 599, a switch of protocols that nobody asked for,
# and what is not three digits.
INVALID_STATUSES = (
    *(b"000", b"099", b"101", b"600", b"999", b"00", b"20", b"2000", b"0200"),
    *(b"+20", b"-20", b"+200", b"2x0", b"abc", b"", b" 200", b"\xb2\xb00"),
)


class TargetBehaviour(enum.Enum):
    """What a target does with a request after it has read it.

    FAIL answers 500, SHED 503 without executing, MISDIRECT 421 as another
    instance, ODD_STATUS 799. RESET aborts the connection, NO_ANSWER answers
    only after 30 s, TRUNCATE ends the body early, UNSEALED lacks the header
    response-seal, and MISMATCHED_FIRST sends the answer to another request
    before the right one.
    ENDLESS_HEAD and ENDLESS_BODY send on until the caller closes.
    """

    SERVE = "serve"
    FAIL = "fail"
    SHED = "shed"
    MISDIRECT = "misdirect"
    ODD_STATUS = "odd-status"
    RESET = "reset"
    TRUNCATE = "cut"
    NO_ANSWER = "silent"
    UNSEALED = "unsealed"
    MISMATCHED_FIRST = "foreign-first"
    ENDLESS_HEAD = "endless-head"
    ENDLESS_BODY = "endless-body"


# Other requests arrive in the meantime and are lost too.
_CRASH_AFTER_S = 0.05


class RawAnswer(typing.NamedTuple):
    """A behaviour that answers with fixed bytes.

    Args:
        start (bytes): Sent first; ``{id}`` stands for the request's id.
        repeated (bytes): Sent again and again until the caller closes; the
            connection stays open if empty. Defaults to empty.
        pause_s (float): Pause after each repetition, in seconds. Defaults to
            0.
    """

    start: bytes
    repeated: bytes = b""
    pause_s: float = 0.0


class ScriptedTarget:
    """Serves HTTP/1.1 and records requests.

    Each request consumes one of ``behaviours``, a ``TargetBehaviour`` or
    ``RawAnswer``; once these are used up, requests are served.
    ``abandoned_requests`` counts requests whose caller disconnected before the
    answer. ``received_headers`` holds the headers of each request by name, and
    its request line under the empty name.
    ``rate_limit`` is the value of the header that names a limit, None for no
    such header. While ``retry_after`` is set, all requests and health checks
    are turned away with it; ``turned_away_at`` has their times.
    ``load`` is the value of the header that names its load.
    ``says_leaving`` adds the header with which a target says that it leaves.
    ``arrived_at`` has the time of each request. ``endless_bytes`` has the
    bytes that each endless answer sent until the caller closed. A request
    whose path contains ``crashes_on`` ends the target shortly after it
    arrived; ``start`` brings it back at its address. ``before_answer`` is
    called before each answer is sent.

    Args:
        name (str): Body of its answers. Defaults to "t".
    """

    def __init__(self, name="t"):
        self.name = name
        self.behaviours = []
        self.received_headers = []
        self.received_bodies = []
        self.connection_count = 0
        self.abandoned_requests = 0
        self.work_s = 0.0
        self.endless_bytes = []
        self.rate_limit = None
        self.load = b"1,0,4"
        self.retry_after = None
        self.turned_away_at = []
        self.says_leaving = False
        self.arrived_at = []
        self.crashes_on = b"/crash"
        self.crash_times = []
        self.crashes_silently = False
        self._silent_writers = set()
        self.on_crash = lambda target: None
        self.before_answer = lambda: None
        self.health_answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        self.address = ""
        self._writers = set()

    async def start(self):
        port = 0 if not self.address else int(self.address.split(":")[1])
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    def crash(self):
        """End as a process does that is killed: all sockets close.

        With ``crashes_silently`` open connections stay, without an answer.
        """
        self.crash_times.append(asyncio.get_running_loop().time())
        self._server.close()
        for writer in list(self._writers):
            if self.crashes_silently:
                writer.transport.pause_reading()
            else:
                writer.transport.abort()
        if self.crashes_silently:
            self._silent_writers |= self._writers
            self._writers = set()
        self.on_crash(self)

    async def stop(self):
        self._server.close()
        for writer in self._writers | self._silent_writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    @property
    def request_ids(self):
        """Request ids in the order of arrival."""
        return [head[b"request-id"].decode() for head in self.received_headers]

    async def _serve(self, reader, writer):
        self.connection_count += 1
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        raw_head = await reader.readuntil(b"\r\n\r\n")
        head_lines = raw_head.split(b"\r\n")
        head = dict(
            line.lower().split(b": ", 1) for line in head_lines[1:] if line
        )
        head[b""] = head_lines[0]
        length = int(head.get(b"content-length", b"0"))
        body = await reader.readexactly(length)
        if self.retry_after is not None:
            self.turned_away_at.append(asyncio.get_running_loop().time())
            writer.write(_ANSWER_WITH_REST % self.retry_after)
            return True
        if head_lines[0].startswith(b"GET /health"):
            if isinstance(self.health_answer, RawAnswer):
                await self._send_raw(self.health_answer, b"", writer)
            else:
                writer.write(self.health_answer)
            return True
        self.arrived_at.append(asyncio.get_running_loop().time())
        self.received_headers.append(head)
        self.received_bodies.append(body)
        if self.crashes_on in head_lines[0]:
            await asyncio.sleep(_CRASH_AFTER_S)
            self.crash()
            if self.crashes_silently:
                await asyncio.Event().wait()
            return False
        behaviour = (
            self.behaviours.pop(0)
            if self.behaviours
            else TargetBehaviour.SERVE
        )
        return await self._perform(behaviour, head, reader, writer)

    async def _perform(self, behaviour, head, reader, writer):
        request_id = head.get(b"request-id", b"")
        if behaviour is TargetBehaviour.RESET:
            writer.transport.abort()
            return False
        if behaviour is TargetBehaviour.NO_ANSWER or self.work_s:
            if await self._wait_for_work(behaviour, reader):
                return False
        if behaviour is TargetBehaviour.TRUNCATE:
            writer.write(_answer(request_id, b"whole")[:-2])
            await writer.drain()
            return False
        raw = _RAW_ANSWER_BY_BEHAVIOUR.get(behaviour, behaviour)
        if isinstance(raw, RawAnswer):
            await self._send_raw(raw, request_id, writer)
            return True
        if behaviour is TargetBehaviour.MISMATCHED_FIRST:
            writer.write(_answer(b"somebody", b"wrong"))
        answer = _ANSWER_BUILDER_BY_BEHAVIOUR.get(behaviour, _answer)(
            request_id, self.name.encode()
        )
        answer = answer.replace(_LOAD_LINE, b"server-load: " + self.load)
        if self.rate_limit is not None:
            answer = _add_header(answer, b"server-limit: " + self.rate_limit)
        if self.says_leaving:
            answer = _add_header(answer, b"server-leaving: 1")
        self.before_answer()
        writer.write(answer)
        await writer.drain()
        return True

    async def _send_raw(self, raw, request_id, writer):
        writer.write(raw.start.replace(b"{id}", request_id))
        if not raw.repeated:
            return
        sent = 0
        try:
            while True:
                writer.write(raw.repeated)
                await writer.drain()
                await asyncio.sleep(raw.pause_s)
                sent += len(raw.repeated)
        finally:
            self.endless_bytes.append(sent)

    async def _wait_for_work(self, behaviour, reader):
        """Wait for the work time; true if the caller disconnects meanwhile."""
        limit_s = (
            30.0 if behaviour is TargetBehaviour.NO_ANSWER else self.work_s
        )
        try:
            async with asyncio.timeout(limit_s):
                await reader.read(1)
        except TimeoutError:
            return False
        self.abandoned_requests += 1
        return True


_LOAD_LINE = b"server-load: 1,0,4"
_ANSWER_WITH_REST = (
    b"HTTP/1.1 503 No\r\nnot-executed: 1\r\nretry-after: %s\r\n"
    b"content-length: 0\r\n\r\n"
)


def _add_header(answer, line):
    status_line, rest = answer.split(b"\r\n", 1)
    return b"\r\n".join((status_line, line, rest))


def _answer(request_id, body, status=b"200 OK", extra_headers=b""):
    head = b"HTTP/1.1 %s\r\nrequest-id: %s\r\nresponse-seal: s\r\n%s"
    head += _LOAD_LINE + b"\r\ncontent-length: %d\r\n\r\n"
    return head % (status, request_id, extra_headers, len(body)) + body


def _answer_500(request_id, body):
    return _answer(request_id, body, b"500 Broken")


def _answer_799(request_id, body):
    return _answer(request_id, body, b"799 Odd")


def _answer_503(request_id, body):
    return b"HTTP/1.1 503 No\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"


def _answer_421(request_id, body):
    return b"HTTP/1.1 421 No\r\ninstance-id: x\r\ncontent-length: 0\r\n\r\n"


def _answer_without_seal(request_id, body):
    answer = _answer(request_id, body)
    return answer.replace(b"response-seal: s\r\n", b"")


_RAW_ANSWER_BY_BEHAVIOUR = {
    TargetBehaviour.ENDLESS_HEAD: RawAnswer(
        b"HTTP/1.1 200 OK\r\nx-long: ", b"x" * 65536
    ),
    TargetBehaviour.ENDLESS_BODY: RawAnswer(
        b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536
    ),
}
_ANSWER_BUILDER_BY_BEHAVIOUR = {
    TargetBehaviour.FAIL: _answer_500,
    TargetBehaviour.SHED: _answer_503,
    TargetBehaviour.MISDIRECT: _answer_421,
    TargetBehaviour.ODD_STATUS: _answer_799,
    TargetBehaviour.UNSEALED: _answer_without_seal,
}
