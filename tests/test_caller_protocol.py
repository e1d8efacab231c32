"""Requests that are read on a connection before it closes are answered."""

import asyncio

import pytest
import uvloop

from chicorydoor.transport import caller_protocol
from chicorydoor.transport import http_server

_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
_GARBAGE = b"\x00\x01\r\n\r\n"
_LARGE_HEADERS = _REQUEST[:-2] + b"b: " + b"x" * 4000
_BROKEN_CHUNK = (
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"
)
_LIMITS = caller_protocol.ConnectionLimits(
    header_bytes=2000, header_timeout_s=0.3
)
_OK = b"HTTP/1.1 200 "


class _App:
    """Answers after 0.2 s; counts requests whose body was read."""

    def __init__(self):
        self.read_count = 0

    async def __call__(self, scope, receive, send):
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                return
            if not event.get("more_body", False):
                break
        self.read_count += 1
        await asyncio.sleep(0.2)
        headers = [(b"content-length", b"2")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b"ok"})


class _Exchange:
    """Sends data on one connection and keeps what the server sends."""

    def __init__(self, limits=_LIMITS):
        self.app = _App()
        self.server = http_server.HttpServer(
            self.app, "127.0.0.1", 0, limits=lambda: limits
        )

    async def run(self, *pieces, during=None):
        """Return what arrives within two seconds, until the connection ends.

        Args:
            pieces (bytes): Sent 0.1 s apart.
            during (callable): Called with the server 0.1 s after the last
                piece. Defaults to None.
        """
        await self.server.start()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.1)
        stopping = asyncio.create_task(
            during(self.server) if during else _no()
        )
        received = b""
        try:
            async with asyncio.timeout(2.0):
                while data := await reader.read(4096):
                    received += data
        except TimeoutError:
            pass
        await stopping
        writer.close()
        await self.server.stop()
        return received


async def _no():
    pass


def _exchange(*pieces, during=None):
    async def scenario():
        return await _Exchange().run(*pieces, during=during)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(scenario())


def _statuses(received):
    return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]


class TestRequestsBeforeARefusedOne:
    # Guards against requests that were running when a later one on the same
    # connection could not be read: closed without an answer, or answered with
    # the refusal of the later one.
    @pytest.mark.parametrize(
        ("refused", "status"),
        [
            (_GARBAGE, 400),
            (_BROKEN_CHUNK, 400),
            (_LARGE_HEADERS, 431),
            (_REQUEST[:20], 408),
        ],
        ids=["garbage", "broken-chunk", "large-headers", "late-headers"],
    )
    @pytest.mark.parametrize("is_one_read", [True, False])
    def test_they_are_answered_first(self, refused, status, is_one_read):
        pieces = [_REQUEST, refused]
        if is_one_read:
            # The size of headers counts from the next read.
            rest = b"x" * 4000 if refused is _LARGE_HEADERS else b""
            pieces = [b"".join(pieces), rest]
        assert _statuses(_exchange(*pieces)) == [200, status]

    def test_two_requests_are_answered_before_it(self):
        received = _exchange(_REQUEST * 2 + _GARBAGE)
        assert _statuses(received) == [200, 200, 400]

    def test_only_a_refused_request_is_refused_at_once(self):
        assert _statuses(_exchange(_GARBAGE)) == [400]
        assert _statuses(_exchange(_BROKEN_CHUNK)) == [400]


class TestUpgradeOffers:
    _OFFER = (
        b"/ HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: h2c\r\n"
    )

    # Guards against an order that runs without its body: the parser takes what
    # follows the headers of such a request for another protocol.
    @pytest.mark.parametrize(
        "rest",
        [
            b"content-length: 3\r\n\r\nabc",
            b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        ],
    )
    def test_request_with_a_body_is_refused_as_not_run(self, rest):
        exchange = _Exchange()
        received = asyncio.run(exchange.run(b"POST " + self._OFFER + rest))
        assert received.startswith(b"HTTP/1.1 400 ")
        assert b"x-chicorydoor-outcome: not-run" in received
        assert exchange.app.read_count == 0

    def test_request_without_a_body_is_answered(self):
        exchange = _Exchange()
        received = asyncio.run(
            exchange.run(b"GET " + self._OFFER + b"\r\n", _REQUEST)
        )
        assert received.count(_OK) == 2


class TestHeaderSize:
    # Guards against a body, or other requests, that count towards the size of
    # the headers that begin in the same read.
    def test_data_before_the_headers_does_not_count(self):
        body = b"x" * 20_000
        order = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 20000\r\n\r\n"
        received = _exchange(order + body + _REQUEST[:20], _REQUEST[20:])
        assert _statuses(received) == [200, 200]

    def test_headers_over_several_reads_count(self):
        pieces = [_REQUEST[:-2] + b"b: " + b"x" * 1500, b"x" * 1500]
        assert _statuses(_exchange(*pieces)) == [431]

    def test_headers_after_another_request_count_from_the_next_read(self):
        pieces = [_REQUEST + _REQUEST[:-2] + b"b: x", b"x" * 3000]
        assert _statuses(_exchange(*pieces)) == [200, 431]


class TestStop:
    @staticmethod
    async def _stop(server):
        await server.stop(1.5)

    # Guards against a stop that closes a connection after the response to one
    # of several requests that were read on it.
    def test_all_requests_that_were_read_are_answered(self):
        received = _exchange(_REQUEST * 4, during=self._stop)
        assert _statuses(received) == [200] * 4
        assert received.count(b"connection: close") == 1

    # Guards against a stop that closes a connection while the headers of a
    # request are read.
    def test_request_that_was_read_in_part_is_answered(self):
        async def scenario():
            exchange = _Exchange(caller_protocol.ConnectionLimits())
            await exchange.server.start()
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", exchange.server.port
            )
            writer.write(_REQUEST[:10])
            await asyncio.sleep(0.05)
            stopping = asyncio.create_task(exchange.server.stop(1.0))
            # By then idle connections were closed.
            await asyncio.sleep(0.6)
            writer.write(_REQUEST[10:])
            async with asyncio.timeout(1.0):
                received = await reader.read()
            assert _statuses(received) == [200]
            assert b"connection: close" in received
            writer.close()
            await stopping

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(scenario())

    def test_request_read_during_the_stop_is_answered(self):
        async def scenario():
            exchange = _Exchange()
            await exchange.server.start()
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", exchange.server.port
            )
            writer.write(_REQUEST * 3)
            await asyncio.sleep(0.05)
            stopping = asyncio.create_task(exchange.server.stop(1.0))
            await asyncio.sleep(0.5)
            writer.write(_REQUEST)
            async with asyncio.timeout(2.0):
                received = await reader.read()
            assert _statuses(received) == [200] * 4
            writer.close()
            await stopping

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(scenario())

    def test_idle_connection_is_closed(self):
        received = _exchange(_REQUEST, b"", b"", b"", during=self._stop)
        assert _statuses(received) == [200]
