"""The HTTP server under load and at its stop."""

import asyncio
import errno
import fcntl
import gc
import os
import resource
import select
import socket
import time

import pytest
import uvloop

from chicorydoor.transport import http_server
from chicorydoor.transport import tcp_listener

_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


async def _answer(scope, receive, send):
    headers = [(b"content-length", b"2")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b"ok"})


class _Callers:
    """Connects and sends a request in each turn of a busy event loop.

    So at any moment a connection waits in the backlog whose request was sent.
    """

    def __init__(self, port):
        self._address = ("127.0.0.1", port)
        self._loop = asyncio.get_running_loop()
        self.connections = []
        self.is_refused = asyncio.Event()
        self._loop.call_soon(self._connect)

    def _connect(self):
        try:
            connection = socket.create_connection(self._address, 1.0)
        except ConnectionRefusedError:
            self.is_refused.set()
            return
        connection.sendall(_REQUEST)
        self.connections.append(connection)
        time.sleep(0.002)
        self._loop.call_soon(self._connect)

    def read_answers(self):
        """Return the first bytes of each answer; empty without one."""
        answers = []
        for connection in self.connections:
            try:
                answers.append(connection.recv(12))
            except ConnectionError:
                answers.append(b"")
            connection.close()
        return answers


class TestPlannedStop:
    # Guards against requests that were reset without an answer because their
    # connections waited in the backlog when a stop closed the ports.
    def test_requests_sent_before_the_ports_close_are_answered(self):
        async def scenario():
            server = http_server.HttpServer(_answer, "127.0.0.1", 0)
            await server.start()
            callers = _Callers(server.port)
            await asyncio.sleep(0.1)
            await server.stop(2.0)
            await callers.is_refused.wait()
            answers = callers.read_answers()
            assert len(answers) > 10
            assert [each for each in answers if each != b"HTTP/1.1 200"] == []

        asyncio.run(scenario())

    # Guards against a stop that never ends because callers connect faster
    # than the handshake of the last one is waited for.
    def test_callers_that_keep_connecting_do_not_delay_it(self, monkeypatch):
        async def scenario():
            server = http_server.HttpServer(_answer, "127.0.0.1", 0)
            await server.start()
            polls = []

            class _ReadablePoll:
                def register(self, listener, *_):
                    self._listener = listener

                def poll(self, *_):
                    polls.append(self._listener)
                    assert len(polls) < 5000
                    return [(self._listener.fileno(), select.POLLIN)]

            def accept(listener):
                raise BlockingIOError

            with monkeypatch.context() as patch:
                patch.setattr(socket.socket, "accept", accept)
                patch.setattr(tcp_listener.select, "poll", _ReadablePoll)
                await server.stop()
            assert polls

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(scenario())

    # Guards against a stop that fails in an entry with many descriptors: a
    # port that is bound late may have a number of 1024 or more.
    def test_port_with_a_large_descriptor_is_closed(self, monkeypatch):
        bind = tcp_listener.bind_tcp_socket

        def bind_to_large_descriptor(address, port):
            with bind(address, port) as listener:
                number = fcntl.fcntl(listener, fcntl.F_DUPFD, 1100)
            return socket.socket(fileno=number)

        monkeypatch.setattr(
            tcp_listener, "bind_tcp_socket", bind_to_large_descriptor
        )

        async def scenario():
            server = http_server.HttpServer(_answer, "127.0.0.1", 0)
            await server.start()
            connection = socket.create_connection(
                ("127.0.0.1", server.port), 1.0
            )
            connection.sendall(_REQUEST)
            await server.stop(1.0)
            assert connection.recv(12) == b"HTTP/1.1 200"
            connection.close()

        asyncio.run(scenario())

    # Guards against a stop that outlasts the time that its entry has: the
    # entry was killed before it had withdrawn its registration.
    def test_running_request_is_aborted_0_2_s_after_the_grace_period(self):
        async def answer_never(scope, receive, send):
            await asyncio.Event().wait()

        async def scenario():
            server = http_server.HttpServer(answer_never, "127.0.0.1", 0)
            await server.start()
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(_REQUEST)
            await asyncio.sleep(0.05)
            started_at = time.monotonic()
            await server.stop(0.6)
            # uvicorn looks for the end of its stop every 0.1 s.
            assert 0.8 <= time.monotonic() - started_at < 1.0
            writer.close()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(scenario())

    def test_server_can_be_stopped_twice(self):
        async def scenario():
            server = http_server.HttpServer(_answer, "127.0.0.1", 0)
            await server.start()
            await server.stop(1.0)
            await server.stop()

        asyncio.run(scenario())


_LOOP_FACTORIES = [asyncio.new_event_loop, uvloop.new_event_loop]


def _fill_descriptor_gaps():
    """Open descriptors until the next ones are consecutive; returns them."""
    highest = max(int(name) for name in os.listdir("/proc/self/fd"))
    opened = [os.dup(0)]
    while opened[-1] < highest:
        opened.append(os.dup(0))
    return opened


class TestBusyEventLoop:
    # Guards against callers on new connections each waiting for another turn
    # of a busy event loop: a crowd of retries that is answered too late.
    @pytest.mark.parametrize("loop_factory", _LOOP_FACTORIES)
    def test_callers_that_connect_at_once_are_answered_together(
        self, loop_factory
    ):
        async def scenario():
            server = http_server.HttpServer(_answer, "127.0.0.1", 0)
            await server.start()
            connections = []
            for _ in range(100):
                connection = socket.create_connection(
                    ("127.0.0.1", server.port), 1.0
                )
                connection.sendall(_REQUEST)
                connections.append(connection)
            # A turn of the event loop each, which may be long.
            for _ in range(20):
                await asyncio.sleep(0)
            for connection in connections:
                connection.setblocking(False)
                assert connection.recv(12) == b"HTTP/1.1 200"
                connection.close()
            await server.stop()

        with asyncio.Runner(loop_factory=loop_factory) as runner:
            runner.run(scenario())

    # Guards against callers whose connections use up all descriptors, so that
    # none can be opened to targets: all requests were refused.
    def test_connections_leave_a_quarter_of_the_descriptors(self, monkeypatch):
        def connect(port):
            connection = socket.create_connection(("127.0.0.1", port), 1.0)
            connection.sendall(_REQUEST)
            return connection

        def count_answered(connections):
            count = 0
            for connection in connections:
                connection.setblocking(False)
                try:
                    count += connection.recv(12) == b"HTTP/1.1 200"
                except BlockingIOError:
                    pass
            return count

        async def scenario():
            # What earlier tests left must not free descriptors meanwhile.
            gc.collect()
            gaps = _fill_descriptor_gaps()
            server = http_server.HttpServer(_answer, "127.0.0.1", 0)
            await server.start()
            connections = [connect(server.port) for _ in range(30)]
            lowest_free = os.dup(0)
            os.close(lowest_free)
            limit = (lowest_free + 10) * 4 / 3
            with monkeypatch.context() as patch:
                patch.setattr(resource, "getrlimit", lambda _: (limit, limit))
                await asyncio.sleep(0.3)
                assert count_answered(connections) == 10
                for connection in connections[:15]:
                    connection.close()
                await asyncio.sleep(0.5)
                assert count_answered(connections[15:]) == 15
            for connection in connections:
                connection.close()
            await server.stop()
            for descriptor in gaps:
                os.close(descriptor)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(scenario())

    # Guards against a port that stays closed after all descriptors were in
    # use, or keeps the event loop busy until one is free.
    def test_callers_are_accepted_when_descriptors_are_free_again(
        self, monkeypatch
    ):
        async def scenario():
            server = http_server.HttpServer(_answer, "127.0.0.1", 0)
            await server.start()
            attempts = []

            def accept(listener):
                attempts.append(listener)
                raise OSError(errno.EMFILE, "Too many open files")

            with monkeypatch.context() as patch:
                patch.setattr(socket.socket, "accept", accept)
                connection = socket.create_connection(
                    ("127.0.0.1", server.port), 1.0
                )
                connection.sendall(_REQUEST)
                await asyncio.sleep(0.5)
                assert 2 <= len(attempts) <= 10
            await asyncio.sleep(0.3)
            connection.setblocking(False)
            assert connection.recv(12) == b"HTTP/1.1 200"
            connection.close()
            await server.stop()

        asyncio.run(scenario())
