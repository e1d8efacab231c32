"""HTTP server: runs an ASGI application on uvicorn in the running loop."""

import asyncio
from collections import abc
import contextlib
import socket
import typing

import uvicorn

from chicorydoor.transport import asgi
from chicorydoor.transport import caller_protocol
from chicorydoor.transport import connection_memory
from chicorydoor.transport import receive_buffer
from chicorydoor.transport import tcp_listener

# Time for a request to be read that was sent when its connection was made.
_FIRST_READ_S = 0.3
# Time after the grace period of a stop for responses to be written.
_ABORT_DELAY_S = 0.2


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
            backlog=tcp_listener.BACKLOG,
            server_header=False,
            date_header=False,
        )
        self._server = _Server(config)
        self._listeners: list[tcp_listener.TcpListener] = []
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
            tcp_listener.TcpListener(each, self._make_protocol)
            for each in sockets
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
        self._listeners.append(
            tcp_listener.TcpListener(listener, self._make_protocol)
        )

    def _bind(self, address: str, port: int) -> socket.socket:
        listener = tcp_listener.bind_tcp_socket(address, port)
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
