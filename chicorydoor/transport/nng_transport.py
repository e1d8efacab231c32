"""Transport of peer messages: pynng push sockets to a ``PeerListener``.

Each entry has one listening socket, and one sending socket per peer. Sockets
are used without waiting: a task per message costs several times as much
processor time as the message itself. Delivery is unreliable: if a message
cannot be sent in time, it and all messages queued for that peer are dropped,
and the layers above treat them as lost.
"""

import asyncio
import collections
import logging
import typing

import pynng

from chicorydoor.transport import peer_listener

# Messages that wait longer than this are dropped, with those behind them.
_SEND_TIMEOUT_S = 1.0
_MAX_QUEUED_MESSAGES = 4096
_SOCKET_BUFFER_MESSAGES = 64
_SENDER_IDLE_LIMIT_S = 60.0
# Interval at which queued messages are tried again.
_RETRY_INTERVAL_S = 0.02
# Part of the memory limit of the process for messages that have begun.
_MEMORY_SHARE = 0.05
# Taken where the platform names no limit.
_DEFAULT_LIMIT_BYTES = 512_000_000

_LOG = logging.getLogger(__name__)


class PeerTransport(typing.Protocol):
    """Unreliable delivery of messages to peer addresses."""

    def send(self, address: str, data: bytes) -> None:
        """Queue a message; it may be lost."""

    async def receive(self) -> bytes:
        """Wait for the next message to this entry and return it."""


class _Sender:
    """Socket and send queue of one peer.

    When the queue is full the oldest message is dropped.

    Args:
        address (str): ``ip:port`` of the peer.
        loop (AbstractEventLoop): The running event loop.
    """

    def __init__(self, address: str, loop: asyncio.AbstractEventLoop) -> None:
        self._address = address
        self._loop = loop
        self._queue: collections.deque[bytes] = collections.deque(
            maxlen=_MAX_QUEUED_MESSAGES
        )
        self._retry: asyncio.TimerHandle | None = None
        self._blocked_since = 0.0
        self.used_at = loop.time()
        self._socket = pynng.Push0(send_buffer_size=_SOCKET_BUFFER_MESSAGES)
        self._socket.dial(f"tcp://{address}", block=False)

    def send(self, data: bytes) -> None:
        """Send a message, or queue it behind those that wait."""
        self.used_at = self._loop.time()
        self._queue.append(data)
        if self._retry is None:
            self._flush()

    def _flush(self) -> None:
        """Send the queued messages as far as the socket takes them."""
        self._retry = None
        try:
            while self._queue:
                self._socket.send(self._queue[0], block=False)
                self._queue.popleft()
                self._blocked_since = 0.0
        except pynng.exceptions.TryAgain:
            now = self._loop.time()
            self._blocked_since = self._blocked_since or now
            if now - self._blocked_since >= _SEND_TIMEOUT_S:
                self._queue.clear()
                self._blocked_since = 0.0
                return
            self._retry = self._loop.call_later(_RETRY_INTERVAL_S, self._flush)
        except pynng.exceptions.NNGException as error:
            _LOG.warning(
                "peer messages lost",
                extra={
                    "address": self._address,
                    "messages": len(self._queue),
                    "reason": f"{error}",
                },
            )
            self._queue.clear()

    def close(self) -> None:
        """Close the socket and drop the queued messages."""
        if self._retry is not None:
            self._retry.cancel()
        self._queue.clear()
        self._socket.close()


class NngPeerTransport:
    """A ``PeerTransport`` over TCP; created on a running event loop.

    Args:
        address (str): ``ip:port`` to listen on; port 0 lets the kernel
            choose. With None it receives nothing until ``listen`` is called.
        max_message_bytes (int): Maximum size of a received message.
        limit_bytes (int): Memory that the process may use; 0 if the platform
            names no limit. Defaults to 0.

    Raises:
        OSError: If the address cannot be bound.
    """

    def __init__(
        self,
        address: str | None,
        max_message_bytes: int,
        limit_bytes: int = 0,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._received: asyncio.Queue[bytes] = asyncio.Queue()
        self._listener = peer_listener.PeerListener(
            max_message_bytes,
            int((limit_bytes or _DEFAULT_LIMIT_BYTES) * _MEMORY_SHARE),
            self._received.put_nowait,
        )
        self.address = ""
        if address is not None:
            self.listen(address)
        self._sender_by_address: dict[str, _Sender] = {}
        self._idle_check = self._loop.call_later(
            _SENDER_IDLE_LIMIT_S, self._close_idle_senders
        )

    def listen(self, address: str) -> None:
        """Receive messages at an address.

        Args:
            address (str): ``ip:port``.

        Raises:
            OSError: If it cannot be bound.
        """
        self.address = self._listener.listen(address)

    def send(self, address: str, data: bytes) -> None:
        """Send a message to an address, or queue it."""
        sender = self._sender_by_address.get(address)
        if sender is None:
            sender = _Sender(address, self._loop)
            self._sender_by_address[address] = sender
        sender.send(data)

    def _close_idle_senders(self) -> None:
        """Close senders that were not used; their peers may be gone."""
        now = self._loop.time()
        for address, sender in list(self._sender_by_address.items()):
            if now - sender.used_at >= _SENDER_IDLE_LIMIT_S:
                self.reset_connection(address)
        self._idle_check = self._loop.call_later(
            _SENDER_IDLE_LIMIT_S, self._close_idle_senders
        )

    def reset_connection(self, address: str) -> None:
        """Drop the connection to an address and its queued messages.

        The next message opens a new connection.
        """
        sender = self._sender_by_address.pop(address, None)
        if sender is not None:
            sender.close()

    async def receive(self) -> bytes:
        """Wait for the next message and return it."""
        return await self._received.get()

    async def close(self) -> None:
        """Close all sockets."""
        self._idle_check.cancel()
        for sender in self._sender_by_address.values():
            sender.close()
        self._sender_by_address.clear()
        await self._listener.close()
