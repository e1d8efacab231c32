"""Logs never wait for their reader and stay within their volume."""

import json
import logging
import os

from chicorydoor.transport import logs
from chicorydoor.transport import metrics


def _record(text):
    return logging.LogRecord("n", logging.INFO, "p", 1, text, None, None)


def _dropped():
    return metrics.LOG_LINES_DROPPED._value.get()


class TestBoundedHandler:
    def _pipe(self):
        reader, writer = os.pipe()
        handler = logs.BoundedHandler(writer)
        handler.setFormatter(logging.Formatter('{"message":"%(message)s"}'))
        return reader, handler

    def test_lines_come_through(self):
        reader, handler = self._pipe()
        handler.emit(_record("one"))
        assert json.loads(os.read(reader, 1000)) == {"message": "one"}

    def test_reader_that_never_reads_does_not_block(self):
        _, handler = self._pipe()
        before = _dropped()
        for _ in range(40):
            handler._tokens = 1000.0
            for _ in range(100):
                handler.emit(_record("x" * 1000))
        assert _dropped() > before
        assert len(handler._pending) < 2 * 1024 * 1024

    def test_flood_is_cut_and_told(self):
        reader, handler = self._pipe()
        before = _dropped()
        written = b""
        for _ in range(3000):
            handler.emit(_record("y"))
            if len(written) < 10_000_000:
                os.set_blocking(reader, False)
                try:
                    written += os.read(reader, 65536)
                except BlockingIOError:
                    continue
        assert _dropped() - before > 1000
        handler._tokens = 10.0
        handler.emit(_record("last"))
        handler.flush()
        written += os.read(reader, 65536)
        messages = [json.loads(line) for line in written.splitlines()]
        told = sum(line.get("lines", 0) for line in messages)
        assert told == _dropped() - before
        assert messages[-1]["message"] in ("last", "log lines dropped")

    def test_reader_that_is_gone_is_no_error(self):
        reader, handler = self._pipe()
        os.close(reader)
        handler.emit(_record("one"))
        handler.emit(_record("two"))
        assert not handler._pending
