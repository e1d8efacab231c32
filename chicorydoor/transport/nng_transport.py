"""Transport of peer messages over pynng push and pull sockets.

Each entry has one listening socket, and one sending task and socket per
peer. Delivery is unreliable: if a message cannot be sent in time, it and all
messages queued for that peer are dropped, and the layers above treat them as
lost.
"""

import asyncio
import collections
from collections import abc
import contextlib
import logging
import typing

import pynng

_SEND_TIMEOUT_MS = 1000
_MAX_QUEUED_MESSAGES = 4096
_SOCKET_BUFFER_MESSAGES = 64
_SENDER_IDLE_LIMIT_S = 60.0

_LOG = logging.getLogger(__name__)


class PeerTransport(typing.Protocol):
    """Unreliable delivery of messages to peer addresses."""

    def send(self, address: str, data: bytes) -> None:
        """Queue a message; it may be lost."""

    async def receive(self) -> bytes:
        """Wait for the next message to this entry and return it."""


class _Sender:
    """Socket, send queue and task of one peer; ends when it is idle.

    When the queue is full the oldest message is dropped.

    Args:
        address (str): ``ip:port`` of the peer.
        on_idle (callable): Called with the address when the sender has ended
            because it was idle.
    """

    def __init__(
        self, address: str, on_idle: abc.Callable[[str], None]
    ) -> None:
        self._address = address
        self._on_idle = on_idle
        self._queue: collections.deque[bytes] = collections.deque(
            maxlen=_MAX_QUEUED_MESSAGES
        )
        self._has_messages = asyncio.Event()
        self._is_closed = False
        self._task = asyncio.create_task(self._run())

    def enqueue(self, data: bytes) -> None:
        self._queue.append(data)
        self._has_messages.set()

    async def _run(self) -> None:
        socket = pynng.Push0(
            send_timeout=_SEND_TIMEOUT_MS,
            send_buffer_size=_SOCKET_BUFFER_MESSAGES,
        )
        try:
            socket.dial(f"tcp://{self._address}", block=False)
            while not self._is_closed:
                async with asyncio.timeout(_SENDER_IDLE_LIMIT_S):
                    await self._has_messages.wait()
                self._has_messages.clear()
                await self._send_queued(socket)
        except TimeoutError:
            self._on_idle(self._address)
        finally:
            socket.close()

    async def _send_queued(self, socket: pynng.Push0) -> None:
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


class NngPeerTransport:
    """A ``PeerTransport`` over TCP.

    Args:
        address (str): ``ip:port`` to listen on; port 0 lets the kernel
            choose.
        max_message_bytes (int): Maximum size of a received message.
    """

    def __init__(self, address: str, max_message_bytes: int) -> None:
        self._socket = pynng.Pull0(
            recv_max_size=max_message_bytes,
            recv_buffer_size=_SOCKET_BUFFER_MESSAGES,
        )
        listener = self._socket.listen(f"tcp://{address}")
        self.address = str(listener.local_address).removeprefix("tcp://")
        self._sender_by_address: dict[str, _Sender] = {}
        self._close_tasks: set[asyncio.Task] = set()
        self._received: asyncio.Queue[bytes] = asyncio.Queue()
        self._read_task = asyncio.create_task(self._read_messages())

    async def _read_messages(self) -> None:
        """Move messages from the socket to a queue until it is closed.

        A pynng receive that is cancelled at the moment a message arrives
        does not raise, so receivers wait on the queue, never on the socket.
        """
        with contextlib.suppress(pynng.exceptions.Closed):
            while True:
                self._received.put_nowait(await self._socket.arecv())

    def send(self, address: str, data: bytes) -> None:
        """Queue a message to an address."""
        sender = self._sender_by_address.get(address)
        if sender is None:
            sender = _Sender(address, self._remove_sender)
            self._sender_by_address[address] = sender
        sender.enqueue(data)

    def _remove_sender(self, address: str) -> None:
        """Remove a sender that was idle; its peer may be gone."""
        self._sender_by_address.pop(address, None)

    def reset_connection(self, address: str) -> None:
        """Drop the connection to an address and its queued messages.

        The next message opens a new connection.
        """
        sender = self._sender_by_address.pop(address, None)
        if sender is not None:
            self._close_tasks.add(task := asyncio.create_task(sender.close()))
            task.add_done_callback(self._close_tasks.discard)

    async def receive(self) -> bytes:
        """Wait for the next message and return it."""
        return await self._received.get()

    async def close(self) -> None:
        """Close all sockets."""
        await asyncio.gather(*self._close_tasks)
        for sender in self._sender_by_address.values():
            await sender.close()
        self._sender_by_address.clear()
        self._socket.close()
        await self._read_task
