"""Messages of peers are received within bounds."""

import asyncio
import contextlib
import resource

import pytest

from chicorydoor.transport import peer_listener

_MAX_MESSAGE_BYTES = 64 * 1024
_CAPACITY = 2 * _MAX_MESSAGE_BYTES
_GREETING = b"\0SP\0\0\x50\0\0"


def _frame(message):
    return len(message).to_bytes(8, "big") + message


class _Receiver:
    """A listener, with the connections that a test opens to it."""

    def __init__(self):
        self.messages = []
        self._listener = peer_listener.PeerListener(
            _MAX_MESSAGE_BYTES, 0, self.messages.append
        )
        self._address = self._listener.listen("127.0.0.1:0")
        self._writers = []

    async def connect(self, data=b"", greeting=_GREETING):
        host, _, port = self._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self._writers.append(writer)
        # It has been accepted once it is greeted.
        assert len(await reader.readexactly(8)) == 8
        writer.write(greeting + data)
        return reader, writer

    async def wait_for(self, condition):
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.005)

    async def close(self):
        for writer in self._writers:
            writer.close()
        await self._listener.close()


def _run(scenario):
    async def run():
        receiver = _Receiver()
        try:
            async with asyncio.timeout(20.0):
                await scenario(receiver)
        finally:
            await receiver.close()

    asyncio.run(run())


async def _is_closed(reader):
    # It ends with a reset where something was not read.
    with contextlib.suppress(ConnectionResetError):
        return await reader.read(1) == b""
    return True


class TestMessages:
    @pytest.mark.parametrize("piece_bytes", [1, 7, 9, 100_000])
    def test_they_are_put_together_from_any_pieces(self, piece_bytes):
        async def scenario(receiver):
            sent = [b"first", b"", b"x" * 50]
            data = b"".join(map(_frame, sent))
            _, writer = await receiver.connect()
            for start in range(0, len(data), piece_bytes):
                writer.write(data[start : start + piece_bytes])
                await writer.drain()
                await asyncio.sleep(0.001)
            await receiver.wait_for(lambda: len(receiver.messages) == 3)
            assert receiver.messages == sent

        _run(scenario)

    @pytest.mark.parametrize(
        "data",
        [_frame(b"x" * (_MAX_MESSAGE_BYTES + 1)), b"\xff" * 8],
    )
    def test_one_that_is_too_long_ends_its_connection(self, data):
        async def scenario(receiver):
            reader, _ = await receiver.connect(data)
            assert await _is_closed(reader)
            assert not receiver.messages

        _run(scenario)

    def test_connection_of_another_protocol_is_closed(self):
        async def scenario(receiver):
            reader, _ = await receiver.connect(greeting=b"GET / HTTP/1.1")
            assert await _is_closed(reader)

        _run(scenario)


class TestBounds:
    # Guards against messages that begin on many connections and never end.
    def test_connection_that_holds_most_is_closed(self):
        async def scenario(receiver):
            short = _frame(b"x" * _MAX_MESSAGE_BYTES)[:-1]
            begun = [await receiver.connect(short[:1000])]
            while len(begun) < 6:
                begun.append(await receiver.connect(short))
            closed = [
                asyncio.create_task(_is_closed(reader)) for reader, _ in begun
            ]
            await receiver.wait_for(
                lambda: sum(each.done() for each in closed) >= 4
            )
            await asyncio.sleep(0.05)
            # What the others hold fits.
            assert sum(each.done() for each in closed) == 4
            assert not closed[0].done()
            _, writer = begun[0]
            writer.write(short[1000:] + b"x")
            await receiver.wait_for(lambda: receiver.messages)
            for each in closed:
                each.cancel()

        _run(scenario)

    # Guards against connections that use up the process's descriptors, and
    # against peers that are closed instead of those that send nothing.
    def test_silent_connections_give_way(self, monkeypatch):
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        monkeypatch.setattr(
            peer_listener, "_MAX_CONNECTIONS_SHARE", 8.5 / limit
        )

        async def scenario(receiver):
            _, peer = await receiver.connect(_frame(b"0"))
            await receiver.wait_for(lambda: receiver.messages)
            silent = []
            for number in range(1, 20):
                silent.append(await receiver.connect())
                peer.write(_frame(b"%d" % number))
                await receiver.wait_for(
                    lambda: len(receiver.messages) > number  # noqa: B023
                )
            for reader, _ in silent[:-8]:
                assert await _is_closed(reader)

        _run(scenario)
