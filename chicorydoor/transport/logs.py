"""Structured logging: one JSON object per line on standard output.

Logging never blocks on the reader: lines are buffered briefly and written
without blocking. Lines over the rate limit, or over the buffer size because
nobody reads them, are dropped and counted. The lines of requests leave a part
of the rate to the others.
"""

import asyncio
import logging
import os
import stat
import sys
import time

from pythonjsonlogger import msgspec as msgspec_logger

from chicorydoor.transport import metrics

# Logger of the lines that each request writes, far more than all others.
REQUEST_LOGGER = "chicorydoor.requests"

_LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
# A busy entry handles some hundred requests a second and logs a line for each.
_LINES_PER_S = 500.0
_BURST_LINES = 1000.0
# Lines that requests leave to all others, which tell of the entry's state: the
# changes of a busy second, such as the peers and targets of a large fleet.
_RESERVED_LINES = 200.0
_FLUSH_INTERVAL_S = 0.1
_MAX_BUFFER_BYTES = 1024 * 1024


class NonBlockingLogHandler(logging.Handler):
    """Rate-limited logging handler that writes without blocking.

    Args:
        descriptor (int): File descriptor. Defaults to 1, standard output.
    """

    def __init__(self, descriptor: int = 1) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._pending = bytearray()
        self._tokens = _BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped_lines = 0
        self._is_flush_scheduled = False
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or drop it over the limits."""
        if not self._acquire_token(record.name == REQUEST_LOGGER):
            self._dropped_lines += 1
            metrics.LOG_LINES_DROPPED.inc()
            return
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        self._pending += line.encode() + b"\n"
        self._schedule_flush()

    def _acquire_token(self, is_request: bool) -> bool:
        """Return whether rate and buffer admit a line; consumes a token."""
        now = time.monotonic()
        refilled_tokens = (now - self._refilled_at) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + refilled_tokens)
        self._refilled_at = now
        reserved = _RESERVED_LINES if is_request else 0.0
        if (
            self._tokens < 1 + reserved
            or len(self._pending) > _MAX_BUFFER_BYTES
        ):
            return False
        self._tokens -= 1
        return True

    def _schedule_flush(self) -> None:
        if self._is_flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_flush_scheduled = True
        loop.call_later(_FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts now."""
        self._is_flush_scheduled = False
        if self._dropped_lines:
            count, self._dropped_lines = self._dropped_lines, 0
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
            # The reader is gone.
            self._pending.clear()

    def _schedule_retry(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._is_flush_scheduled = True
        loop.call_later(_FLUSH_INTERVAL_S, self.flush)


def configure_logging(level: str, instance: str) -> None:
    """Set up logging of this process.

    Args:
        level (str): Level name of ``logging``.
        instance (str): Instance id that is added to every line.
    """
    if sys.stdout is None:
        # The process was started without standard output.
        handler = NonBlockingLogHandler()
    else:
        sys.stdout.flush()
        handler = NonBlockingLogHandler(sys.stdout.fileno())
    formatter = msgspec_logger.MsgspecFormatter(
        _LINE_FORMAT, static_fields={"instance": instance}
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in ("httpx", "httpcore", "uvicorn.access", "uvicorn.error"):
        logging.getLogger(name).setLevel(logging.WARNING)
