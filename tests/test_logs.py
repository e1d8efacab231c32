"""Logging never blocks on its reader and stays within its rate limit."""

import json
import logging
import os

from chicorydoor.transport import logs
from chicorydoor.transport import metrics


def _log_record(text):
    return logging.LogRecord("n", logging.INFO, "p", 1, text, None, None)


def _dropped_lines():
    return metrics.LOG_LINES_DROPPED._value.get()


class TestNonBlockingLogHandler:
    def _handler_on_pipe(self):
        reader, writer = os.pipe()
        handler = logs.NonBlockingLogHandler(writer)
        handler.setFormatter(logging.Formatter('{"message":"%(message)s"}'))
        return reader, handler

    def test_line_is_written(self):
        reader, handler = self._handler_on_pipe()
        handler.emit(_log_record("one"))
        assert json.loads(os.read(reader, 1000)) == {"message": "one"}

    def test_reader_that_does_not_read_does_not_block_logging(self):
        _, handler = self._handler_on_pipe()
        before = _dropped_lines()
        for _ in range(40):
            # Full again, so that lines are dropped for the buffer's limit.
            handler._tokens = 1000.0
            for _ in range(100):
                handler.emit(_log_record("x" * 1000))
        assert _dropped_lines() > before
        assert len(handler._pending) < 2 * 1024 * 1024

    def test_lines_over_the_rate_are_dropped_and_counted(self):
        reader, handler = self._handler_on_pipe()
        before = _dropped_lines()
        read_data = b""
        for _ in range(3000):
            handler.emit(_log_record("y"))
            if len(read_data) < 10_000_000:
                os.set_blocking(reader, False)
                try:
                    read_data += os.read(reader, 65536)
                except BlockingIOError:
                    continue
        assert _dropped_lines() - before > 1000
        # Admits a last line, which is flushed with the count of dropped ones.
        handler._tokens = 10.0
        handler.emit(_log_record("last"))
        handler.flush()
        read_data += os.read(reader, 65536)
        messages = [json.loads(line) for line in read_data.splitlines()]
        reported = sum(line.get("lines", 0) for line in messages)
        assert reported == _dropped_lines() - before
        assert messages[-1]["message"] in ("last", "log lines dropped")

    def test_requests_leave_room_for_changes_of_state(self):
        _, handler = self._handler_on_pipe()
        request = _log_record("request")
        request.name = logs.REQUEST_LOGGER
        for _ in range(3000):
            handler.emit(request)
        before = _dropped_lines()
        for _ in range(100):
            handler.emit(_log_record("configuration in force"))
        assert _dropped_lines() == before

    def test_closed_reader_is_no_error(self):
        reader, handler = self._handler_on_pipe()
        os.close(reader)
        handler.emit(_log_record("one"))
        handler.emit(_log_record("two"))
        assert not handler._pending
