"""The connection on which a caller's request arrived."""

import asyncio
from collections import abc
import contextlib
import fcntl
import select
import struct
import termios

from chicorydoor.transport import asgi
from chicorydoor.transport import receive_buffer

# Key of the connection in the extensions of an ASGI scope.
_EXTENSION = "chicorydoor.caller_connection"


def untaken_bytes(transport: asyncio.Transport) -> int:
    """Return how much of what was written the caller has not received.

    The kernel takes more from the transport only once a large part of its own
    buffer is free: without that buffer, slow callers seem to take nothing.

    Args:
        transport (Transport): Transport of the connection.
    """
    untaken = transport.get_write_buffer_size()
    connection = transport.get_extra_info("socket")
    # A closed connection has no queue.
    with contextlib.suppress(OSError, ValueError):
        queued = fcntl.ioctl(
            connection.fileno(), termios.TIOCOUTQ, struct.pack("i", 0)
        )
        untaken += struct.unpack("i", queued)[0]
    return untaken


class CallerConnection:
    """Knows whether a caller has closed its connection.

    The event loop learns this only after it has handled everything that
    arrived before, which takes long while it is busy. The kernel knows it at
    once.

    Args:
        transport (Transport): Transport of the connection, which has a file
            descriptor.
        drain (callable): Waits until little of what was written remains.
        waiting_requests (Sized): The requests that were read and wait for
            the responses to earlier ones. Defaults to none.
        receive_buffer_bytes (int): Size of its receive buffer while no memory
            is reserved for a body. Defaults to 0: the kernel decides.

    Attributes:
        receive_buffer (ReceiveBuffer): Its receive buffer.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        drain: abc.Callable[[], abc.Awaitable[None]],
        waiting_requests: abc.Sized = (),
        receive_buffer_bytes: int = 0,
    ) -> None:
        self._transport = transport
        self._drain = drain
        self._waiting_requests = waiting_requests
        self._poll = select.poll()
        tcp_socket = transport.get_extra_info("socket")
        self.receive_buffer = receive_buffer.ReceiveBuffer(
            tcp_socket, receive_buffer_bytes
        )
        descriptor = tcp_socket.fileno()
        # Errors and resets are always reported too.
        self._poll.register(descriptor, select.POLLRDHUP)

    def is_closed(self) -> bool:
        """Whether the caller has closed the connection, read or unread."""
        # After closing, the descriptor may belong to another connection.
        return self._transport.is_closing() or bool(self._poll.poll(0))

    async def wait_until_written(self, max_pause_s: float) -> bool:
        """Wait until the caller has taken nearly all of a response.

        A connection whose caller takes none of it for too long is closed.

        Args:
            max_pause_s (float): Maximum time without progress in seconds.

        Returns:
            Whether the caller took it.
        """
        while True:
            remaining = untaken_bytes(self._transport)
            try:
                async with asyncio.timeout(max_pause_s):
                    await self._drain()
                return True
            except TimeoutError:
                if untaken_bytes(self._transport) >= remaining:
                    self._transport.abort()
                    return False

    @property
    def has_waiting_request(self) -> bool:
        """Whether a request waits for the responses to earlier ones."""
        return len(self._waiting_requests) > 0

    def add_to_scope(self, scope: asgi.Scope) -> None:
        """Make the connection known to the application.

        Args:
            scope (dict): ASGI scope of a request.
        """
        scope.setdefault("extensions", {})[_EXTENSION] = self


def find_in_scope(scope: asgi.Scope) -> CallerConnection | None:
    """Return the connection of a request; None from another server.

    Args:
        scope (dict): ASGI scope of the request.
    """
    return scope.get("extensions", {}).get(_EXTENSION)
