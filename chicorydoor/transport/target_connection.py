"""Connections to targets, each used for one request at a time.

A connection whose request failed, timed out or was cancelled is closed and
never used again, so a late answer cannot be taken for that of another
request. httpcore's connections are used without its pool, which would cost a
third of the time of a small request.
"""

import collections
from collections import abc
import typing

import httpcore

from chicorydoor import errors
from chicorydoor.protocol import headers as header_names
from chicorydoor.transport import clock as clock_module

_CONNECT_TIMEOUT_S = 0.5
_FRESH_FOR_S = 1.0
_IDLE_LIMIT_S = 4.0

Headers = list[tuple[bytes, bytes]]

_NOT_CONNECTED = (httpcore.ConnectError, httpcore.ConnectTimeout)
_FAILED = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)


class TargetAnswer:
    """Head of a target's answer, and its body.

    Args:
        status (int): HTTP status.
        headers (list): Names in lower case, and values.
        pieces (AsyncIterator): The body; raises ``TargetError`` if it is
            cut short.
        on_close (callable): Ends the answer. Defaults to None.
    """

    def __init__(
        self,
        status: int,
        headers: Headers,
        pieces: abc.AsyncIterator[bytes],
        on_close: abc.Callable[[], abc.Awaitable[None]] | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.pieces = pieces
        self._on_close = on_close

    def header(self, name: bytes) -> bytes | None:
        """A header's value, or None."""
        return header_names.find(self.headers, name)

    async def close(self) -> None:
        """End the answer; the connection is free after a whole body."""
        if self._on_close is not None:
            await self._on_close()


class Connection(typing.Protocol):
    """What the executor needs of a connection."""

    async def send(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes | abc.AsyncIterator[bytes],
        timeout: float,
    ) -> TargetAnswer:
        """Send a request and wait for the head of its answer."""

    def is_usable(self) -> bool:
        """Whether another request may be sent."""

    async def close(self) -> None:
        """Close the connection."""


class TargetConnection:
    """One HTTP connection.

    Args:
        address (str): ``ip:port`` of the target.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host_header = address.encode()
        self._host = host.strip("[]").encode()
        self._port = int(port)
        origin = httpcore.Origin(b"http", self._host, self._port)
        self._connection = httpcore.AsyncHTTPConnection(origin)

    async def send(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes | abc.AsyncIterator[bytes],
        timeout: float,
    ) -> TargetAnswer:
        """Send a request and wait for the head of its answer.

        Args:
            method (str): HTTP method.
            target (bytes): Path and query.
            headers (list): End-to-end headers.
            body (bytes or AsyncIterator): Request body.
            timeout (float): Seconds for each step.

        Raises:
            TargetError: If there is no answer; says whether anything was
                sent.
        """
        request = httpcore.Request(
            method.encode(),
            httpcore.URL(
                scheme=b"http",
                host=self._host,
                port=self._port,
                target=target,
            ),
            headers=[(b"host", self._host_header), *headers, *_framing(body)],
            content=body,
            extensions={
                "timeout": {
                    "connect": min(timeout, _CONNECT_TIMEOUT_S),
                    "read": timeout,
                    "write": timeout,
                    "pool": timeout,
                }
            },
        )
        try:
            response = await self._connection.handle_async_request(request)
        except _NOT_CONNECTED as error:
            raise errors.TargetError(f"{error}", sent=False) from error
        except _FAILED as error:
            raise _failure(error) from error
        headers = [(name.lower(), value) for name, value in response.headers]
        return TargetAnswer(
            response.status,
            headers,
            _pieces(response),
            response.aclose,
        )

    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        connection = self._connection
        return connection.is_idle() and not connection.has_expired()

    async def close(self) -> None:
        """Close the connection; a running request is cut."""
        await self._connection.aclose()


def _framing(body: bytes | abc.AsyncIterator[bytes]) -> Headers:
    if not isinstance(body, bytes):
        return [(b"transfer-encoding", b"chunked")]
    if body:
        return [(b"content-length", b"%d" % len(body))]
    return []


def _failure(error: Exception) -> errors.TargetError:
    return errors.TargetError(f"{type(error).__name__} {error}", sent=True)


async def _pieces(
    response: httpcore.Response,
) -> abc.AsyncIterator[bytes]:
    try:
        async for piece in response.aiter_stream():
            yield piece
    except _FAILED as error:
        raise _failure(error) from error


Connect = abc.Callable[[str], Connection]


class ConnectionList:
    """Idle connections to one target, most recently used first.

    Args:
        address (str): ``ip:port`` of the target.
        connect (callable): Makes a connection.
        clock (Clock): Time.
    """

    def __init__(
        self, address: str, connect: Connect, clock: clock_module.Clock
    ) -> None:
        self._address = address
        self._connect = connect
        self._clock = clock
        self._idle: collections.deque[tuple[float, Connection]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._idle)

    def take(self, must_be_fresh: bool) -> Connection:
        """A connection that nobody else uses.

        Args:
            must_be_fresh (bool): Not one that the target may be about to
                close, which would leave the outcome unknown.
        """
        longest = _FRESH_FOR_S if must_be_fresh else _IDLE_LIMIT_S
        oldest_use = self._clock.now() - longest
        while self._idle and self._idle[-1][0] > oldest_use:
            connection = self._idle.pop()[1]
            if connection.is_usable():
                return connection
        return self._connect(self._address)

    async def put_back(self, connection: Connection, keep: int) -> None:
        """Return a connection whose answer was read to its end.

        Args:
            connection (Connection): What ``take`` gave.
            keep (int): Most idle connections.
        """
        self._idle.append((self._clock.now(), connection))
        while len(self._idle) > keep:
            await self._idle.popleft()[1].close()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop()[1].close()
