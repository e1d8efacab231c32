"""ASGI types and helpers that the package's ASGI applications share."""

from collections import abc
import typing

Scope = dict[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[dict[str, typing.Any]]]
Send = abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]]
App = abc.Callable[[Scope, Receive, Send], abc.Awaitable[None]]
Headers = abc.Sequence[tuple[bytes, bytes]]

_READ_TIME = "chicorydoor.read_time"


def set_read_time(scope: Scope, read_at: float) -> None:
    """Record when the head of a request was read.

    Args:
        scope (dict): ASGI scope of the request.
        read_at (float): Time on the system's clock, in seconds.
    """
    scope.setdefault("extensions", {})[_READ_TIME] = read_at


def read_time(scope: Scope) -> float | None:
    """Return when the head of a request was read; None if not recorded.

    Args:
        scope (dict): ASGI scope of the request.
    """
    return scope.get("extensions", {}).get(_READ_TIME)


async def send_response(
    send: Send, status: int, headers: Headers = (), body: bytes = b""
) -> None:
    """Send a complete response with its content length.

    Args:
        send (callable): ASGI ``send`` of the request.
        status (int): HTTP status.
        headers (Sequence): Names in lower case, and values. Defaults to
            none.
        body (bytes): Response body. Defaults to empty.
    """
    length = (b"content-length", b"%d" % len(body))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def read_body(receive: Receive) -> bytes:
    """Read a request's body; truncated if the caller disconnects."""
    body = bytearray()
    while True:
        event = await receive()
        body += event.get("body", b"")
        if not event.get("more_body", False):
            return bytes(body)
