"""HTTP server: runs an ASGI application on uvicorn in the running loop."""

import asyncio
from collections import abc
import contextlib
import errno
import logging
import os
import resource
import select
import socket
import typing

import uvicorn

from chicorydoor.transport import asgi
from chicorydoor.transport import caller_protocol
from chicorydoor.transport import connection_memory
from chicorydoor.transport import receive_buffer

_LISTEN_BACKLOG = 1024
# Bounds the length of a turn of the event loop.
_MAX_ACCEPTS_PER_TURN = 128
# Part of the process's descriptors that connections of callers leave to those
# to targets, peers and the store. Without them no request could be served.
_RESERVED_DESCRIPTORS = 0.25
# Pause before accepting again after all other descriptors were in use.
_DESCRIPTOR_PAUSE_S = 0.1
# Time for the kernel to complete a handshake whose caller has sent its last
# packet.
_HANDSHAKE_MS = 5
# Time for a request to be read that was sent when its connection was made.
_FIRST_READ_S = 0.3
# Time after the grace period of a stop for responses to be written.
_ABORT_DELAY_S = 0.2

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


class _Listener:
    """A listening socket whose connections are served by a protocol.

    In each turn of the event loop it accepts all connections that wait.
    uvloop's own server accepts one: while the loop is busy, callers that open
    a connection for each request would wait much longer than the others.

    Args:
        listener (socket): Bound socket; the listener closes it.
        make_protocol (callable): Creates the protocol of a connection.

    Raises:
        OSError: If another socket listens on the port.
    """

    def __init__(
        self,
        listener: socket.socket,
        make_protocol: abc.Callable[[], asyncio.Protocol],
    ) -> None:
        self._listener = listener
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()
        self._resume_timer: asyncio.TimerHandle | None = None
        listener.setblocking(False)
        try:
            listener.listen(_LISTEN_BACKLOG)
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
                self._check_descriptors()
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

    def _check_descriptors(self) -> None:
        """Raise EMFILE if only reserved descriptors are left.

        A new descriptor gets the lowest number that is not in use.
        """
        lowest_free = os.dup(self._listener.fileno())
        os.close(lowest_free)
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if lowest_free >= (1.0 - _RESERVED_DESCRIPTORS) * limit:
            raise OSError(errno.EMFILE, "only reserved descriptors are free")

    def _serve_next(self) -> None:
        connection, _ = self._listener.accept()
        connection.setblocking(False)
        task = self._loop.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_failure(self, error: OSError) -> bool:
        """Log that accepting failed; whether no descriptor was free."""
        _LOG.warning("connection not accepted", extra={"reason": f"{error}"})
        return error.errno in (errno.EMFILE, errno.ENFILE)

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
        for _ in range(_LISTEN_BACKLOG + 1):
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


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        yield


class HttpServer:
    """HTTP server on one or more listening sockets.

    Args:
        app (ASGI application): Handles the requests.
        address (str): IP address of the first socket. Defaults to None: there
            is none, and ``listen`` adds sockets.
        port (int): Its TCP port. Defaults to 0, which lets the kernel choose.
        limits (callable): Returns the current limits on a connection's
            headers and idle time. Defaults to the defaults of
            ``ConnectionLimits``.
        admit_body (callable): Whether to read the body of a request, see
            ``caller_protocol.bind_limits``. Defaults to one that admits all.
        streams_bodies (bool): Whether the application may pass on a part of
            a request's body before its end was read. Defaults to False.
        memory (ConnectionMemory): Memory of the connections, which servers of
            a process may share. Defaults to one of the server's own.
        may_run_early (callable): Whether a pipelined request may run beside
            those before it, see ``caller_protocol.bind_limits``. Defaults to
            never.
        receive_buffer_bytes (int): Size of a connection's receive buffer
            while no memory is reserved for a body. Defaults to 0: the kernel
            decides.

    Raises:
        OSError: If the first socket cannot be bound.
    """

    def __init__(
        self,
        app: typing.Any,
        address: str | None = None,
        port: int = 0,
        limits: abc.Callable[
            [], caller_protocol.ConnectionLimits
        ] = caller_protocol.ConnectionLimits,
        admit_body: abc.Callable[[asgi.Scope], bool] = lambda scope: True,
        streams_bodies: bool = False,
        memory: connection_memory.ConnectionMemory | None = None,
        may_run_early: abc.Callable[[asgi.Scope], bool] = lambda scope: False,
        receive_buffer_bytes: int = 0,
    ) -> None:
        self._receive_buffer_bytes = receive_buffer_bytes
        self._sockets: list[socket.socket] = []
        self.address = address or ""
        self.port = port
        if address is not None:
            self._sockets.append(self._bind(address, port))
            self.port = self._sockets[0].getsockname()[1]
        config = uvicorn.Config(
            app,
            http=caller_protocol.bind_limits(
                limits,
                admit_body,
                streams_bodies,
                memory or connection_memory.ConnectionMemory(),
                may_run_early,
                receive_buffer_bytes,
            ),
            interface="asgi3",
            proxy_headers=False,
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="warning",
            access_log=False,
            backlog=_LISTEN_BACKLOG,
            server_header=False,
            date_header=False,
        )
        self._server = _Server(config)
        self._listeners: list[_Listener] = []
        self._task: asyncio.Task | None = None

    @property
    def endpoint(self) -> str:
        """``ip:port`` of the first socket."""
        host = f"[{self.address}]" if ":" in self.address else self.address
        return f"{host}:{self.port}"

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._server.server_state.connections)

    async def start(self) -> None:
        """Start the server; returns once it accepts connections."""
        self._task = asyncio.create_task(self._server.serve(sockets=[]))
        while not self._server.started:
            if self._task.done():
                await self._task
            await asyncio.sleep(0.001)
        sockets, self._sockets = self._sockets, []
        self._listeners = [
            _Listener(each, self._make_protocol) for each in sockets
        ]

    def listen(self, endpoint: str) -> None:
        """Accept connections on a further endpoint of a started server.

        Args:
            endpoint (str): ``ip:port``.

        Raises:
            OSError: If it cannot be bound.
        """
        host, _, port = endpoint.rpartition(":")
        listener = self._bind(host, int(port))
        self._listeners.append(_Listener(listener, self._make_protocol))

    def _bind(self, address: str, port: int) -> socket.socket:
        listener = bind_tcp_socket(address, port)
        if self._receive_buffer_bytes:
            # Connections have it from their beginning, accepted or not.
            receive_buffer.set_size(listener, self._receive_buffer_bytes)
        return listener

    def close_connections_after_responses(self) -> None:
        """Add ``connection: close`` to every further response."""
        headers = [(b"connection", b"close")]
        # Both are set: uvicorn copies the configuration's headers to the
        # server state only once a second.
        self._server.config.encoded_headers = headers
        self._server.server_state.default_headers = headers

    async def stop(self, grace_s: float = 0.0) -> None:
        """Stop accepting, finish running requests, close connections.

        A server that has stopped may be stopped again.

        Args:
            grace_s (float): Maximum wait for running requests in seconds;
                0.2 s later they are aborted. Defaults to 0.
        """
        if self._task is None:
            self._close_sockets()
            return
        aborts_at = (
            asyncio.get_running_loop().time() + grace_s + _ABORT_DELAY_S
        )
        for listener in self._listeners:
            await listener.close()
        # Idle connections are closed next. Those that were just accepted are
        # idle only because their request has not been read yet.
        await asyncio.sleep(min(_FIRST_READ_S, grace_s))
        self._server.should_exit = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(aborts_at):
                await asyncio.shield(self._task)
        self._server.force_exit = True
        await asyncio.gather(self._task, return_exceptions=True)

    def _make_protocol(self) -> asyncio.Protocol:
        config = self._server.config
        return config.http_protocol_class(
            config=config,
            server_state=self._server.server_state,
            app_state=self._server.lifespan.state,
        )

    def _close_sockets(self) -> None:
        while self._sockets:
            self._sockets.pop().close()
