"""Buffered HTTP/1.1 connections to targets: each reads whole responses.

A connection carries one request at a time.

A response is accepted only if it is complete and does not carry the id of
another request; a successful one must echo the id of its request. A connection
that received anything else is closed and never reused.
"""

import asyncio
import collections
from collections import abc
import contextlib
import socket
import typing

import httptools
import msgspec

from chicorydoor import errors
from chicorydoor.protocol import headers as http_headers
from chicorydoor.transport import body_memory
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import descriptors
from chicorydoor.transport import receive_buffer
from chicorydoor.transport import response_limits

Headers = list[tuple[bytes, bytes]]

# A lost packet delays its acknowledgement by one retransmission, about
# 0.2 s; a target that acknowledges nothing for this long is unreachable.
_TCP_USER_TIMEOUT_MS = 1500
# TCP keep-alive detects a silently vanished target within three seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Targets close connections after their advertised idle timeout; a request
# sent while the target closes would have an unknown outcome. The default
# applies to targets that advertise no timeout.
_IDLE_TIMEOUT_MARGIN_S = 1.5
DEFAULT_IDLE_LIMIT_S = 4.0
# Bound on the bodies that are read for one request, those of late responses to
# earlier requests included. A few bodies of this size fit into the memory of a
# small entry.
_MAX_BODY_BYTES = 8 * 1024 * 1024
_INFORMATIONAL_STATUSES = range(100, 200)
_SUCCESS_STATUSES = range(200, 300)


class BufferedResponse(msgspec.Struct):
    """A target's complete response.

    Args:
        status (int): HTTP status.
        headers (list): Names in lower case, and values.
        body (bytes): The whole body.
        reservation (Reservation): Memory that was reserved for a large body;
            None for a small one. Defaults to None.
    """

    status: int
    headers: Headers
    body: bytes
    reservation: body_memory.Reservation | None = None

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return http_headers.find_header(self.headers, name)


class _PartialResponse:
    """A response that is being received."""

    def __init__(self) -> None:
        self.headers: Headers = []
        self.body_chunks: list[bytes] = []
        self.body_bytes = 0
        self.reservation: body_memory.Reservation | None = None
        self.has_complete_head = False
        self.is_complete = False

    def find_header(self, name: bytes) -> bytes | None:
        return http_headers.find_header(self.headers, name)

    @property
    def memory_size(self) -> int:
        """Bytes to reserve for the body; the maximum if it has no length."""
        length = self.find_header(b"content-length") or b""
        if not length.isdigit():
            return _MAX_BODY_BYTES
        return min(int(length), _MAX_BODY_BYTES)

    def take_body(self) -> bytes:
        """Return the body, which is kept no longer."""
        body = b"".join(self.body_chunks)
        self.body_chunks.clear()
        return body

    @property
    def is_delimited_by_close(self) -> bool:
        """Whether the end of the connection marks the end of the body."""
        has_framing = (
            self.find_header(b"content-length") is not None
            or self.find_header(b"transfer-encoding") is not None
        )
        return self.has_complete_head and not has_framing


class BufferedConnection(asyncio.Protocol):
    """One HTTP/1.1 connection to a target.

    Args:
        request_id_header (bytes): Header in which targets echo the id of
            a request.
        response_memory (MemoryPart): Memory for large responses. Defaults to
            None, for no limit.
        on_unusable (callable): Called once, with the connection, when it can
            carry no further request. Defaults to None.

    Attributes:
        idle_limit_s (float): How long it may be idle and still be reused.
        idle_since (float): When its latest exchange ended, on the pool's
            clock.
        idle_s (float): How long it was idle before its current use.
    """

    def __init__(
        self,
        request_id_header: bytes,
        response_memory: body_memory.MemoryPart | None = None,
        on_unusable: abc.Callable[["BufferedConnection"], None] | None = None,
    ) -> None:
        self._request_id_header = request_id_header
        self._response_memory = response_memory
        self._memory_wait: asyncio.Task[None] | None = None
        self._receive_buffer: receive_buffer.ReceiveBuffer | None = None
        self._on_unusable = on_unusable
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response = _PartialResponse()
        self._pending_response: asyncio.Future[BufferedResponse] | None = None
        self._expected_request_id = b""
        self._is_head_request = False
        self._is_reusable = True
        self._has_sent = False
        self._received_bytes = 0
        self._bytes_since_body = 0
        self._received_body_bytes = 0
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.idle_since = 0.0
        self.idle_s = 0.0

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure detection of an unreachable target."""
        self._transport = typing.cast(asyncio.Transport, transport)
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None:
            _set_dead_peer_detection(tcp_socket)
            if self._response_memory is not None:
                self._bound_receive_buffer(tcp_socket)

    def _bound_receive_buffer(self, tcp_socket: socket.socket) -> None:
        size = receive_buffer.TARGET_BYTES
        receive_buffer.set_size(tcp_socket, size)
        self._receive_buffer = receive_buffer.ReceiveBuffer(tcp_socket, size)

    def data_received(self, data: bytes) -> None:
        """Parse response data; unsolicited data closes the connection."""
        if self._pending_response is None:
            self._close_on_unsolicited_data()
            return
        self._received_bytes += len(data)
        body_bytes_before = self._received_body_bytes
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            ValueError,
        ) as error:
            self._fail(f"answer is not HTTP: {error}")
        if self._received_body_bytes > body_bytes_before:
            self._bytes_since_body = 0
        else:
            self._bytes_since_body += len(data)
        self._check_received_size()

    def _check_received_size(self) -> None:
        """Close a connection whose target sends more than an answer needs."""
        body_bytes = self._received_body_bytes
        if (
            body_bytes > _MAX_BODY_BYTES
            # The framing of a large body leaves no room for trailers.
            or self._bytes_since_body > response_limits.MAX_OVERHEAD_BYTES
            or response_limits.has_excess_overhead(
                self._received_bytes, body_bytes
            )
        ):
            self._fail("answer is too large")

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete a response that ends with the connection, else fail."""
        self._is_reusable = False
        if self._pending_response is not None and exc is None:
            if self._response.is_delimited_by_close:
                self._deliver_response()
        reason = f"connection lost: {exc}" if exc else "connection closed"
        # ETIMEDOUT, from TCP_USER_TIMEOUT or keep-alive.
        self._fail(reason, isinstance(exc, TimeoutError))
        self._notify_unusable()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new response; a second one makes the connection unusable."""
        if self._response.is_complete:
            self._is_reusable = False
        self._response = _PartialResponse()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._response.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Record the end of the head; ends the response to a HEAD request."""
        self._response.has_complete_head = True
        status = self._parser.get_status_code()
        if status not in http_headers.VALID_STATUSES:
            self._fail(f"answer has the invalid status {status}")
        if self._is_head_request and status not in _INFORMATIONAL_STATUSES:
            self._is_reusable = False
            self._deliver_response()

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body, up to the size limit."""
        self._received_body_bytes += len(body)
        response = self._response
        if self._received_body_bytes > _MAX_BODY_BYTES:
            return
        response.body_chunks.append(body)
        response.body_bytes += len(body)
        if (
            response.body_bytes > body_memory.SMALL_BODY_BYTES
            and response.reservation is None
            and self._memory_wait is None
        ):
            self._reserve_memory()

    def _reserve_memory(self) -> None:
        """Reserve memory for a large response; read no further without it."""
        if self._response_memory is None:
            return
        response = self._response
        size = min(response.memory_size, self._response_memory.capacity)
        response.reservation = self._response_memory.try_reserve(size)
        if response.reservation is not None:
            self._enlarge_receive_buffer(size)
        elif self._transport is not None:
            self._transport.pause_reading()
            self._memory_wait = asyncio.get_running_loop().create_task(
                self._wait_for_memory(self._response_memory, size)
            )

    async def _wait_for_memory(
        self, memory: body_memory.MemoryPart, size: int
    ) -> None:
        response = self._response
        response.reservation = await memory.reserve(size, None)
        self._memory_wait = None
        if self._transport is not None and not self._transport.is_closing():
            self._enlarge_receive_buffer(size)
            self._transport.resume_reading()

    def _enlarge_receive_buffer(self, reserved_bytes: int) -> None:
        if self._receive_buffer is not None:
            self._receive_buffer.enlarge(reserved_bytes)

    def on_message_complete(self) -> None:
        """Deliver the response, unless it is an informational one."""
        if self._parser.get_status_code() in _INFORMATIONAL_STATUSES:
            # The end of the connection must not complete it.
            self._response = _PartialResponse()
            return
        self._response.is_complete = True
        self._deliver_response()

    def _deliver_response(self) -> None:
        """Deliver the response, unless it belongs to another request.

        A successful response without a request id fails the exchange.
        """
        if self._pending_response is None or self._pending_response.done():
            self._is_reusable = False
            return
        if self._received_body_bytes > _MAX_BODY_BYTES:
            self._fail("answer is too large")
            return
        response = self._response
        status = self._parser.get_status_code()
        echoed = response.find_header(self._request_id_header)
        if echoed is not None and echoed != self._expected_request_id:
            # A late response to an earlier request; that to the current
            # request may still follow.
            self._is_reusable = False
            return
        if (
            echoed is None
            and status in _SUCCESS_STATUSES
            and self._expected_request_id
        ):
            self._fail("answer names no request")
            return
        self._update_reusability(response)
        answer = BufferedResponse(
            status,
            response.headers,
            response.take_body(),
            response.reservation,
        )
        response.reservation = None
        self._pending_response.set_result(answer)

    def _update_reusability(self, response: _PartialResponse) -> None:
        assert self._transport is not None
        if response.find_header(b"connection") == b"close":
            self._is_reusable = False
        elif not self._parser.should_keep_alive():
            self._is_reusable = False
        elif self._transport.get_write_buffer_size() > 0:
            self._is_reusable = False
        advertised_s = _parse_keep_alive_timeout_s(
            response.find_header(b"keep-alive")
        )
        if advertised_s is not None:
            self.idle_limit_s = max(0.0, advertised_s - _IDLE_TIMEOUT_MARGIN_S)

    def _fail(self, reason: str, is_tcp_timeout: bool = False) -> None:
        self._is_reusable = False
        pending = self._pending_response
        if pending is not None and not pending.done():
            pending.set_exception(
                errors.TargetError(reason, self._has_sent, is_tcp_timeout)
            )
        self.abort()

    def _close_on_unsolicited_data(self) -> None:
        """Close the connection: data arrived without a request."""
        self._is_reusable = False
        self.abort()

    def _notify_unusable(self) -> None:
        callback, self._on_unusable = self._on_unusable, None
        if callback is not None:
            callback(self)

    # Interface for the owner.

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self._is_reusable
            and self._pending_response is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    async def exchange(
        self,
        head: bytes,
        request_id: bytes,
        is_head: bool = False,
        body_chunks: abc.Sequence[bytes] = (),
    ) -> BufferedResponse:
        """Send a request and wait for its complete response.

        Args:
            head (bytes): Request line and headers.
            request_id (bytes): Id that a successful response must echo; if
                empty, no id is required, but a response with one is
                discarded.
            is_head (bool): Whether it is a HEAD request, whose response
                never has a body. Defaults to False.
            body_chunks (Sequence): The request's body in pieces, which are
                not copied. Defaults to none.

        Returns:
            BufferedResponse: The response.

        Raises:
            TargetError: If no complete response arrived; says whether any
                byte of the request may have been sent.
        """
        transport = self._transport
        if transport is None or not self.is_usable:
            raise errors.TargetError(
                "connection was closed", may_have_been_sent=False
            )
        self._pending_response = asyncio.get_running_loop().create_future()
        self._response = _PartialResponse()
        self._received_bytes = self._received_body_bytes = 0
        self._bytes_since_body = 0
        self._expected_request_id = request_id
        self._is_head_request = is_head
        self._has_sent = True
        if body_chunks:
            transport.writelines([head, *body_chunks])
        else:
            transport.write(head)
        try:
            return await self._pending_response
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._pending_response = None
            self._stop_waiting_for_memory()
            if not self._is_reusable:
                self.abort()
            elif self._receive_buffer is not None:
                self._receive_buffer.reset()

    def _stop_waiting_for_memory(self) -> None:
        """Give up a wait whose response has failed or is complete."""
        if self._memory_wait is not None:
            self._memory_wait.cancel()
            self._memory_wait = None
            # The transport is still paused.
            self._is_reusable = False

    def abort(self) -> None:
        """Close at once; a target still at work sees the connection end."""
        self._is_reusable = False
        self._response = _PartialResponse()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        self._notify_unusable()


def _parse_keep_alive_timeout_s(value: bytes | None) -> float | None:
    """Return the timeout parameter of a Keep-Alive header, or None."""
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            with contextlib.suppress(ValueError):
                return float(number)
    return None


def _set_dead_peer_detection(tcp_socket: socket.socket) -> None:
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        tcp_socket.setsockopt(level, option, value)


class BufferedConnectionPool:
    """Connection pool of one target; reuses the most recently used one first.

    Args:
        address (str): ``ip:port`` of the target.
        request_id_header (bytes): Header in which targets echo the id of a
            request.
        clock (Clock): Time source.
        response_memory (MemoryPart): Memory for large responses. Defaults to
            None, for no limit.
        on_connected (callable): Called with the seconds that opening a
            connection took. Defaults to None.
    """

    def __init__(
        self,
        address: str,
        request_id_header: bytes,
        clock: clock_module.Clock,
        response_memory: body_memory.MemoryPart | None = None,
        on_connected: abc.Callable[[float], None] | None = None,
    ) -> None:
        self._address = address
        self._response_memory = response_memory
        self._on_connected = on_connected
        self._request_id_header = request_id_header
        self._clock = clock
        self._idle: collections.deque[BufferedConnection] = collections.deque()

    def has_idle(self, for_s: float, max_idle_s: float) -> bool:
        """Whether a connection is idle and will be reused for some time.

        Args:
            for_s (float): Time from now on in seconds.
            max_idle_s (float): Maximum idle time of a reused connection.
        """
        latest = self._clock.now() + for_s
        return any(
            each.is_usable
            and latest - each.idle_since < min(each.idle_limit_s, max_idle_s)
            for each in self._idle
        )

    async def open_idle(
        self,
        connect_timeout_s: float,
        idle_limit_s: float,
        max_idle_connections: int,
    ) -> None:
        """Open a connection ahead of the request that will use it.

        Args:
            connect_timeout_s (float): Maximum time to open it.
            idle_limit_s (float): How long it may be idle and still be reused;
                targets tell only in their responses.
            max_idle_connections (int): Maximum number of idle connections.

        Raises:
            TargetError: If it could not be opened.
        """
        connection = await self.open_connection(connect_timeout_s)
        connection.idle_limit_s = idle_limit_s
        self.release(connection, max_idle_connections)

    async def acquire(
        self, connect_timeout_s: float, max_idle_s: float = float("inf")
    ) -> BufferedConnection:
        """Acquire a connection for exclusive use, opening one if needed.

        Args:
            connect_timeout_s (float): Maximum time to open a connection.
            max_idle_s (float): Maximum idle time of a reused connection;
                the connection's ``idle_limit_s`` applies if it is smaller.
                Defaults to no limit.

        Returns:
            BufferedConnection: The connection.

        Raises:
            TargetError: If none could be opened; nothing was sent.
        """
        now = self._clock.now()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now - connection.idle_since
            limit_s = min(connection.idle_limit_s, max_idle_s)
            if connection.is_usable and idle_s < limit_s:
                connection.idle_s = idle_s
                return connection
            connection.abort()
        return await self.open_connection(connect_timeout_s)

    async def open_connection(
        self, connect_timeout_s: float
    ) -> BufferedConnection:
        """Open a new connection for exclusive use.

        Args:
            connect_timeout_s (float): Maximum time to open it.

        Returns:
            BufferedConnection: The connection.

        Raises:
            TargetError: If it could not be opened.
        """
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        started_at = self._clock.now()
        try:
            descriptors.check_free(descriptors.RESERVED_BY_OTHERS)
            async with asyncio.timeout(connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: BufferedConnection(
                        self._request_id_header,
                        self._response_memory,
                        self._remove_idle,
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            raise errors.TargetError(
                f"no connection: {type(error).__name__} {error}",
                may_have_been_sent=False,
                is_refused=isinstance(error, ConnectionRefusedError),
                is_own_shortage=descriptors.is_shortage(error),
            ) from error
        if self._on_connected is not None:
            self._on_connected(self._clock.now() - started_at)
        return connection

    def _remove_idle(self, connection: BufferedConnection) -> None:
        with contextlib.suppress(ValueError):
            self._idle.remove(connection)

    def release(
        self, connection: BufferedConnection, max_idle_connections: int
    ) -> None:
        """Release a connection after its exchange.

        Args:
            connection (BufferedConnection): A connection acquired with
                ``acquire``.
            max_idle_connections (int): Maximum number of idle connections.
        """
        if not connection.is_usable:
            return
        connection.idle_since = self._clock.now()
        self._idle.append(connection)
        while len(self._idle) > max_idle_connections:
            self._idle.popleft().abort()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().abort()
