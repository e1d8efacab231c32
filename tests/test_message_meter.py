"""What is read on a connection is divided into few pieces."""

import httptools
import pytest

from chicorydoor.transport import message_meter

_MAX_HEAD_BYTES = 4096
_MAX_PIECE_BYTES = 16 * 1024
_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"


class _Connection:
    """Feeds data to a parser in the pieces that a meter finds."""

    def __init__(self):
        self.meter = message_meter.MessageMeter()
        self.piece_count = 0
        self.bodies = []
        self.trailing_bytes = []
        # Whether the piece that is parsed has ended a message.
        self._has_ended = False
        self._parser = httptools.HttpRequestParser(self)

    def on_message_begin(self):
        assert not self._has_ended, "in the piece that ended a message"
        self.bodies.append(b"")

    def on_headers_complete(self):
        self.meter.end_head(None)

    def on_body(self, body):
        self.meter.add_body(len(body))
        self.bodies[-1] += body

    def on_message_complete(self):
        self._has_ended = True
        self.meter.end_message()

    def feed(self, data):
        start = 0
        while start < len(data):
            end = self.meter.next_end(data, start, _MAX_HEAD_BYTES)
            assert end > start
            piece, start = data[start:end], end
            was_body = self.meter.reads_body
            self._has_ended = False
            self._parser.feed_data(piece)
            self.piece_count += 1
            assert self.meter.count(piece, was_body, _MAX_HEAD_BYTES) is None


def _chunked(body, chunk_size, extension=b""):
    chunks = [
        body[start : start + chunk_size]
        for start in range(0, len(body), chunk_size)
    ]
    return b"".join(
        b"%x%b\r\n%b\r\n" % (len(chunk), extension, chunk) for chunk in chunks
    )


_BODIES = {
    "empty lines": b"\r\n" * 500_000,
    "ends of messages": b"0\r\n\r\n" * 200_000,
    "letters": b"x" * 1_000_000,
}


class TestChunkedBodies:
    # Guards against bodies that are parsed in pieces of a few bytes, which
    # holds up all other connections.
    @pytest.mark.parametrize("name", _BODIES)
    @pytest.mark.parametrize("chunk_size", [5_000, 65_536, 1_000_000])
    def test_they_are_parsed_in_large_pieces(self, name, chunk_size):
        body = _BODIES[name]
        connection = _Connection()
        data = _HEAD + _chunked(body, chunk_size) + b"0\r\n\r\n"
        connection.feed(data)
        assert connection.bodies == [body]
        assert not connection.meter.reads_body
        # Beside the pieces of the largest size: head, last chunk, end.
        assert connection.piece_count <= len(data) // _MAX_PIECE_BYTES + 4

    # Guards against a request that is parsed with the end of the one before.
    @pytest.mark.parametrize("read_bytes", [1, 2, 3, 5, 7, 64, 100_000])
    @pytest.mark.parametrize(
        "end", [b"\r\n", b"x: y\r\n\r\n", b"x: y\r\na:\r\n\r\n"]
    )
    @pytest.mark.parametrize("extension", [b"", b";a=b"])
    def test_pieces_end_with_each_message(self, read_bytes, end, extension):
        connection = _Connection()
        body = b"\r\n\r\n0\r\n\r\nabc"
        chunks = _chunked(body, 4, extension) + b"0%b\r\n" % extension + end
        data = 3 * (_HEAD + chunks)
        for start in range(0, len(data), read_bytes):
            connection.feed(data[start : start + read_bytes])
        assert connection.bodies == [body] * 3
        assert not connection.meter.reads_body
