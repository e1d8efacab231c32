"""Accepts TCP connections, as many in a turn of the event loop as wait."""

import asyncio
from collections import abc
import logging
import select
import socket

from chicorydoor.transport import descriptors

BACKLOG = 1024
# Bounds the length of a turn of the event loop.
_MAX_ACCEPTS_PER_TURN = 128
# Part of the process's descriptors that connections of callers leave to those
# to targets, peers and the store. Without them no request could be served.
RESERVED_SHARE = 0.25
# Pause before accepting again after all other descriptors were in use.
_DESCRIPTOR_PAUSE_S = 0.1
# Time for the kernel to complete a handshake whose caller has sent its last
# packet.
_HANDSHAKE_MS = 5

_LOG = logging.getLogger(__name__)


def bind_tcp_socket(address: str, port: int) -> socket.socket:
    """Return a bound TCP socket; port 0 lets the kernel choose."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    # asyncio disables Nagle's algorithm only on sockets whose protocol is
    # given explicitly.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address, port))
    except BaseException:
        listener.close()
        raise
    return listener


class TcpListener:
    """A listening socket whose connections are served by a protocol.

    In each turn of the event loop it accepts all connections that wait.
    uvloop's own server accepts one: while the loop is busy, callers that open
    a connection for each request would wait much longer than the others.

    Args:
        listener (socket): Bound socket; the listener closes it.
        make_protocol (callable): Creates the protocol of a connection.
        reserved_share (float): Part of the process's descriptors that it
            leaves to others. Defaults to ``RESERVED_SHARE``.

    Raises:
        OSError: If another socket listens on the port.
    """

    def __init__(
        self,
        listener: socket.socket,
        make_protocol: abc.Callable[[], asyncio.Protocol],
        reserved_share: float = RESERVED_SHARE,
    ) -> None:
        self._listener = listener
        self._reserved_share = reserved_share
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()
        self._resume_timer: asyncio.TimerHandle | None = None
        listener.setblocking(False)
        try:
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self._resume()

    def _resume(self) -> None:
        self._resume_timer = None
        self._loop.add_reader(self._listener.fileno(), self._accept_waiting)

    def _pause(self) -> None:
        self._loop.remove_reader(self._listener.fileno())
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None

    def _accept_waiting(self) -> None:
        for _ in range(_MAX_ACCEPTS_PER_TURN):
            try:
                descriptors.check_free(self._reserved_share)
                self._serve_next()
            except BlockingIOError:
                return
            except OSError as error:
                if self._record_failure(error):
                    # The socket stays readable until a descriptor is free.
                    self._pause()
                    self._resume_timer = self._loop.call_later(
                        _DESCRIPTOR_PAUSE_S, self._resume
                    )
                    return

    def _serve_next(self) -> None:
        connection, _ = self._listener.accept()
        connection.setblocking(False)
        self._start(connection)

    def _start(self, connection: socket.socket) -> None:
        """Begin to serve a connection; subclasses may do without a task."""
        task = self._loop.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_failure(self, error: OSError) -> bool:
        """Log that accepting failed; whether no descriptor was free."""
        _LOG.warning("connection not accepted", extra={"reason": f"{error}"})
        return descriptors.is_shortage(error)

    async def _serve(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(
                self._make_protocol, connection
            )
        except OSError as error:
            _LOG.info(
                "connection ended while it was accepted",
                extra={"reason": f"{error}"},
            )

    async def close(self) -> None:
        """Close the port after accepting every connection made before.

        Closing a listening socket resets the connections that wait in its
        backlog, whose callers may have sent a request already.
        """
        if self._listener.fileno() < 0:
            return
        self._pause()
        waiting = select.poll()
        waiting.register(self._listener, select.POLLIN)
        # More cannot wait; callers that keep on connecting come later.
        for _ in range(BACKLOG + 1):
            if not waiting.poll(_HANDSHAKE_MS):
                break
            try:
                self._serve_next()
            except BlockingIOError:
                continue
            except OSError as error:
                if self._record_failure(error):
                    break
        self._listener.close()
        await asyncio.gather(*self._tasks)
