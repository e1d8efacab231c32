"""Connections to targets, each used for one request at a time.

A connection whose request failed, timed out or was cancelled is closed and
never used again, so a late answer cannot be taken for that of another
request.
"""

import collections
from collections import abc
import ssl
import typing

import httpx

from chicorydoor import errors
from chicorydoor.transport import clock as clock_module

_CONNECT_TIMEOUT_S = 0.5
_FRESH_FOR_S = 1.0
_IDLE_LIMIT_S = 4.0

# Targets speak plain HTTP; making a context for each connection is slow.
_NO_TLS = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

Headers = list[tuple[bytes, bytes]]


class TargetConnection:
    """One HTTP connection.

    Args:
        address (str): ``ip:port`` of the target.
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._host = address.encode()
        self._transport = httpx.AsyncHTTPTransport(
            limits=httpx.Limits(
                max_connections=1, max_keepalive_connections=1
            ),
            verify=_NO_TLS,
            trust_env=False,
        )

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | abc.AsyncIterator[bytes],
        timeout: float,
    ) -> httpx.Response:
        """Send a request and wait for the head of its answer.

        Args:
            method (str): HTTP method.
            target (str): Path and query.
            headers (list): End-to-end headers.
            body (bytes or AsyncIterator): Request body.
            timeout (float): Seconds for each step.

        Raises:
            TargetError: If there is no answer; says whether anything was
                sent.
        """
        request = httpx.Request(
            method,
            self._base + target,
            headers=[(b"host", self._host), *headers],
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
            return await self._transport.handle_async_request(request)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise errors.TargetError(f"{error}", sent=False) from error
        except httpx.HTTPError as error:
            reason = f"{type(error).__name__} {error}"
            raise errors.TargetError(reason, sent=True) from error

    async def close(self) -> None:
        """Close the connection; a running request is cut."""
        await self._transport.aclose()


class Connection(typing.Protocol):
    """What the executor needs of a connection."""

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | abc.AsyncIterator[bytes],
        timeout: float,
    ) -> httpx.Response:
        """Send a request and wait for the head of its answer."""

    async def close(self) -> None:
        """Close the connection."""


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
        if self._idle and self._idle[-1][0] > oldest_use:
            return self._idle.pop()[1]
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
