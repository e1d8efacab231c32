"""Requests that are read on a connection before it closes are answered."""

import asyncio

import pytest
import uvloop

from chicorydoor.transport import asgi
from chicorydoor.transport import caller_protocol
from chicorydoor.transport import http_server

_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
_GARBAGE = b"\x00\x01\r\n\r\n"
_LARGE_HEADERS = _REQUEST[:-2] + b"b: " + b"x" * 4000
_BROKEN_CHUNK = (
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"
)
_CHUNKED = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
_LIMITS = caller_protocol.ConnectionLimits(
    header_bytes=2000, header_timeout_s=0.3
)
_OK = b"HTTP/1.1 200 "


class _App:
    """Answers after 0.2 s; keeps the headers of requests that were read."""

    def __init__(self):
        self.received_headers = []

    async def __call__(self, scope, receive, send):
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                return
            if not event.get("more_body", False):
                break
        self.received_headers.append(scope["headers"])
        await asyncio.sleep(0.2)
        headers = [(b"content-length", b"2")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b"ok"})


class _Exchange:
    """Sends data on one connection and keeps what the server sends."""

    def __init__(self, limits=_LIMITS, app=None, **server):
        self.app = app or _App()
        self.server = http_server.HttpServer(
            self.app, "127.0.0.1", 0, limits=lambda: limits, **server
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


def _exchange(*pieces, during=None, **server):
    async def scenario():
        return await _Exchange(**server).run(*pieces, during=during)

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

    def test_url_that_cannot_be_read_is_refused(self):
        broken = b"POST /\xff HTTP/1.1\r\ncontent-length: 9\r\n\r\n"
        assert _statuses(_exchange(_REQUEST + broken)) == [200, 400]

    def test_only_a_refused_request_is_refused_at_once(self):
        assert _statuses(_exchange(_GARBAGE)) == [400]
        assert _statuses(_exchange(_BROKEN_CHUNK)) == [400]


class TestHeaderSize:
    # Guards against a body, or other requests, that count towards the size of
    # the headers that begin in the same read.
    def test_data_before_the_headers_does_not_count(self):
        body = b"x" * 20_000
        order = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 20000\r\n\r\n"
        received = _exchange(order + body + _REQUEST[:20], _REQUEST[20:])
        assert _statuses(received) == [200, 200]

    # Guards against a limit that holds only for headers in several reads.
    @pytest.mark.parametrize("is_one_read", [True, False])
    @pytest.mark.parametrize(("excess_bytes", "status"), [(0, 200), (1, 431)])
    def test_limit_is_exact(self, excess_bytes, status, is_one_read):
        head = _REQUEST[:-2] + b"b: "
        filler = _LIMITS.header_bytes - len(head) - 2 + excess_bytes
        head += b"x" * filler + b"\r\n"
        pieces = [head[:50], head[50:] + b"\r\n"]
        if is_one_read:
            pieces = [b"".join(pieces)]
        assert _statuses(_exchange(*pieces)) == [status]

    def test_headers_over_several_reads_count(self):
        pieces = [_REQUEST[:-2] + b"b: " + b"x" * 1500, b"x" * 1500]
        assert _statuses(_exchange(*pieces)) == [431]

    def test_headers_after_another_request_count_from_the_next_read(self):
        pieces = [_REQUEST + _REQUEST[:-2] + b"b: x", b"x" * 3000]
        assert _statuses(_exchange(*pieces)) == [200, 431]


class TestTrailers:
    # Guards against trailers that are passed on as headers, such as a second
    # request id, by which the target's response was taken for another one's.
    @pytest.mark.parametrize("is_one_read", [True, False])
    def test_they_do_not_join_the_headers(self, is_one_read):
        head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n"
        pieces = [head + b"\r\n", b"1\r\nx\r\n0\r\nrequest-id: z\r\n\r\n"]
        if is_one_read:
            pieces = [b"".join(pieces)]

        async def scenario():
            exchange = _Exchange()
            received = await exchange.run(*pieces, _REQUEST)
            assert _statuses(received) == [200, 200]
            names = [
                [name for name, _ in headers]
                for headers in exchange.app.received_headers
            ]
            assert names == [[b"host", b"transfer-encoding"], [b"host"]]

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(scenario())

    # Guards against trailers, or framing, that are read without a limit.
    @pytest.mark.parametrize("body", [b"1\r\nx\r\n", b""])
    @pytest.mark.parametrize(
        "endless",
        [b"0\r\n" + b"t: xxx\r\n" * 1500, b"1;" + b"a" * 9000, b"0" * 9000],
        ids=["trailers", "extension", "size"],
    )
    def test_request_above_the_limit_is_refused(self, body, endless):
        received = _exchange(_REQUEST + _CHUNKED + body + endless)
        assert _statuses(received) == [200, 431]
        assert received.count(b"x-chicorydoor-outcome: not-run") == 1

    def test_many_extensions_beside_a_short_body_are_refused(self):
        chunks = (b"1;" + b"a" * 500 + b"\r\nx\r\n") * 20
        assert _statuses(_exchange(_CHUNKED + chunks)) == [431]

    # Guards against a limit that callers within the configured ones meet.
    @pytest.mark.parametrize("is_one_read", [True, False])
    def test_request_within_the_limits_is_served(self, is_one_read):
        chunks = b"00000001\r\nx\r\n" * 20_000
        trailers = b"t: " + b"x" * (_LIMITS.header_bytes - 5) + b"\r\n"
        end = b"0\r\n" + trailers + b"\r\n"
        pieces = [_CHUNKED, chunks, end]
        if is_one_read:
            pieces = [b"".join(pieces)]
        assert _statuses(_exchange(*pieces, _REQUEST)) == [200, 200]

    # Guards against a second response to a request, which its caller takes
    # for that to the next one.
    @pytest.mark.parametrize("rest", [b"t: xxx\r\n" * 1500, b"\x00\r\n\r\n"])
    def test_no_second_response_after_the_first(self, rest):
        async def app(scope, receive, send):
            await asgi.send_response(send, 200, [], b"early")

        head = _CHUNKED + b"1\r\nx\r\n0\r\n"
        received = _exchange(head, rest, app=app)
        assert _statuses(received) == [200]

    # Guards against "not-run" for a request whose beginning was passed on.
    @pytest.mark.parametrize(
        ("streams_bodies", "outcome"),
        [(True, b"unknown"), (False, b"not-run")],
    )
    def test_outcome_of_a_request_that_was_begun(
        self, streams_bodies, outcome
    ):
        received = _exchange(
            _CHUNKED + b"1\r\nx\r\n",
            b"0\r\n" + b"t: xxx\r\n" * 1500,
            streams_bodies=streams_bodies,
        )
        assert _statuses(received) == [431]
        assert b"x-chicorydoor-outcome: " + outcome in received


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


class _BodyApp:
    """Answers with the size of the body; keeps the bodies."""

    def __init__(self):
        self.bodies = []

    async def __call__(self, scope, receive, send):
        body = b""
        while True:
            event = await receive()
            body += event.get("body", b"")
            if not event.get("more_body", False):
                break
        self.bodies.append(body)
        await asgi.send_response(send, 200, [], b"%d" % len(body))


_UPGRADE = (
    b"host: a\r\nconnection: Upgrade, HTTP2-Settings\r\n"
    b"upgrade: %s\r\nhttp2-settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n"
)
_INNER_REQUEST = (
    b"POST /inner HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"
)


class TestUpgradeOffers:
    def _send(self, *pieces):
        async def run():
            app = _BodyApp()
            server = http_server.HttpServer(app, "127.0.0.1", 0)
            await server.start()
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", server.port
            )
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.1)
            writer.write_eof()
            async with asyncio.timeout(2.0):
                response = await reader.read()
            writer.close()
            await server.stop()
            return app.bodies, response.count(_OK)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run())

    # Guards against orders that run with an empty body, and against bodies
    # that are taken for requests, when a caller offers an upgrade.
    @pytest.mark.parametrize("protocol", [b"h2c", b"websocket"])
    @pytest.mark.parametrize("piece_count", [1, 2])
    def test_body_is_read_whole(self, protocol, piece_count):
        head = b"POST /a HTTP/1.1\r\n" + _UPGRADE % protocol
        head += b"content-length: %d\r\n\r\n" % len(_INNER_REQUEST)
        pieces = [head, _INNER_REQUEST]
        if piece_count == 1:
            pieces = [b"".join(pieces)]
        assert self._send(*pieces, _REQUEST) == ([_INNER_REQUEST, b""], 2)

    def test_chunked_body_is_read_whole(self):
        head = b"POST /a HTTP/1.1\r\n" + _UPGRADE % b"h2c"
        head += b"transfer-encoding: chunked\r\n\r\n"
        pieces = [head + b"3\r\nab", b"c\r\n2\r\nde\r\n", b"0\r\n\r\n"]
        assert self._send(*pieces, _REQUEST) == ([b"abcde", b""], 2)

    def test_requests_that_follow_at_once_are_read(self):
        head = b"GET /a HTTP/1.1\r\n" + _UPGRADE % b"h2c" + b"\r\n"
        assert self._send(head + _REQUEST + head) == ([b""] * 3, 3)
