"""Responses of targets on the connections of the product's own path."""

import asyncio

import pytest

from chicorydoor import errors
from chicorydoor.transport import streaming_connection
from tests.support import scripted_target


def _exchange(answer, receive):
    """Call ``receive`` with the connection to a target that sends an answer.

    Args:
        answer (RawAnswer): What the target sends.
        receive (callable): Sends the request.
    """

    async def scenario():
        target = await scripted_target.ScriptedTarget().start()
        target.behaviours = [answer]
        connection = streaming_connection.HttpcoreConnection(target.address)
        try:
            async with asyncio.timeout(5.0):
                return await receive(connection)
        finally:
            await connection.close()
            await target.stop()

    return asyncio.run(scenario())


async def _read_answer(connection):
    """Return the length of the body that a target answers with."""
    answer = await connection.send("GET", b"/", [], b"", 1.0)
    length = 0
    async for piece in answer.body_chunks:
        length += len(piece)
    return length


_RawAnswer = scripted_target.RawAnswer


class TestInvalidResponses:
    # Guards against a status that the entry's own server cannot send: it
    # closed the caller's connection without an answer.
    @pytest.mark.parametrize("framing", [b"content-length: 0\r\n", b""])
    @pytest.mark.parametrize("status", scripted_target.INVALID_STATUSES)
    def test_response_with_an_invalid_status_is_rejected(
        self, status, framing
    ):
        async def receive(connection):
            with pytest.raises(errors.TargetError) as caught:
                await connection.send("GET", b"/", [], b"", 1.0)
            assert caught.value.may_have_been_sent
            assert not connection.is_usable()

        head = b"HTTP/1.1 %s Odd\r\n%s\r\n" % (status, framing)
        repeated = b"" if framing else b"x" * 65536
        _exchange(_RawAnswer(head, repeated), receive)


class TestSizeLimits:
    """A target may send bytes that are no answer without end."""

    _START = b"HTTP/1.1 200 OK\r\n"
    _CHUNKED = _START + b"transfer-encoding: chunked\r\n\r\n"

    # Guards against informational responses, trailers and framing that are
    # read until the deadline, however many there are.
    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (_START + b"x-long: ", b"x" * 1000),
            (_START, b"x-many: 1\r\n" * 100),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
            (_CHUNKED + b"4\r\ndone\r\n0\r\n", b"x-late: 1\r\n" * 100),
            (_CHUNKED + b"4;", b"x" * 1000),
            (_CHUNKED, b"1;" + b"x" * 1000 + b"\r\nx\r\n"),
            (_START + b"content-length: ", b"0" * 1000),
            (b"", b"\r\n" * 500),
        ],
        ids=[
            *("head-line", "head-lines", "informational", "trailers"),
            *("chunk-extension", "many-extensions", "digits", "blank-lines"),
        ],
    )
    def test_endless_bytes_outside_a_body_end_the_exchange(
        self, start, repeated
    ):
        async def receive(connection):
            with pytest.raises(errors.TargetError) as caught:
                await _read_answer(connection)
            assert caught.value.may_have_been_sent
            assert not connection.is_usable()

        _exchange(_RawAnswer(start, repeated), receive)

    def test_bodies_of_any_length_are_read(self):
        head = self._START + b"x-long: " + b"x" * 30_000 + b"\r\n"
        head += b"transfer-encoding: chunked\r\n\r\n"
        body = b"1\r\nx\r\n" * 100_000 + b"1000000\r\n" + b"x" * 2**24
        answer = _RawAnswer(head + body + b"\r\n0\r\nx-late: 1\r\n\r\n")
        assert _exchange(answer, _read_answer) == 100_000 + 2**24

    # Guards against a limit that all responses on a connection share.
    def test_each_response_has_the_whole_limit(self):
        answer = _RawAnswer(
            self._START
            + b"x-long: "
            + b"x" * 40_000
            + b"\r\n"
            + b"content-length: 0\r\n\r\n"
        )

        async def scenario():
            target = await scripted_target.ScriptedTarget().start()
            target.behaviours = [answer] * 4
            connection = streaming_connection.HttpcoreConnection(
                target.address
            )
            for _ in range(4):
                response = await connection.send("GET", b"/", [], b"", 1.0)
                assert [piece async for piece in response.body_chunks] == []
                await response.close()
            assert target.connection_count == 1
            await connection.close()
            await target.stop()

        asyncio.run(scenario())
