"""Connections to targets, each carrying one request at a time.

The framing of answers is checked here: an answer counts only if it is whole
and bears the id of the request. A connection on which anything else was seen
is closed and never used again.
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
from chicorydoor.protocol import headers as header_names
from chicorydoor.transport import clock as clock_module

Headers = list[tuple[bytes, bytes]]

# A lost packet costs one retransmission of about 0.2 s; a peer that has not
# acknowledged anything for this long is gone.
_UNACKNOWLEDGED_MS = 1500
# Notice within three seconds that a silent target has vanished.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Targets close idle connections after the time that they state; a request
# that crosses the close would have an unknown outcome.
_IDLE_MARGIN_S = 1.5
_DEFAULT_IDLE_S = 4.0
_ANSWER_LIMIT_BYTES = 32 * 1024 * 1024
_INFORMATIONAL = range(100, 200)
_SUCCESS = range(200, 300)


class WholeAnswer(msgspec.Struct):
    """A target's complete answer.

    Args:
        headers (list): Names in lower case, and values.
    """

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """A header's value, or None."""
        return header_names.find(self.headers, name)


class _Message:
    """An answer as it arrives."""

    def __init__(self) -> None:
        self.headers: Headers = []
        self.pieces: list[bytes] = []
        self.size = 0
        self.has_head = False
        self.is_complete = False

    def header(self, name: bytes) -> bytes | None:
        return header_names.find(self.headers, name)

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends it."""
        is_framed = (
            self.header(b"content-length") is not None
            or self.header(b"transfer-encoding") is not None
        )
        return self.has_head and not is_framed


class TargetChannel(asyncio.Protocol):
    """One HTTP/1.1 connection to a target.

    Args:
        request_id_header (bytes): Header in which targets echo the id of
            a request.
        on_unusable (callable): Called once when no further request may be
            sent. Defaults to None.
    """

    def __init__(
        self,
        request_id_header: bytes,
        on_unusable: abc.Callable[["TargetChannel"], None] | None = None,
    ) -> None:
        self._request_id_header = request_id_header
        self._on_unusable = on_unusable
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._message = _Message()
        self._waiting: asyncio.Future[WholeAnswer] | None = None
        self._expected_id = b""
        self._is_head_request = False
        self._is_clean = True
        self._has_sent = False
        self.idle_limit_s = _DEFAULT_IDLE_S
        self.idle_since = 0.0
        # How long it had rested before its present use.
        self.rested_s = 0.0

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self._transport = typing.cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            _detect_vanished_peer(raw)

    def data_received(self, data: bytes) -> None:
        """Bytes of an answer came, or bytes that belong to none."""
        if self._waiting is None:
            self._spoil()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            self._fail(f"answer is not HTTP: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended; that may be an answer's end."""
        self._is_clean = False
        if self._waiting is not None and exc is None:
            if self._message.ends_with_connection:
                self._complete()
        reason = f"connection lost: {exc}" if exc else "connection closed"
        self._fail(reason, isinstance(exc, TimeoutError))
        self._note_unusable()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Another answer begins."""
        if self._message.is_complete:
            self._is_clean = False
        self._message = _Message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header was read."""
        self._message.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """The head of an answer was read."""
        self._message.has_head = True
        status = self._parser.get_status_code()
        if self._is_head_request and status not in _INFORMATIONAL:
            self._is_clean = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """A piece of a body was read."""
        message = self._message
        message.pieces.append(body)
        message.size += len(body)
        if message.size > _ANSWER_LIMIT_BYTES:
            self._fail("answer is too large")

    def on_message_complete(self) -> None:
        """An answer was read to its end."""
        if self._parser.get_status_code() in _INFORMATIONAL:
            return
        self._message.is_complete = True
        self._complete()

    def _complete(self) -> None:
        """Hand over a whole answer, unless it belongs to another request."""
        if self._waiting is None or self._waiting.done():
            self._is_clean = False
            return
        message = self._message
        status = self._parser.get_status_code()
        echoed = message.header(self._request_id_header)
        if echoed is not None and echoed != self._expected_id:
            # Late answer to an earlier request; the own one may follow.
            self._is_clean = False
            return
        if echoed is None and status in _SUCCESS and self._expected_id:
            self._fail("answer names no request")
            return
        self._note_reuse(message)
        answer = WholeAnswer(status, message.headers, b"".join(message.pieces))
        self._waiting.set_result(answer)

    def _note_reuse(self, message: _Message) -> None:
        assert self._transport is not None
        if message.header(b"connection") == b"close":
            self._is_clean = False
        elif not self._parser.should_keep_alive():
            self._is_clean = False
        elif self._transport.get_write_buffer_size() > 0:
            self._is_clean = False
        stated = _stated_idle_s(message.header(b"keep-alive"))
        if stated is not None:
            self.idle_limit_s = max(0.0, stated - _IDLE_MARGIN_S)

    def _fail(self, reason: str, is_vanished: bool = False) -> None:
        self._is_clean = False
        waiting = self._waiting
        if waiting is not None and not waiting.done():
            waiting.set_exception(
                errors.TargetError(reason, self._has_sent, is_vanished)
            )
        self.abort()

    def _spoil(self) -> None:
        """Bytes came that belong to no request."""
        self._is_clean = False
        self.abort()

    def _note_unusable(self) -> None:
        callback, self._on_unusable = self._on_unusable, None
        if callback is not None:
            callback(self)

    # Called by the owner.

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self._is_clean
            and self._waiting is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    async def exchange(
        self, request: bytes, request_id: bytes, is_head: bool = False
    ) -> WholeAnswer:
        """Send a request and wait for its whole answer.

        Args:
            request (bytes): Head and body.
            request_id (bytes): Id that the answer must bear; empty if
                none is expected.
            is_head (bool): Whether the answer has no body in any case.
                Defaults to False.

        Raises:
            TargetError: If no whole answer came; says whether any byte was
                handed to the network.
        """
        transport = self._transport
        if transport is None or not self.is_usable:
            raise errors.TargetError("connection was closed", sent=False)
        self._waiting = asyncio.get_running_loop().create_future()
        self._message = _Message()
        self._expected_id = request_id
        self._is_head_request = is_head
        self._has_sent = True
        transport.write(request)
        try:
            return await self._waiting
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._waiting = None
            if not self._is_clean:
                self.abort()

    def abort(self) -> None:
        """Close at once; a target at work sees its caller leave."""
        self._is_clean = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        self._note_unusable()


def _stated_idle_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            with contextlib.suppress(ValueError):
                return float(number)
    return None


def _detect_vanished_peer(raw: socket.socket) -> None:
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
    )
    for level, option, value in options:
        raw.setsockopt(level, option, value)


class ChannelPool:
    """Connections to one target, the most recently used one first.

    Args:
        address (str): ``ip:port`` of the target.
        request_id_header (bytes): Header in which targets echo an id.
        clock (Clock): Time.
        on_connected (callable): Gets the seconds that opening a connection
            took. Defaults to None.
    """

    def __init__(
        self,
        address: str,
        request_id_header: bytes,
        clock: clock_module.Clock,
        on_connected: abc.Callable[[float], None] | None = None,
    ) -> None:
        self._address = address
        self._on_connected = on_connected
        self._request_id_header = request_id_header
        self._clock = clock
        self._idle: collections.deque[TargetChannel] = collections.deque()

    async def take(
        self, connect_timeout_s: float, most_idle_s: float = float("inf")
    ) -> TargetChannel:
        """A connection that nobody else uses.

        Args:
            connect_timeout_s (float): Longest time to open one.
            most_idle_s (float): Longest rest of one that is open. Defaults
                to what its target allows.

        Raises:
            TargetError: If none could be opened; nothing was sent.
        """
        now = self._clock.now()
        while self._idle:
            channel = self._idle.pop()
            idle_s = now - channel.idle_since
            limit_s = min(channel.idle_limit_s, most_idle_s)
            if channel.is_usable and idle_s < limit_s:
                channel.rested_s = idle_s
                return channel
            channel.abort()
        return await self._open(connect_timeout_s)

    async def _open(self, connect_timeout_s: float) -> TargetChannel:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        started_at = self._clock.now()
        try:
            async with asyncio.timeout(connect_timeout_s):
                _, channel = await loop.create_connection(
                    lambda: TargetChannel(
                        self._request_id_header, self._forget
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            raise errors.TargetError(
                f"no connection: {type(error).__name__} {error}", sent=False
            ) from error
        if self._on_connected is not None:
            self._on_connected(self._clock.now() - started_at)
        return channel

    def _forget(self, channel: TargetChannel) -> None:
        with contextlib.suppress(ValueError):
            self._idle.remove(channel)

    def put_back(self, channel: TargetChannel, keep: int) -> None:
        """Return a connection after its exchange.

        Args:
            channel (TargetChannel): What ``take`` gave.
            keep (int): Most idle connections.
        """
        if not channel.is_usable:
            return
        channel.idle_since = self._clock.now()
        self._idle.append(channel)
        while len(self._idle) > keep:
            self._idle.popleft().abort()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().abort()
