"""Bounds what the kernel receives on a connection before it is read.

Unread bytes count as memory of the process where the platform limits it. The
kernel enlarges the receive buffer of a connection that is read quickly to some
megabytes, and keeps it when reading stops. Here the buffer is small except
while memory is reserved for what arrives.
"""

import socket

# An ordinary request fits. The kernel takes up to twice as many bytes.
CALLER_BYTES = 4 * 1024
# Targets' responses are read at once, but wait here for memory if large.
TARGET_BYTES = 32 * 1024
# Enough for 5 MB/s over a round trip of 0.2 s.
_MAX_BYTES = 1024 * 1024


def set_size(connection: socket.socket, size: int) -> None:
    """Set the size of a receive buffer, which the kernel then keeps.

    Args:
        connection (socket): A connection, or a listening socket for all that
            it accepts.
        size (int): Bytes; the kernel doubles them for its own overhead.

    Raises:
        OSError: If the connection is closed.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


class ReceiveBuffer:
    """The receive buffer of one connection.

    Args:
        connection (socket): The connection.
        small_bytes (int): Its size while no memory is reserved; 0 leaves it
            to the kernel.
    """

    def __init__(self, connection: socket.socket, small_bytes: int) -> None:
        self._connection = connection
        self._small_bytes = small_bytes
        self._size = small_bytes

    def enlarge(self, reserved_bytes: int) -> None:
        """Let bytes arrive for which memory is reserved.

        Args:
            reserved_bytes (int): Size of the reservation.
        """
        # The kernel takes up to twice the size.
        self._set_size(max(self._size, min(reserved_bytes // 2, _MAX_BYTES)))

    def reset(self) -> None:
        """Return to the small size."""
        self._set_size(self._small_bytes)

    def _set_size(self, size: int) -> None:
        if size == self._size or not self._small_bytes:
            return
        self._size = size
        # A closed connection receives nothing more.
        if self._connection.fileno() >= 0:
            set_size(self._connection, size)
