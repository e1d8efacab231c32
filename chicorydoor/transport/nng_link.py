"""Moves messages between entries over pynng push and pull sockets.

Each entry has one listening socket; one task and one socket for each peer
send. A message that cannot be sent in time is dropped; the callers above
treat that as a lost message.
"""

import asyncio
import collections
from collections import abc
import contextlib
import logging
import typing

import pynng

_SEND_TIMEOUT_MS = 1000
_QUEUED_MESSAGES = 4096
_SOCKET_BUFFER = 64
_IDLE_LIMIT_S = 60.0

_LOG = logging.getLogger(__name__)


class PeerLink(typing.Protocol):
    """Unreliable delivery of messages to addresses."""

    def send(self, address: str, data: bytes) -> None:
        """Queue a message; it may be lost."""

    async def receive(self) -> bytes:
        """The next message for this entry."""


class _Sender:
    """One peer's socket, queue and task; ends when it has nothing to send.

    Args:
        address (str): ``ip:port`` of the peer.
        on_end (callable): Called at the end.
    """

    def __init__(
        self, address: str, on_end: abc.Callable[[str], None]
    ) -> None:
        self._address = address
        self._on_end = on_end
        self._queue: collections.deque[bytes] = collections.deque(
            maxlen=_QUEUED_MESSAGES
        )
        self._ready = asyncio.Event()
        self._is_closed = False
        self._task = asyncio.create_task(self._run())

    def put(self, data: bytes) -> None:
        self._queue.append(data)
        self._ready.set()

    async def _run(self) -> None:
        socket = pynng.Push0(
            send_timeout=_SEND_TIMEOUT_MS, send_buffer_size=_SOCKET_BUFFER
        )
        try:
            socket.dial(f"tcp://{self._address}", block=False)
            while not self._is_closed:
                async with asyncio.timeout(_IDLE_LIMIT_S):
                    await self._ready.wait()
                self._ready.clear()
                await self._drain(socket)
        except TimeoutError:
            self._on_end(self._address)
        finally:
            socket.close()

    async def _drain(self, socket: pynng.Push0) -> None:
        while self._queue and not self._is_closed:
            data = self._queue.popleft()
            try:
                await socket.asend(data)
            except pynng.exceptions.Timeout:
                self._queue.clear()

    async def close(self) -> None:
        self._is_closed = True
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


class NngLink:
    """A ``PeerLink`` over TCP.

    Args:
        address (str): ``ip:port`` to listen on; port 0 lets the system
            choose.
        message_bytes (int): Largest message that is accepted.
    """

    def __init__(self, address: str, message_bytes: int) -> None:
        self._socket = pynng.Pull0(
            recv_max_size=message_bytes, recv_buffer_size=_SOCKET_BUFFER
        )
        listener = self._socket.listen(f"tcp://{address}")
        self.address = str(listener.local_address).removeprefix("tcp://")
        self._sender_by_address: dict[str, _Sender] = {}
        self._closing: set[asyncio.Task] = set()
        self._received: asyncio.Queue[bytes] = asyncio.Queue()
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        """Take messages off the socket until it is closed.

        A pynng receive that is cancelled just when a message arrives does
        not raise, so callers wait on a queue and never on the socket.
        """
        with contextlib.suppress(pynng.exceptions.Closed):
            while True:
                self._received.put_nowait(await self._socket.arecv())

    def send(self, address: str, data: bytes) -> None:
        """Queue a message for an address."""
        sender = self._sender_by_address.get(address)
        if sender is None:
            sender = _Sender(address, self._end)
            self._sender_by_address[address] = sender
        sender.put(data)

    def _end(self, address: str) -> None:
        """A sender had nothing to send for long; its peer may be gone."""
        self._sender_by_address.pop(address, None)

    def redial(self, address: str) -> None:
        """Open the connection to an address anew; queued messages go."""
        sender = self._sender_by_address.pop(address, None)
        if sender is not None:
            self._closing.add(task := asyncio.create_task(sender.close()))
            task.add_done_callback(self._closing.discard)

    async def receive(self) -> bytes:
        """The next message."""
        return await self._received.get()

    async def close(self) -> None:
        """Close all sockets."""
        await asyncio.gather(*self._closing)
        for sender in self._sender_by_address.values():
            await sender.close()
        self._sender_by_address.clear()
        self._socket.close()
        await self._reader
