"""Streams bodies over peer messages in pieces, with flow control.

The number of pieces that are sent but not yet consumed is bounded.
"""

import asyncio
from collections import abc

from chicorydoor import errors
from chicorydoor.protocol import peer_messages as pm

MAX_PIECE_BYTES = 32 * 1024
MAX_UNACKNOWLEDGED_PIECES = 8


class PieceSender:
    """Sends one body; waits while too many pieces are unacknowledged.

    Args:
        post (callable): Sends a message to the peer without waiting; a lost
            one is not reported.
        stream_id (int): Stream id.
        to_opener (bool): Whether the peer opened the stream.
    """

    def __init__(
        self,
        post: abc.Callable[[pm.Message], None],
        stream_id: int,
        to_opener: bool,
    ) -> None:
        self._post = post
        self._stream_id = stream_id
        self._to_opener = to_opener
        self._next_number = 0
        self._consumed_pieces = 0
        self._window_update_received = asyncio.Event()

    def handle_window_update(self, consumed: int) -> None:
        """Apply a window update.

        Args:
            consumed (int): Total of pieces that the peer has consumed.
        """
        self._consumed_pieces = max(self._consumed_pieces, consumed)
        self._window_update_received.set()

    async def send(self, data: bytes, last: bool) -> None:
        """Send data, split into pieces.

        Args:
            data (bytes): Data to send, may be empty.
            last (bool): Whether the body ends with this data.
        """
        starts = range(0, max(1, len(data)), MAX_PIECE_BYTES)
        for start in starts:
            while (
                self._next_number - self._consumed_pieces
                >= MAX_UNACKNOWLEDGED_PIECES
            ):
                self._window_update_received.clear()
                await self._window_update_received.wait()
            piece = data[start : start + MAX_PIECE_BYTES]
            is_last = last and start + MAX_PIECE_BYTES >= len(data)
            self._post(
                pm.ForwardData(
                    self._stream_id,
                    self._to_opener,
                    self._next_number,
                    piece,
                    is_last,
                )
            )
            self._next_number += 1


class PieceReceiver:
    """Receives one body; a missing piece or an abort makes reading fail.

    Args:
        post (callable): Sends a message to the peer without waiting; a lost
            one is not reported.
        stream_id (int): Stream id.
        to_opener (bool): Whether this entry opened the stream.
    """

    def __init__(
        self,
        post: abc.Callable[[pm.Message], None],
        stream_id: int,
        to_opener: bool,
    ) -> None:
        self._post = post
        self._stream_id = stream_id
        self._to_opener = to_opener
        self._expected_number = 0
        self._piece_queue: asyncio.Queue[pm.ForwardData | None] = (
            asyncio.Queue()
        )

    def handle_piece(self, piece: pm.ForwardData) -> None:
        """Queue a received piece; abort if one is missing before it."""
        if piece.sequence_number != self._expected_number:
            self.abort()
            return
        self._expected_number += 1
        self._piece_queue.put_nowait(piece)

    def abort(self) -> None:
        """Make the reader of the body fail."""
        self._piece_queue.put_nowait(None)

    async def pieces(self) -> abc.AsyncGenerator[bytes, None]:
        """Yield the body and acknowledge consumed pieces.

        Raises:
            PeerError: If the body is incomplete.
        """
        consumed = 0
        while True:
            piece = await self._piece_queue.get()
            if piece is None:
                raise errors.PeerError("body ended before its last piece")
            consumed += 1
            if (
                consumed % (MAX_UNACKNOWLEDGED_PIECES // 2) == 0
                and not piece.is_last
            ):
                self._post(
                    pm.ForwardWindowUpdate(
                        self._stream_id, not self._to_opener, consumed
                    )
                )
            if piece.data:
                yield piece.data
            if piece.is_last:
                return
