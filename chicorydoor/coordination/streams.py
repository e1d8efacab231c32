"""Bodies in pieces over peer messages, with a bounded number under way."""

import asyncio
from collections import abc

from chicorydoor import errors
from chicorydoor.protocol import peer_messages as pm

PIECE_BYTES = 32 * 1024
WINDOW_PIECES = 8


class PieceSender:
    """Sends one body; waits while too many pieces are under way.

    Args:
        post (callable): Sends a message to the peer.
        stream (int): Number of the stream.
        to_opener (bool): Whether the peer opened the stream.
    """

    def __init__(
        self,
        post: abc.Callable[[pm.Message], None],
        stream: int,
        to_opener: bool,
    ) -> None:
        self._post = post
        self._stream = stream
        self._to_opener = to_opener
        self._number = 0
        self._consumed = 0
        self._moved = asyncio.Event()

    def credit(self, consumed: int) -> None:
        """The peer has consumed that many pieces in all."""
        self._consumed = max(self._consumed, consumed)
        self._moved.set()

    async def send(self, data: bytes, last: bool) -> None:
        """Send data, cut into pieces.

        Args:
            data (bytes): May be empty.
            last (bool): Whether the body ends here.
        """
        starts = range(0, max(1, len(data)), PIECE_BYTES)
        for start in starts:
            while self._number - self._consumed >= WINDOW_PIECES:
                self._moved.clear()
                await self._moved.wait()
            piece = data[start : start + PIECE_BYTES]
            is_last = last and start + PIECE_BYTES >= len(data)
            self._post(
                pm.ForwardData(
                    self._stream, self._to_opener, self._number, piece, is_last
                )
            )
            self._number += 1


class PieceReceiver:
    """Receives one body; a gap or an abort ends it with an error.

    Args:
        post (callable): Sends a message to the peer.
        stream (int): Number of the stream.
        to_opener (bool): Whether the own side opened the stream.
    """

    def __init__(
        self,
        post: abc.Callable[[pm.Message], None],
        stream: int,
        to_opener: bool,
    ) -> None:
        self._post = post
        self._stream = stream
        self._to_opener = to_opener
        self._expected = 0
        self._queue: asyncio.Queue[pm.ForwardData | None] = asyncio.Queue()

    def put(self, piece: pm.ForwardData) -> None:
        """Take a piece in."""
        if piece.number != self._expected:
            self.abort()
            return
        self._expected += 1
        self._queue.put_nowait(piece)

    def abort(self) -> None:
        """Let the reader fail."""
        self._queue.put_nowait(None)

    async def pieces(self) -> abc.AsyncGenerator[bytes, None]:
        """The body.

        Raises:
            PeerError: If it is not whole.
        """
        consumed = 0
        while True:
            piece = await self._queue.get()
            if piece is None:
                raise errors.PeerError("body cut short")
            consumed += 1
            if consumed % (WINDOW_PIECES // 2) == 0 and not piece.last:
                self._post(
                    pm.ForwardCredit(
                        self._stream, not self._to_opener, consumed
                    )
                )
            if piece.data:
                yield piece.data
            if piece.last:
                return
