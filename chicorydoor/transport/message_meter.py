"""Divides what is read on a connection into pieces, and counts its bytes.

httptools collects a header or trailer until it ends, reads chunk framing of
any length, and tells nothing of where in the data a message ends. Pieces that
end where a message may end let a server count exactly, and stop before the
next message.
"""

import enum
import re

# Ends a head, and a chunked body with or without trailers.
_TERMINATOR = b"\r\n\r\n"
_OVERLAP_BYTES = len(_TERMINATOR) - 1
# Bounds how much of a body without a length is parsed before it is counted.
_MAX_CHUNKED_PIECE_BYTES = 16 * 1024
# A chunk's size and its line ends, beside an extension or the trailers.
FRAMING_SLACK_BYTES = 4 * 1024
# A chunk of a single byte comes with five bytes of framing; some writers pad
# the size to eight digits or more.
MAX_FRAMING_PER_BODY_BYTE = 16


# Enough of a chunk's first line to hold its size.
_MAX_SIZE_BYTES = 32
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]+")


class Excess(enum.Enum):
    """What a message has too much of."""

    HEAD = enum.auto()
    FRAMING = enum.auto()


class _Chunks:
    """Follows the chunks of a body up to the last, empty one.

    What looks like the end of a message within a chunk's data is none.

    Attributes:
        is_last (bool): Whether the first line of the last chunk has been
            passed; trailers and the end of the message follow.
    """

    def __init__(self) -> None:
        self.is_last = False
        # Bytes of the current chunk that are still to come, with the line end
        # behind them.
        self._bytes_left = 0
        # Beginning of a chunk's first line that has not ended.
        self._line = b""

    def find_last(self, data: bytes, start: int, stop: int) -> int:
        """Return the end of the last chunk's first line, or ``stop``.

        Called again with what follows.

        Args:
            data (bytes): Data that was read.
            start (int): Where what was not passed yet begins.
            stop (int): Where to stop at the latest.
        """
        position = start
        while True:
            passed = min(self._bytes_left, stop - position)
            self._bytes_left -= passed
            position += passed
            line_end = data.find(b"\n", position, stop) + 1
            end = line_end or stop
            room = _MAX_SIZE_BYTES - len(self._line)
            self._line += data[position : min(end, position + room)]
            if not line_end:
                return stop
            size = _CHUNK_SIZE.match(self._line)
            self._line = b""
            # The parser refuses a line without a size.
            if size is None or not int(size[0], 16):
                self.is_last = True
                return line_end
            self._bytes_left = int(size[0], 16) + len(b"\r\n")
            position = line_end


class MessageMeter:
    """Counts the bytes of the message that is being read.

    The owner feeds pieces that end at ``next_end`` to its parser and passes
    on what the parser tells; then it calls ``count``.

    Attributes:
        head_bytes (int): Bytes of the head that is being read, 0 once it has
            ended.
        framing_run (int): Bytes read since the last byte of the body: chunk
            framing, or trailers.
        piece_bytes (int): Bytes of the piece that is being parsed, set by the
            owner.
        reads_body (bool): Whether a body or its trailers are being read.
    """

    def __init__(self) -> None:
        self.head_bytes = 0
        self.framing_run = 0
        self.piece_bytes = 0
        self.reads_body = False
        # None for a chunked body.
        self._body_bytes_left: int | None = 0
        self._body_bytes = 0
        self._framing_bytes = 0
        self._piece_body_bytes = 0
        self._has_head_ended = False
        self._last_bytes = b""
        self._chunks = _Chunks()

    def next_end(self, data: bytes, start: int, max_head_bytes: int) -> int:
        """Return where the next piece ends.

        Args:
            data (bytes): Data that was read.
            start (int): Where the piece begins.
            max_head_bytes (int): Maximum size of a head.
        """
        if self.reads_body and self._body_bytes_left:
            return min(len(data), start + self._body_bytes_left)
        if self.reads_body and not self._chunks.is_last:
            stop = min(len(data), start + _MAX_CHUNKED_PIECE_BYTES)
            return self._chunks.find_last(data, start, stop)
        size = _MAX_CHUNKED_PIECE_BYTES
        if not self.reads_body:
            size = max(1, max_head_bytes - self.head_bytes)
        stop = min(len(data), start + size)
        # A terminator may begin in the piece before.
        overlap = self._last_bytes + data[start : start + _OVERLAP_BYTES]
        position = overlap.find(_TERMINATOR)
        if position >= 0:
            end = position + len(_TERMINATOR) - len(self._last_bytes)
            return min(start + end, stop)
        position = data.find(_TERMINATOR, start, stop)
        return stop if position < 0 else position + len(_TERMINATOR)

    def end_head(self, content_length: int | None) -> None:
        """Record the end of a head.

        Args:
            content_length (int): Length of the body; None if it is chunked.
        """
        self._has_head_ended = True
        self.reads_body = True
        self._body_bytes_left = content_length
        self._body_bytes = self._framing_bytes = self.framing_run = 0
        self._chunks = _Chunks()

    def add_body(self, size: int) -> None:
        """Record bytes of the body."""
        self._piece_body_bytes += size
        if self._body_bytes_left is not None:
            self._body_bytes_left -= size

    def end_message(self) -> None:
        """Record the end of the message."""
        self.reads_body = False

    def count(
        self, piece: bytes, was_body: bool, max_head_bytes: int
    ) -> Excess | None:
        """Count a piece that was parsed.

        Args:
            piece (bytes): The piece.
            was_body (bool): Value of ``reads_body`` before it was parsed.
            max_head_bytes (int): Maximum size of a head, and of trailers.

        Returns:
            What the message has too much of; None if nothing.
        """
        self._last_bytes = (self._last_bytes + piece[-_OVERLAP_BYTES:])[
            -_OVERLAP_BYTES:
        ]
        self.piece_bytes = 0
        body_bytes, self._piece_body_bytes = self._piece_body_bytes, 0
        if was_body:
            return self._count_body(len(piece), body_bytes, max_head_bytes)
        self.head_bytes += len(piece)
        if self._has_head_ended:
            self._has_head_ended = False
            self.head_bytes = 0
            return None
        # A head that has not ended here needs more.
        is_excess = self.head_bytes >= max_head_bytes
        return Excess.HEAD if is_excess else None

    def _count_body(
        self, size: int, body_bytes: int, max_head_bytes: int
    ) -> Excess | None:
        self._body_bytes += body_bytes
        self._framing_bytes += size - body_bytes
        # What follows the last byte of the body in the piece is not known.
        self.framing_run = 0 if body_bytes else self.framing_run + size
        max_run = max_head_bytes + FRAMING_SLACK_BYTES
        if not self.reads_body:
            self.framing_run = 0
            return None
        if (
            self.framing_run > max_run
            or self._framing_bytes
            > max_run + MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        ):
            return Excess.FRAMING
        return None
