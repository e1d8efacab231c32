"""Server side of a caller's connection, with limits on what is read.

httptools has no limits: endless headers or trailers would fill the memory,
and a head that never ends would hold its connection forever. uvicorn tells
only the latest request of a connection that its caller has left; here all are
told. It drops the body of a request that offers an upgrade, and takes what
follows for another request; here the offer is ignored.
It also closes a connection without regard to the requests that were read on it
but are not answered yet; here these are answered first.
"""

import asyncio
from collections import abc
import logging
import typing

import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from chicorydoor.protocol import headers as http_headers
from chicorydoor.transport import asgi
from chicorydoor.transport import caller_connection
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import connection_memory
from chicorydoor.transport import early_response
from chicorydoor.transport import message_meter

_HEADERS_TOO_LARGE = (
    b"431 Request Header Fields Too Large\r\nx-chicorydoor-code: 101"
)
_HEADERS_LATE = b"408 Request Timeout\r\nx-chicorydoor-code: 106"
_MALFORMED = b"400 Bad Request\r\nx-chicorydoor-code: 101"
_NO_MEMORY = b"503 Service Unavailable\r\nx-chicorydoor-code: 134"
_NOT_RUN = b"not-run"
_UNKNOWN = b"unknown"
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Requests that are read before the first of them is answered.
_MAX_READ_AHEAD = 8
# What a header takes beside its bytes: the pair of objects, and the lists of
# values by name.
_HEADER_OVERHEAD_BYTES = 256
# What a request takes beside its head: scope, task and events.
_REQUEST_OVERHEAD_BYTES = 4096
# A response above this, and what was written before it, has memory of its own
# (``body_memory``).
_MAX_UNRESERVED_RESPONSE_BYTES = 128 * 1024
_LOG = logging.getLogger(__name__)
_CLOCK = clock_module.SystemClock()


class ConnectionLimits(typing.NamedTuple):
    """Limits on a caller's connection.

    Args:
        header_bytes (int): Maximum size of request line and headers, and of
            the trailers behind a chunked body. Defaults to 16 KiB.
        header_timeout_s (float): Maximum time from the first byte of a
            request's headers to their end, in seconds. Defaults to 60.
        idle_timeout_s (float): Maximum idle time between two requests of a
            connection, in seconds. Defaults to 75.
    """

    header_bytes: int = 16 * 1024
    header_timeout_s: float = 60.0
    idle_timeout_s: float = 75.0


class _GatedFlow(flow_control.FlowControl):
    """Resumes reading only if the connection may read.

    Args:
        transport (Transport): The connection's transport.
        may_read (callable): Whether it may.
    """

    def __init__(
        self, transport: asyncio.Transport, may_read: abc.Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._may_read = may_read

    def resume_reading(self) -> None:
        """Resume reading, unless requests that were read have to wait."""
        if self._may_read():
            super().resume_reading()


async def _refuse_for_memory(
    scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
) -> None:
    """ASGI application of a request that there is no memory for."""
    headers = [
        (b"x-chicorydoor-code", b"134"),
        (b"x-chicorydoor-outcome", b"not-run"),
        (b"connection", b"close"),
    ]
    await asgi.send_response(send, 503, headers)


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """uvicorn's HTTP protocol with limits.

    ``bind_limits`` creates a subclass that sets the first six attributes.
    """

    limits: abc.Callable[[], ConnectionLimits]
    admit_body: abc.Callable[[asgi.Scope], bool]
    streams_bodies: bool
    memory: connection_memory.ConnectionMemory
    may_run_early: abc.Callable[[asgi.Scope], bool]
    receive_buffer_bytes: int
    _drops_body = False
    _is_reading_headers = False
    _header_timer: asyncio.TimerHandle | None = None
    # Runs while responses wait for the caller to take them.
    _write_timer: asyncio.TimerHandle | None = None
    # While the head of a request is parsed again, see _ignore_upgrade.
    _repeats_head = False
    _is_stopping = False
    # Whether requests were dropped for lack of memory; none is read any more.
    _is_shed = False
    _is_kept_by_caller = True
    # Written once all requests that were read before are answered.
    _last_response: bytes | None = None
    _connection: caller_connection.CallerConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection for the scopes of its requests."""
        stream = typing.cast(asyncio.Transport, transport)
        super().connection_made(stream)
        self.flow = _GatedFlow(stream, self._may_read)
        self._meter = message_meter.MessageMeter()
        # Data that was read and waits for the requests before it.
        self._unparsed = b""
        self._size_by_cycle: dict[
            httptools_impl.RequestResponseCycle, int
        ] = {}
        self._unfinished_cycles: list[httptools_impl.RequestResponseCycle] = []
        self._connection = caller_connection.CallerConnection(
            stream,
            self.flow.drain,
            self.pipeline,
            self.receive_buffer_bytes,
        )

    def on_message_begin(self) -> None:
        """Start the header timeout at a request's first byte."""
        if self._repeats_head:
            return
        self._is_reading_headers = True
        self._start_header_timer()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Begin a request whose head has been read, or queue it.

        It is refused if there is no memory for it, and begun early if it may
        run beside the requests before it.
        """
        if self._repeats_head:
            self._repeats_head = False
            return
        self._is_reading_headers = False
        self._stop_header_timer()
        length = http_headers.content_length(self.headers)
        if self._connection is not None:
            self._connection.add_to_scope(self.scope)
        asgi.set_read_time(self.scope, _CLOCK.now())
        size = self._head_size() + _REQUEST_OVERHEAD_BYTES
        if self.memory.fits(size):
            self._drops_body = not self.admit_body(self.scope)
        else:
            self.app = _refuse_for_memory
            self._drops_body = True
            self.headers.clear()
            size = _REQUEST_OVERHEAD_BYTES
        super().on_headers_complete()
        self.app = self.config.loaded_app
        # Only now is there a request that a refusal may end.
        self._meter.end_head(length)
        # The scope has the list of headers; trailers are not to join them.
        self.headers = []
        self._unfinished_cycles = [
            each
            for each in self._unfinished_cycles
            if not each.response_complete
        ]
        if self._unfinished_cycles:
            self._keep_open_after(self._unfinished_cycles[-1])
        self._is_kept_by_caller = self.cycle.keep_alive
        if self._is_stopping:
            self.cycle.keep_alive = False
        if self._waits(self.cycle) and self._may_run_early():
            self._run_early()
        self._unfinished_cycles.append(self.cycle)
        self._size_by_cycle[self.cycle] = size
        # uvicorn stops reading after a request that waits for an earlier one,
        # and would not see that the caller leaves.
        self.flow.resume_reading()

    def _may_run_early(self) -> bool:
        """Whether the request read last may run beside those before it.

        Behind a response that closes the connection it counts as not read.
        """
        return all(
            each.keep_alive for each in self._unfinished_cycles
        ) and self.may_run_early(self.scope)

    def _run_early(self) -> None:
        cycle, app = self.pipeline[0]
        response = early_response.EarlyResponse(
            app, cycle.scope, cycle.receive
        )
        self.pipeline[0] = (cycle, response)
        self.tasks.add(response.task)
        response.task.add_done_callback(self.tasks.discard)

    def on_body(self, body: bytes) -> None:
        """Keep a piece of a body, unless there is no memory for it."""
        self._meter.add_body(len(body))
        if not self._drops_body:
            super().on_body(body)

    def on_response_complete(self) -> None:
        """Drop what was not read of the request; apply the idle limit."""
        for cycle in self._unfinished_cycles:
            if cycle.response_complete:
                cycle.body = bytearray()
                self._size_by_cycle.pop(cycle, None)
        if self._connection is not None and self.cycle.response_complete:
            self._connection.receive_buffer.reset()
        self.timeout_keep_alive = self.limits().idle_timeout_s
        super().on_response_complete()
        self._parse_unparsed()
        if self.transport.is_closing():
            self._watch_unwritten()
        if self._last_response is not None and not self._is_responding():
            self._write_last_response()

    def on_message_complete(self) -> None:
        """Note that what follows belongs to another request."""
        if self.parser.should_upgrade():
            # The parser stops after the head; the body comes after it.
            return
        self._meter.end_message()
        super().on_message_complete()

    def shutdown(self) -> None:
        """Close the connection once all requests on it are answered.

        A request whose headers have been read in part is one of them.
        """
        self._is_stopping = True
        if self._is_responding():
            self._unfinished_cycles[-1].keep_alive = False
        elif not self._is_reading_headers:
            self.transport.close()

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request, after responses to those before it."""
        self._refuse_message(_MALFORMED)

    def pause_writing(self) -> None:
        """Let responses wait; a caller that takes none of them is left."""
        super().pause_writing()
        self._watch_unwritten()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, also if responses were not taken."""
        super().timeout_keep_alive_handler()
        self._watch_unwritten()

    def _watch_unwritten(self) -> None:
        """Abort the connection if its caller takes nothing for too long.

        Closing alone would wait for the caller to take all.
        """
        if self._write_timer is None and self._has_unwritten():
            self._write_timer = self.loop.call_later(
                self.limits().idle_timeout_s,
                self._check_unwritten,
                caller_connection.untaken_bytes(self.transport),
            )

    def _has_unwritten(self) -> bool:
        return (
            self.parser is not None
            and self.transport.get_write_buffer_size() > 0
        )

    def _check_unwritten(self, before: int) -> None:
        self._write_timer = None
        if not self._has_unwritten():
            return
        # Nothing is added while writing is paused, or after a close.
        if caller_connection.untaken_bytes(self.transport) < before or not (
            self.flow.write_paused or self.transport.is_closing()
        ):
            self._watch_unwritten()
            return
        _LOG.info(
            "caller took nothing of its responses",
            extra={"untaken_bytes": before},
        )
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End all requests of the connection; uvicorn ends the last one."""
        self._stop_header_timer()
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
        self._unparsed = b""
        self._size_by_cycle.clear()
        super().connection_lost(exc)
        for cycle in self._unfinished_cycles:
            if not cycle.response_complete:
                cycle.disconnected = True
                cycle.message_event.set()
        # No application will run them, and this object is freed only when
        # garbage is collected.
        while self.pipeline:
            _drop_unused(*self.pipeline.pop())
        self.memory.set_size(self, 0)

    def data_received(self, data: bytes) -> None:
        """Parse data and enforce the limits on what is not body."""
        self._unparsed += data
        self._parse_unparsed()

    def _parse_unparsed(self) -> None:
        """Parse what was read, up to the requests that may wait."""
        # The empty line at the end is no header.
        max_head_bytes = self.limits().header_bytes + len(b"\r\n")
        data, self._unparsed = self._unparsed, b""
        if data:
            self._unset_keepalive_if_required()
        start = 0
        while start < len(data) and self._reads_on() and self._may_parse():
            end = self._meter.next_end(data, start, max_head_bytes)
            piece = data[start:end]
            start = end
            was_body = self._meter.reads_body
            self._meter.piece_bytes = len(piece)
            self._parse(piece)
            excess = self._meter.count(piece, was_body, max_head_bytes)
            if excess is not None and self._reads_on():
                self._refuse_message(_HEADERS_TOO_LARGE)
        if self._reads_on():
            self._unparsed = data[start:]
        if self._unparsed:
            self.flow.pause_reading()
        elif (
            self.cycle is None
            or len(self.cycle.body) <= flow_control.HIGH_WATER_LIMIT
        ):
            self.flow.resume_reading()
        self._update_size()

    def _may_parse(self) -> bool:
        """Whether a further request, or more of the last one, may be read."""
        return (
            self._is_reading_headers
            or self._meter.reads_body
            or self._unfinished_count() <= _MAX_READ_AHEAD
        )

    def _may_read(self) -> bool:
        if self._unparsed or self._unfinished_count() > _MAX_READ_AHEAD:
            return False
        # Until its request is begun, nobody takes the body.
        return not self._waits(self.cycle) or (
            len(self.cycle.body) <= flow_control.HIGH_WATER_LIMIT
        )

    def _unfinished_count(self) -> int:
        return sum(
            not each.response_complete for each in self._unfinished_cycles
        )

    def _head_size(self) -> int:
        """Return what the head that is being read takes."""
        return (
            self._meter.head_bytes
            + self._meter.piece_bytes
            + _HEADER_OVERHEAD_BYTES * len(self.headers or ())
        )

    def _update_size(self) -> None:
        """Tell how much memory the connection takes beside bodies."""
        if self.parser is None:
            # The connection is lost.
            return
        if self.transport.is_closing():
            self._unparsed = b""
            self._size_by_cycle.clear()
        size = len(self._unparsed) + self._meter.framing_run
        size += sum(self._size_by_cycle.values())
        if self._is_reading_headers:
            size += self._head_size()
        unwritten = self.transport.get_write_buffer_size()
        if unwritten <= _MAX_UNRESERVED_RESPONSE_BYTES:
            size += unwritten
        self.memory.set_size(self, size)

    def shed(self) -> bool:
        """Drop what no application has; close the connection after the rest.

        Returns:
            Whether anything was dropped.
        """
        if not self._reads_on():
            return False
        reads_message = self._is_reading_headers or (
            self._meter.reads_body
            and not self.cycle.response_started
            # The status promises that the request has not run.
            and not self._may_have_run(self.cycle)
        )
        if not reads_message and not self._unparsed and not self.pipeline:
            return False
        self._unparsed = b""
        if self._is_reading_headers:
            self.scope, self.headers = {}, []
        if reads_message:
            self._refuse_message(_NO_MEMORY)
        self._drop_waiting()
        if self._last_response is None:
            self._close_after_responses()
        self._is_shed = True
        # What arrives is dropped. Closing with unread data would reset the
        # connection, and the caller might lose the responses.
        self.flow.resume_reading()
        self._update_size()
        return True

    def _close_after_responses(self) -> None:
        if self._is_responding():
            self._unfinished_cycles[-1].keep_alive = False
        else:
            self.transport.close()

    def _drop_waiting(self) -> None:
        """Drop the requests that no application has begun.

        The connection closes after the response before them, which tells
        their caller that they were not read.
        """
        while self.pipeline:
            cycle, app = self.pipeline.pop()
            self._unfinished_cycles.remove(cycle)
            self._size_by_cycle.pop(cycle, None)
            cycle.disconnected = True
            cycle.message_event.set()
            _drop_unused(cycle, app)

    def _reads_on(self) -> bool:
        """Whether further data of the connection counts."""
        return not (
            self._last_response is not None
            or self._is_shed
            or self.transport.is_closing()
        )

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            self.limits().header_timeout_s, self._on_header_timeout
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        if self._is_responding():
            self._start_header_timer()
        else:
            self._refuse_and_close(_HEADERS_LATE)

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.send_400_response("")
        except httptools.HttpParserUpgrade as upgrade:
            rest_start = upgrade.args[0]
            self._ignore_upgrade()
            self._parse(data[rest_start:])

    def _ignore_upgrade(self) -> None:
        """Read a request that offers an upgrade as one that does not.

        A parser that has seen the offer reads nothing after the head. Another
        one is given the part of the head that tells how the body is framed.
        """
        framing = [
            b"%s: %s\r\n" % header
            for header in self.scope["headers"]
            if header[0] in _FRAMING_HEADERS
        ]
        self.parser = httptools.HttpRequestParser(self)
        self._repeats_head = True
        self._parse(b"POST / HTTP/1.1\r\n" + b"".join(framing) + b"\r\n")

    def on_url(self, url: bytes) -> None:
        """Keep a piece of the URL."""
        if not self._repeats_head:
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; drop a trailer."""
        if self._is_reading_headers and not self._repeats_head:
            super().on_header(name, value)

    def _is_responding(self) -> bool:
        return any(
            not each.response_complete for each in self._unfinished_cycles
        )

    def _keep_open_after(
        self, cycle: httptools_impl.RequestResponseCycle
    ) -> None:
        """Let the response to a request that follows close the connection."""
        cycle.default_headers = []
        if self._is_stopping:
            cycle.keep_alive = self._is_kept_by_caller

    def _refuse_message(self, status_and_code: bytes) -> None:
        """Refuse the request that cannot be read on, and close.

        One that has its response gets no other, which would be taken for that
        to the request behind it.

        Args:
            status_and_code (bytes): Status and header with the result code.
        """
        if not self._meter.reads_body:
            self._refuse_and_close(status_and_code)
            return
        cycle = self.cycle
        if cycle.response_started:
            cycle.disconnected = True
            cycle.message_event.set()
            self.transport.close()
            return
        may_have_run = self._may_have_run(cycle)
        self._abandon_body()
        self._refuse_and_close(
            status_and_code, _UNKNOWN if may_have_run else _NOT_RUN
        )

    def _may_have_run(
        self, cycle: httptools_impl.RequestResponseCycle
    ) -> bool:
        """Whether a part of the request read last may be passed on."""
        return self.streams_bodies and not self._waits(cycle)

    def _waits(self, cycle: httptools_impl.RequestResponseCycle) -> bool:
        """Whether the request read last waits for those before it."""
        return bool(self.pipeline) and self.pipeline[0][0] is cycle

    def _abandon_body(self) -> None:
        """End the request whose body cannot be read on."""
        cycle = self._unfinished_cycles.pop()
        self._size_by_cycle.pop(cycle, None)
        if self._waits(cycle):
            _drop_unused(*self.pipeline.popleft())
        cycle.disconnected = True
        cycle.message_event.set()

    def _refuse_and_close(
        self, status_and_code: bytes, outcome: bytes = _NOT_RUN
    ) -> None:
        """Refuse what was read, after responses to the requests before it.

        Nothing more is read.

        Args:
            status_and_code (bytes): Status and header with the result code.
            outcome (bytes): Whether it ran. Defaults to not.
        """
        self._stop_header_timer()
        self._last_response = (
            b"HTTP/1.1 " + status_and_code + b"\r\n"
            b"x-chicorydoor-outcome: " + outcome + b"\r\n"
            b"content-length: 0\r\nconnection: close\r\n\r\n"
        )
        if not self._is_responding():
            self._write_last_response()

    def _write_last_response(self) -> None:
        if self._last_response is not None and not self.transport.is_closing():
            self.transport.write(self._last_response)
        self.transport.close()
        self._watch_unwritten()


def _drop_unused(
    cycle: httptools_impl.RequestResponseCycle, app: typing.Any
) -> None:
    """Drop what was kept for a request whose turn will not come."""
    if isinstance(app, early_response.EarlyResponse):
        app.abandon()
    cycle.body = bytearray()
    cycle.scope.get("extensions", {}).clear()


def bind_limits(
    limits: abc.Callable[[], ConnectionLimits],
    admit_body: abc.Callable[[asgi.Scope], bool] = lambda scope: True,
    streams_bodies: bool = False,
    memory: connection_memory.ConnectionMemory | None = None,
    may_run_early: abc.Callable[[asgi.Scope], bool] = lambda scope: False,
    receive_buffer_bytes: int = 0,
) -> type[CallerProtocol]:
    """Return a protocol class bound to a source of limits.

    Args:
        limits (callable): Returns the current limits.
        admit_body (callable): Called with the scope of a request before its
            body is read; returns whether to keep what is read of it. Defaults
            to one that keeps all.
        streams_bodies (bool): Whether the application may pass on a part of
            a body before its end was read. Defaults to False.
        memory (ConnectionMemory): Memory of the connections. Defaults to a
            new one.
        may_run_early (callable): Called with the scope of a request that was
            read before earlier ones were answered; returns whether it may run
            beside them. Its caller may send it again. Defaults to never.
        receive_buffer_bytes (int): Size of a connection's receive buffer
            while no memory is reserved for a body. Defaults to 0: the kernel
            decides.
    """
    attributes = {
        "limits": staticmethod(limits),
        "admit_body": staticmethod(admit_body),
        "streams_bodies": streams_bodies,
        "memory": memory or connection_memory.ConnectionMemory(),
        "may_run_early": staticmethod(may_run_early),
        "receive_buffer_bytes": receive_buffer_bytes,
    }
    return type("LimitedProtocol", (CallerProtocol,), attributes)
