"""Streaming HTTP connections to targets, each used for one request at a time.

A connection whose request failed, timed out or was cancelled is closed and
never reused, so a late response cannot be mistaken for that of another
request. httpcore's connections are used without its pool, which would cost a
third of the time of a small request.

httpcore bounds a single head and a single trailer section, but neither the
number of informational responses nor the framing of chunks. A network stream
that counts what it receives bounds their sum.
"""

import collections
from collections import abc
import typing

import httpcore

from chicorydoor import errors
from chicorydoor.protocol import headers as http_headers
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import response_limits

_CONNECT_TIMEOUT_S = 0.5
_RECENT_USE_IDLE_LIMIT_S = 1.0
_IDLE_LIMIT_S = 4.0

Headers = list[tuple[bytes, bytes]]

_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)


class StreamingResponse:
    """A target's response whose body is streamed.

    Args:
        status (int): HTTP status.
        headers (list): Names in lower case, and values.
        body_chunks (AsyncIterator): Chunks of the body; raises ``TargetError``
            if the body is truncated.
        on_close (callable): Closes the response. Defaults to None.
    """

    def __init__(
        self,
        status: int,
        headers: Headers,
        body_chunks: abc.AsyncIterator[bytes],
        on_close: abc.Callable[[], abc.Awaitable[None]] | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body_chunks = body_chunks
        self._on_close = on_close

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return http_headers.find_header(self.headers, name)

    async def close(self) -> None:
        """Close the response; after a complete body the connection is idle."""
        if self._on_close is not None:
            await self._on_close()


class StreamingConnection(typing.Protocol):
    """A connection that carries one request at a time."""

    async def send(
        self,
        method: str,
        request_target: bytes,
        headers: Headers,
        body: bytes | abc.AsyncIterator[bytes],
        timeout_s: float,
    ) -> StreamingResponse:
        """Send a request and wait for the head of its response."""

    def is_usable(self) -> bool:
        """Whether another request may be sent."""

    async def close(self) -> None:
        """Close the connection."""


class _ReceivedBytes:
    """Counts what was received for one request."""

    def __init__(self) -> None:
        self.total = 0
        self.body = 0

    def reset(self) -> None:
        """Start anew for the next request."""
        self.total = self.body = 0

    def check_overhead(self) -> None:
        """Raise RemoteProtocolError if too much beside bodies was received.

        The parser must have handled all that was received.
        """
        if response_limits.has_excess_overhead(self.total, self.body):
            raise httpcore.RemoteProtocolError("answer is too large")


class _CountingStream(httpcore.AsyncNetworkStream):
    """A network stream that counts what it receives."""

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, received: _ReceivedBytes
    ) -> None:
        self._stream = stream
        self._received = received

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Read; the parser asks when it has handled what was read before."""
        self._received.check_overhead()
        data = await self._stream.read(max_bytes, timeout)
        self._received.total += len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> typing.Any:
        return self._stream.get_extra_info(info)


class _CountingBackend(httpcore.AnyIOBackend):
    """Opens connections whose streams count what they receive."""

    def __init__(self, received: _ReceivedBytes) -> None:
        super().__init__()
        self._received = received

    async def connect_tcp(
        self, *args: typing.Any, **kwargs: typing.Any
    ) -> httpcore.AsyncNetworkStream:
        stream = await super().connect_tcp(*args, **kwargs)
        return _CountingStream(stream, self._received)


class HttpcoreConnection:
    """A ``StreamingConnection`` over HTTP/1.1.

    Args:
        address (str): ``ip:port`` of the target.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host_header = address.encode()
        self._host = host.strip("[]").encode()
        self._port = int(port)
        origin = httpcore.Origin(b"http", self._host, self._port)
        self._received = _ReceivedBytes()
        self._connection = httpcore.AsyncHTTPConnection(
            origin, network_backend=_CountingBackend(self._received)
        )

    async def send(
        self,
        method: str,
        request_target: bytes,
        headers: Headers,
        body: bytes | abc.AsyncIterator[bytes],
        timeout_s: float,
    ) -> StreamingResponse:
        """Send a request and wait for the head of its response.

        Args:
            method (str): HTTP method.
            request_target (bytes): Request target: path and query.
            headers (list): End-to-end headers.
            body (bytes or AsyncIterator): Request body; an iterator is sent
                with chunked transfer encoding.
            timeout_s (float): Timeout in seconds of each read and write;
                connecting takes at most 0.5 s of it.

        Returns:
            StreamingResponse: The response.

        Raises:
            TargetError: If there is no response; says whether anything may
                have been sent.
        """
        request = httpcore.Request(
            method.encode(),
            httpcore.URL(
                scheme=b"http",
                host=self._host,
                port=self._port,
                target=request_target,
            ),
            headers=[
                (b"host", self._host_header),
                *headers,
                *_framing_headers(body),
            ],
            content=body,
            extensions={
                "timeout": {
                    "connect": min(timeout_s, _CONNECT_TIMEOUT_S),
                    "read": timeout_s,
                    "write": timeout_s,
                    "pool": timeout_s,
                }
            },
        )
        self._received.reset()
        try:
            response = await self._connection.handle_async_request(request)
        except _CONNECT_ERRORS as error:
            raise errors.TargetError(
                f"{error}", may_have_been_sent=False
            ) from error
        except _EXCHANGE_ERRORS as error:
            raise _to_target_error(error) from error
        if response.status not in http_headers.VALID_STATUSES:
            await response.aclose()
            raise errors.TargetError(
                f"answer has the invalid status {response.status}",
                may_have_been_sent=True,
            )
        headers = [(name.lower(), value) for name, value in response.headers]
        return StreamingResponse(
            response.status,
            headers,
            _body_chunks(response, self._received),
            response.aclose,
        )

    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        connection = self._connection
        return connection.is_idle() and not connection.has_expired()

    async def close(self) -> None:
        """Close the connection; a request in flight is aborted."""
        await self._connection.aclose()


def _framing_headers(body: bytes | abc.AsyncIterator[bytes]) -> Headers:
    if not isinstance(body, bytes):
        return [(b"transfer-encoding", b"chunked")]
    if body:
        return [(b"content-length", b"%d" % len(body))]
    return []


def _to_target_error(error: Exception) -> errors.TargetError:
    return errors.TargetError(
        f"{type(error).__name__} {error}", may_have_been_sent=True
    )


async def _body_chunks(
    response: httpcore.Response, received: _ReceivedBytes
) -> abc.AsyncIterator[bytes]:
    try:
        async for piece in response.aiter_stream():
            received.body += len(piece)
            yield piece
    except _EXCHANGE_ERRORS as error:
        raise _to_target_error(error) from error


ConnectionFactory = abc.Callable[[str], StreamingConnection]


class StreamingConnectionPool:
    """Connection pool of one target; reuses the most recently used one first.

    Args:
        address (str): ``ip:port`` of the target.
        connect (callable): Creates a connection to an address, which is
            opened by the first request.
        clock (Clock): Time source.
    """

    def __init__(
        self,
        address: str,
        connect: ConnectionFactory,
        clock: clock_module.Clock,
    ) -> None:
        self._address = address
        self._connect = connect
        self._clock = clock
        self._idle: collections.deque[tuple[float, StreamingConnection]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    def acquire(self, must_be_recently_used: bool) -> StreamingConnection:
        """Acquire a connection for exclusive use.

        Args:
            must_be_recently_used (bool): Whether to reuse only connections
                that were in use within the last second: the target may be
                about to close older ones, and then the outcome of the
                request would be unknown.
        """
        idle_limit_s = (
            _RECENT_USE_IDLE_LIMIT_S
            if must_be_recently_used
            else _IDLE_LIMIT_S
        )
        earliest_release = self._clock.now() - idle_limit_s
        while self._idle and self._idle[-1][0] > earliest_release:
            connection = self._idle.pop()[1]
            if connection.is_usable():
                return connection
        return self._connect(self._address)

    async def release(
        self, connection: StreamingConnection, max_idle_connections: int
    ) -> None:
        """Release a connection whose response was read to its end.

        Args:
            connection (StreamingConnection): A connection acquired with
                ``acquire``.
            max_idle_connections (int): Maximum number of idle connections.
        """
        self._idle.append((self._clock.now(), connection))
        while len(self._idle) > max_idle_connections:
            await self._idle.popleft()[1].close()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop()[1].close()
