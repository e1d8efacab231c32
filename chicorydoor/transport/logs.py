"""Structured logs: one JSON object a line on standard output.

Writing never waits for the reader: lines are collected for a moment and
written without blocking. Lines beyond a rate, or that nobody reads, are left
out and counted.
"""

import asyncio
import logging
import os
import stat
import sys
import time

from pythonjsonlogger import msgspec as msgspec_logger

from chicorydoor.transport import metrics

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
# A busy entry decides on some hundred requests a second.
_LINES_PER_S = 500.0
_BURST_LINES = 1000.0
_FLUSH_S = 0.1
_BUFFER_BYTES = 1024 * 1024


class BoundedHandler(logging.Handler):
    """Writes to a file descriptor without blocking.

    Args:
        descriptor (int): Where to write. Defaults to standard output.
    """

    def __init__(self, descriptor: int = 1) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._pending = bytearray()
        self._tokens = _BURST_LINES
        self._filled_at = time.monotonic()
        self._dropped = 0
        self._is_scheduled = False
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line."""
        if not self._has_room():
            self._dropped += 1
            metrics.LOG_LINES_DROPPED.inc()
            return
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        self._pending += line.encode() + b"\n"
        self._schedule()

    def _has_room(self) -> bool:
        now = time.monotonic()
        gained = (now - self._filled_at) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1 or len(self._pending) > _BUFFER_BYTES:
            return False
        self._tokens -= 1
        return True

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_scheduled = True
        loop.call_later(_FLUSH_S, self.flush)

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._is_scheduled = False
        if self._dropped:
            count, self._dropped = self._dropped, 0
            self._pending += (
                b'{"levelname":"WARNING","message":"log lines dropped",'
                b'"lines":%d}\n' % count
            )
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending[:65536])
                del self._pending[:written]
        except BlockingIOError:
            self._schedule_retry()
        except OSError:
            # Nobody will ever read it.
            self._pending.clear()

    def _schedule_retry(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._is_scheduled = True
        loop.call_later(_FLUSH_S, self.flush)


def configure(level: str, instance: str) -> None:
    """Set up logging of this process.

    Args:
        level (str): Level name.
        instance (str): Added to every line.
    """
    sys.stdout.flush()
    handler = BoundedHandler(sys.stdout.fileno())
    formatter = msgspec_logger.MsgspecFormatter(
        _FORMAT, static_fields={"instance": instance}
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for noisy in ("httpx", "httpcore", "uvicorn.access", "uvicorn.error"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
