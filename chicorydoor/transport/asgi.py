"""The parts of ASGI that the package's small applications share."""

from collections import abc
import typing

Scope = dict[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[dict[str, typing.Any]]]
Send = abc.Callable[[dict[str, typing.Any]], abc.Awaitable[None]]
Headers = abc.Sequence[tuple[bytes, bytes]]


async def send_answer(
    send: Send, status: int, headers: Headers = (), body: bytes = b""
) -> None:
    """Send a whole answer with its length.

    Args:
        send (callable): Of the application's call.
        status (int): HTTP status.
        headers (Sequence): Names in lower case, and values. Defaults to
            none.
        body (bytes): Defaults to empty.
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
    """A request's whole body; what came of it if the caller leaves."""
    body = bytearray()
    while True:
        event = await receive()
        body += event.get("body", b"")
        if not event.get("more_body", False):
            return bytes(body)
