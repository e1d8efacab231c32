"""The memory of callers' connections is bounded over all of them."""

import asyncio
import contextlib
import socket

import pytest
import uvloop

from chicorydoor.transport import asgi
from chicorydoor.transport import caller_protocol
from chicorydoor.transport import connection_memory
from chicorydoor.transport import http_server

_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
_CLOSING_REQUEST = _REQUEST[:-2] + b"connection: close\r\n\r\n"
_ORDER = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n"
_SHORT_HEADERS = b"a:b\r\n" * 2000


class _Connection:
    def __init__(self, memory, is_droppable=True):
        self._memory = memory
        self._is_droppable = is_droppable
        self.attempts = 0

    def shed(self):
        self.attempts += 1
        if self._is_droppable:
            self._memory.set_size(self, 0)
        return self._is_droppable


class TestConnectionMemory:
    # Guards against ordinary connections that are closed for those that take
    # most of the memory.
    def test_largest_are_closed_first(self):
        memory = connection_memory.ConnectionMemory(10_000)
        sizes = [10, 400, 20, 300, 250, 30]
        connections = [_Connection(memory) for _ in sizes]
        for connection, size in zip(connections, sizes, strict=True):
            memory.set_size(connection, size)
        assert [each.attempts for each in connections] == [0, 1, 0, 0, 0, 0]
        assert memory.used == 610

    # Guards against time spent on looking for memory with every read while
    # none can be had.
    def test_what_cannot_be_closed_is_not_tried_every_time(self):
        memory = connection_memory.ConnectionMemory(10_000)
        connection = _Connection(memory, is_droppable=False)
        for size in range(990, 1060):
            memory.set_size(connection, size)
        assert connection.attempts == 1
        memory.set_size(connection, 1100)
        assert connection.attempts == 2
        memory.set_size(connection, 0)
        assert memory.used == 0

    def test_only_large_requests_need_room(self):
        memory = connection_memory.ConnectionMemory(1_000_000)
        memory.set_size(_Connection(memory), 95_000)
        assert memory.fits(connection_memory.SMALL_REQUEST_BYTES)
        assert not memory.fits(connection_memory.SMALL_REQUEST_BYTES + 1)


class _Server:
    """A server whose requests wait until they are let go."""

    def __init__(self, memory_bytes=0):
        self.memory = connection_memory.ConnectionMemory(memory_bytes)
        self.may_answer = asyncio.Event()
        self.running = self.most_running = 0
        self._server = http_server.HttpServer(
            self._answer, "127.0.0.1", memory=self.memory
        )

    async def _answer(self, scope, receive, send):
        event = await receive()
        while event.get("more_body", False):
            event = await receive()
        if event["type"] == "http.disconnect":
            return
        if scope["path"] != "/ordinary":
            await self.may_answer.wait()
        await asgi.send_response(send, 200, [], scope["path"].encode())

    async def __aenter__(self):
        await self._server.start()
        return self

    async def __aexit__(self, *exception):
        await self._server.stop()

    async def connect(self, data=b""):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self._server.port
        )
        writer.write(data)
        await asyncio.sleep(0.05)
        return reader, writer


def _run(scenario):
    async def limited():
        async with asyncio.timeout(20.0):
            return await scenario()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(limited())


def _statuses(received):
    return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]


class TestPipelinedRequests:
    # Guards against a limit on waiting requests that loses some of them.
    @pytest.mark.parametrize("count", [9, 10, 500])
    def test_all_are_answered_in_order(self, count):
        async def scenario():
            async with _Server() as server:
                requests = [
                    b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % number
                    for number in range(count)
                ]
                reader, writer = await server.connect(b"".join(requests))
                held = server.memory.used
                server.may_answer.set()
                for number in range(count):
                    head = await reader.readuntil(b"\r\n\r\n")
                    assert head.startswith(b"HTTP/1.1 200 ")
                    path = b"/%d" % number
                    assert await reader.readexactly(len(path)) == path
                writer.close()
                return held

        # A few requests, and the bytes of the others.
        assert 0 < _run(scenario) < 60_000 + count * 40

    # Guards against a large body that is read on while its request waits
    # behind another, or is not read on when it has begun.
    def test_large_bodies_behind_others_are_read(self):
        async def scenario():
            async with _Server() as server:
                body = b"x" * 3_000_000
                head = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n"
                order = head % len(body) + body
                reader, writer = await server.connect(_REQUEST + order * 2)
                server.may_answer.set()
                writer.write_eof()
                for _ in range(3):
                    received = await reader.readuntil(b"\r\n\r\n/")
                    assert received.startswith(b"HTTP/1.1 200 ")
                writer.close()

        _run(scenario)


class TestExhaustedMemory:
    MEMORY_BYTES = 10_000_000

    # Guards against a process whose memory is taken by requests that wait.
    def test_requests_that_wait_are_left_unread(self):
        async def scenario():
            async with _Server(self.MEMORY_BYTES) as server:
                crowd = [
                    await server.connect(_REQUEST * 6000) for _ in range(20)
                ]
                assert server.memory.used <= server.memory.capacity
                reader, writer = await server.connect(
                    b"GET /ordinary HTTP/1.1\r\nhost: a\r\n\r\n"
                )
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
                writer.close()
                server.may_answer.set()
                responses = [await crowd[0][0].read()]
                for _, each in crowd:
                    each.close()
                await asyncio.sleep(0.1)
                assert server.memory.used == 0
                return responses

        # The one that ran is answered, and tells that nothing more was read.
        (received,) = _run(scenario)
        assert _statuses(received) == [200]
        assert b"connection: close" in received

    # Guards against heads, and requests that wait for their body, which are
    # within their own limits.
    @pytest.mark.parametrize(
        "data",
        [
            _ORDER + _SHORT_HEADERS,
            _ORDER + _SHORT_HEADERS + b"\r\n1\r\nx\r\n",
        ],
        ids=["head", "body"],
    )
    def test_requests_that_were_not_read_are_refused(self, data):
        async def scenario():
            async with _Server(self.MEMORY_BYTES) as server:
                crowd = [await server.connect(data) for _ in range(5)]
                assert server.memory.used <= server.memory.capacity
                responses = []
                for reader, writer in crowd:
                    received = b""
                    # A connection that was kept has nothing to read.
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(0.1):
                            received = await reader.read()
                    responses.append(received)
                    writer.close()
                return responses

        responses = _run(scenario)
        refused = [each for each in responses if each]
        assert 0 < len(refused) < 5
        for received in refused:
            assert _statuses(received) == [503]
            assert b"x-chicorydoor-outcome: not-run" in received
            assert b"connection: close" in received


class TestResponsesNotTaken:
    IDLE_S = 0.3

    async def _play(self, data, body_bytes, reads):
        """Play a caller that takes its responses slowly or not at all.

        Args:
            data (bytes): What the caller sends.
            body_bytes (int): Size of each response's body.
            reads (bool): Whether it reads, and does so slowly.

        Returns:
            The connections that are left at the end, and the bytes read.
        """

        async def app(scope, receive, send):
            await receive()
            await asgi.send_response(send, 200, [], b"x" * body_bytes)

        memory = connection_memory.ConnectionMemory()
        limits = caller_protocol.ConnectionLimits(idle_timeout_s=self.IDLE_S)
        server = http_server.HttpServer(
            app, "127.0.0.1", limits=lambda: limits, memory=memory
        )
        await server.start()
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", server.port))
        await loop.sock_sendall(caller, data)
        received = 0
        # Without the limit the connection is still open after this time; the
        # tests check what is returned.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(8 * self.IDLE_S):
                while True:
                    await asyncio.sleep(0.02)
                    if reads:
                        piece = await loop.sock_recv(caller, body_bytes // 50)
                        received += len(piece)
                        if not piece:
                            break
                    elif not server.connection_count:
                        break
        count = server.connection_count
        caller.close()
        await server.stop()
        return count, received

    # Guards against memory and a descriptor that a caller holds for ever by
    # not reading: a connection that was closed waits until all is taken.
    @pytest.mark.parametrize(
        "data",
        [_REQUEST, _REQUEST * 50, _CLOSING_REQUEST],
        ids=["one", "pipelined", "closing"],
    )
    def test_connection_is_dropped(self, data):
        async def scenario():
            return await self._play(data, 8_000_000, reads=False)

        assert _run(scenario)[0] == 0

    # Guards against slow callers that are cut off.
    @pytest.mark.parametrize("data", [_REQUEST, _CLOSING_REQUEST])
    def test_slow_caller_is_served_on(self, data):
        async def scenario():
            return await self._play(data, 8_000_000, reads=True)

        count, received = _run(scenario)
        assert count == 1
        # Far less than the kernel's buffer in each idle time.
        assert 0 < received < 4_000_000
