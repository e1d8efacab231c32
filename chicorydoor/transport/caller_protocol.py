"""A caller's connection: bounds a request's headers in size and time.

httptools itself has no bound, so an endless header would fill memory, and
one that never ends would hold its connection for good.
"""

import asyncio
from collections import abc
import typing

from uvicorn.protocols.http import httptools_impl

_HEADERS_LARGE = (
    b"431 Request Header Fields Too Large\r\nx-chicorydoor-code: 101"
)
_HEADERS_LATE = b"408 Request Timeout\r\nx-chicorydoor-code: 106"


class ConnectionLimits(typing.NamedTuple):
    """What callers may send, and how long they may take.

    Args:
        header_bytes (int): Request line and headers. Defaults to 16 KiB.
        header_s (float): From the first byte of a request's headers to
            their end, in seconds. Defaults to 60.
        idle_s (float): Between two requests of a connection, in seconds.
            Defaults to 75.
    """

    header_bytes: int = 16 * 1024
    header_s: float = 60.0
    idle_s: float = 75.0


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """uvicorn's connection with bounds; see ``limited``."""

    limits: abc.Callable[[], ConnectionLimits]
    _pending_bytes = 0
    _in_headers = False
    _header_timer: asyncio.TimerHandle | None = None

    def on_message_begin(self) -> None:
        """A request's first byte has come."""
        self._in_headers = True
        self._start_header_timer()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """A request's headers have come."""
        self._in_headers = False
        self._pending_bytes = 0
        self._stop_header_timer()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """An answer was written; the connection may idle now."""
        self.timeout_keep_alive = self.limits().idle_s
        super().on_response_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        before = self._pending_bytes
        self._in_headers = True if before else self._in_headers
        super().data_received(data)
        if self._in_headers:
            self._pending_bytes = before + len(data)
        if self._pending_bytes > self.limits().header_bytes:
            self._refuse(_HEADERS_LARGE)

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            self.limits().header_s, self._note_headers_late
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _note_headers_late(self) -> None:
        if self._is_answering():
            self._start_header_timer()
        else:
            self._refuse(_HEADERS_LATE)

    def _is_answering(self) -> bool:
        cycle = self.cycle
        return cycle is not None and not cycle.response_complete

    def _refuse(self, status_and_code: bytes) -> None:
        # While an earlier request of the connection has no answer yet, the
        # caller would take this one for it.
        if not self._is_answering():
            self.transport.write(
                b"HTTP/1.1 " + status_and_code + b"\r\n"
                b"x-chicorydoor-outcome: not-run\r\n"
                b"content-length: 0\r\nconnection: close\r\n\r\n"
            )
        self.transport.close()


def limited(
    limits: abc.Callable[[], ConnectionLimits],
) -> type[CallerProtocol]:
    """The protocol class of a port.

    Args:
        limits (callable): The limits in force now.
    """
    attributes = {"limits": staticmethod(limits)}
    return type("LimitedProtocol", (CallerProtocol,), attributes)
