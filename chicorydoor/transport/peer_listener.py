"""Receives the messages of peers within bounds, over TCP.

Peers send with nng's push sockets. nng's own receiver takes memory for the
announced size of a message when it begins, on any number of connections; here
what all connections hold is bounded. The framing is "SP over TCP": both sides
greet with their protocol, then each message follows its length.
"""

import asyncio
import collections
from collections import abc
import logging
import resource
import socket
import time

from chicorydoor.transport import descriptors
from chicorydoor.transport import receive_buffer
from chicorydoor.transport import tcp_listener

# Greetings of a push and a pull socket.
_PUSH_GREETING = b"\0SP\0\0\x50\0\0"
_PULL_GREETING = b"\0SP\0\0\x51\0\0"
_LENGTH_BYTES = 8
# What a busy receiver has not read yet of each peer.
_RECEIVE_BUFFER_BYTES = 64 * 1024
# After this long without reading, the event loop has long turns.
_BUSY_AFTER_S = 0.05
# Time for the first messages of a peer that was just greeted, on a busy loop.
_FIRST_READ_S = 0.001
_MAX_READ_BYTES = 256 * 1024
# Part of the process's descriptors. Callers leave more than that to others, so
# that peers connect while callers use all of theirs.
_MAX_CONNECTIONS_SHARE = 1 / 8
# Two messages of the largest size.
_MIN_CAPACITY_MESSAGES = 2

_LOG = logging.getLogger(__name__)


class PeerListener:
    """Receives messages on any number of connections.

    When the messages that have begun take all the memory, the connection that
    holds most is closed; when there are too many connections, the one that has
    been silent for longest. Peers connect again.

    Args:
        max_message_bytes (int): Maximum size of a message.
        memory_bytes (int): Memory for messages that have begun. Raised to
            two messages of the maximum size.
        deliver (callable): Called with each message.

    Attributes:
        looked_at (float): When a connection was read last, in seconds on the
            event loop's clock.
    """

    def __init__(
        self,
        max_message_bytes: int,
        memory_bytes: int,
        deliver: abc.Callable[[bytes], None],
    ) -> None:
        self.max_message_bytes = max_message_bytes
        self.deliver = deliver
        self._capacity = max(
            memory_bytes, _MIN_CAPACITY_MESSAGES * max_message_bytes
        )
        self.looked_at = 0.0
        self._held = 0
        # In the order in which they received last.
        self._size_by_connection: collections.OrderedDict[
            _PeerConnection, int
        ] = collections.OrderedDict()
        self._listener: _PeerTcpListener | None = None

    def listen(self, address: str) -> str:
        """Accept connections.

        Args:
            address (str): ``ip:port``; port 0 lets the kernel choose.

        Returns:
            ``ip:port`` that it listens on.

        Raises:
            OSError: If it cannot be bound.
        """
        host, _, port = address.rpartition(":")
        bound = tcp_listener.bind_tcp_socket(host, int(port))
        receive_buffer.set_size(bound, _RECEIVE_BUFFER_BYTES)
        endpoint = f"{host}:{bound.getsockname()[1]}"
        self._listener = _PeerTcpListener(bound, self)
        return endpoint

    def is_busy(self) -> bool:
        """Whether the event loop has not read any connection for long."""
        now = asyncio.get_running_loop().time()
        return now - self.looked_at > _BUSY_AFTER_S

    def add(self, connection: "_PeerConnection") -> None:
        """Take in a new connection.

        Args:
            connection (_PeerConnection): The connection.
        """
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_others = max(0, int(limit * _MAX_CONNECTIONS_SHARE) - 1)
        while len(self._size_by_connection) > max_others:
            next(iter(self._size_by_connection)).close("too many connections")
        self._size_by_connection[connection] = 0

    def set_size(self, connection: "_PeerConnection", size: int) -> None:
        """Record what a connection holds; makes room if need be.

        Args:
            connection (_PeerConnection): One that has received something.
            size (int): Bytes of the message that has begun.
        """
        if connection not in self._size_by_connection:
            return
        self._held += size - self._size_by_connection[connection]
        self._size_by_connection[connection] = size
        self._size_by_connection.move_to_end(connection)
        while self._held > self._capacity:
            largest = max(
                self._size_by_connection, key=self._size_by_connection.get
            )
            largest.close("no memory")

    def remove(self, connection: "_PeerConnection") -> None:
        """Forget a connection, with what it holds.

        Args:
            connection (_PeerConnection): The connection.
        """
        self._held -= self._size_by_connection.pop(connection, 0)

    async def close(self) -> None:
        """Close the port and all connections."""
        if self._listener is not None:
            await self._listener.close()
        for connection in list(self._size_by_connection):
            connection.close("closed")


class _PeerTcpListener(tcp_listener.TcpListener):
    """Accepts connections of peers.

    A transport of the event loop would take several of its turns before the
    peer is greeted, during which messages wait.

    Args:
        bound (socket): Bound socket.
        listener (PeerListener): Gets the connections.
    """

    def __init__(self, bound: socket.socket, listener: PeerListener) -> None:
        super().__init__(
            bound, asyncio.Protocol, descriptors.RESERVED_BY_OTHERS
        )
        self._peer_listener = listener

    def _start(self, connection: socket.socket) -> None:
        _PeerConnection(connection, self._peer_listener)


class _PeerConnection:
    """One connection of a peer.

    Args:
        connection (socket): The connection.
        listener (PeerListener): Gets its messages.
    """

    def __init__(
        self, connection: socket.socket, listener: PeerListener
    ) -> None:
        self._connection = connection
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._data = bytearray()
        self._has_greeted = False
        listener.add(self)
        self._loop.add_reader(connection.fileno(), self._read)
        try:
            connection.send(_PULL_GREETING)
        except OSError as error:
            self.close(f"{error}")
            return
        if listener.is_busy():
            # The first messages would wait for another turn otherwise.
            time.sleep(_FIRST_READ_S)
            self._read()

    def _read(self) -> None:
        """Deliver the messages that are complete; keep the rest."""
        self._listener.looked_at = self._loop.time()
        try:
            data = self._connection.recv(_MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(f"{error}")
            return
        if not data:
            self.close("closed by the peer")
            return
        self._data += data
        if self._has_greeted or self._take_greeting():
            self._take_messages()
        self._listener.set_size(self, len(self._data))

    def _take_greeting(self) -> bool:
        greeting = bytes(self._data[: len(_PUSH_GREETING)])
        if not _PUSH_GREETING.startswith(greeting):
            self.close("not a peer")
        if greeting != _PUSH_GREETING:
            return False
        del self._data[: len(_PUSH_GREETING)]
        self._has_greeted = True
        return True

    def _take_messages(self) -> None:
        start = 0
        while len(self._data) - start >= _LENGTH_BYTES:
            first = start + _LENGTH_BYTES
            size = int.from_bytes(self._data[start:first], "big")
            if size > self._listener.max_message_bytes:
                self.close("message is too long")
                return
            if len(self._data) < first + size:
                break
            self._listener.deliver(bytes(self._data[first : first + size]))
            start = first + size
        del self._data[:start]

    def close(self, reason: str) -> None:
        """Close the connection, and drop what it holds.

        Args:
            reason (str): For the log.
        """
        self._data.clear()
        self._listener.remove(self)
        if self._connection.fileno() >= 0:
            _LOG.info("connection of a peer closed", extra={"reason": reason})
            self._loop.remove_reader(self._connection.fileno())
            self._connection.close()
