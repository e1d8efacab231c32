"""Partitions single entries of a ``platform_cluster`` from all targets.

Callers, the store and the other entries still reach them.
"""

import asyncio
import enum
import functools

from chicorydoor import errors
from chicorydoor.transport import buffered_connection
from tests.support import platform_cluster

# As the kernel does it with the options that connections to targets set.
_UNACKNOWLEDGED_TIMEOUT_S = 1.5
_KEEPALIVE_TIMEOUT_S = 2.5


class CutMode(enum.Enum):
    """What a cut does to connections.

    HANG loses all packets, RESET resets open connections and refuses new ones,
    REFUSE_NEW leaves open ones as they are and refuses new ones. The others
    accept new ones, as a machine in between may: RESET_ON_SEND and
    CLOSE_ON_SEND end a connection when something is sent on it,
    RESET_ACCEPTED as soon as it is open.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse-new"
    RESET_ON_SEND = "reset-on-send"
    CLOSE_ON_SEND = "close-on-send"
    RESET_ACCEPTED = "reset-accepted"


ACCEPTING_MODES = (
    CutMode.RESET_ON_SEND,
    CutMode.CLOSE_ON_SEND,
    CutMode.RESET_ACCEPTED,
)


class _LostTransport:
    """Transport of a connection whose packets are all lost."""

    def __init__(self, transport, connection):
        self._transport = transport
        self._connection = connection
        self._is_closing = False
        transport.pause_reading()
        self._time_out_after(_KEEPALIVE_TIMEOUT_S)

    def _time_out_after(self, seconds):
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._end, TimeoutError(110, "timed out"))

    def _end(self, error):
        if not self._is_closing:
            self._is_closing = True
            self._connection.connection_lost(error)

    def write(self, data):
        self._time_out_after(_UNACKNOWLEDGED_TIMEOUT_S)

    def abort(self):
        asyncio.get_running_loop().call_soon(self._end, None)

    def is_closing(self):
        return self._is_closing

    def get_write_buffer_size(self):
        return 0


class _BreakingTransport:
    """Transport of a connection that ends when something is sent on it."""

    def __init__(self, transport, connection, error):
        self._transport = transport
        self._connection = connection
        self._error = error

    def write(self, data):
        self._transport.pause_reading()
        asyncio.get_running_loop().call_later(0.001, self._end)

    def _end(self):
        if not self._transport.is_closing():
            self._connection.connection_lost(self._error)
            self._transport.abort()

    def __getattr__(self, name):
        return getattr(self._transport, name)


class TargetPartition:
    """Cuts entries from the targets of a cluster.

    Args:
        cluster (Cluster): The cluster.
        monkeypatch (MonkeyPatch): Replaces how connections are opened.
    """

    def __init__(self, cluster, monkeypatch):
        self._cluster = cluster
        self._mode_by_entry = {}
        self._connections_by_entry = {}
        open_connection = (
            buffered_connection.BufferedConnectionPool.open_connection
        )

        @functools.wraps(open_connection)
        async def open_unless_cut(pool, connect_timeout_s):
            if not self._is_target(pool):
                return await open_connection(pool, connect_timeout_s)
            entry = platform_cluster.ENTRY_NAME.get()
            await self._check_cut(entry, connect_timeout_s)
            connection = await open_connection(pool, connect_timeout_s)
            self._connections_by_entry.setdefault(entry, []).append(connection)
            mode = self._mode_by_entry.get(entry)
            if mode is not None:
                self._cut_connection(connection, mode)
            return connection

        monkeypatch.setattr(
            buffered_connection.BufferedConnectionPool,
            "open_connection",
            open_unless_cut,
        )

    def _is_target(self, pool):
        return pool._address in {
            target.address for target in self._cluster.targets
        }

    async def _check_cut(self, entry, connect_timeout_s):
        mode = self._mode_by_entry.get(entry)
        if mode is CutMode.HANG:
            await asyncio.sleep(connect_timeout_s)
            raise errors.TargetError("no connection: TimeoutError", False)
        if mode is not None and mode not in ACCEPTING_MODES:
            raise errors.TargetError(
                "no connection: refused", False, is_refused=True
            )

    def cut(self, entry, mode):
        self._mode_by_entry[entry] = mode
        for connection in self._connections_by_entry.pop(entry, []):
            if mode is not CutMode.REFUSE_NEW:
                self._cut_connection(connection, mode)

    def _cut_connection(self, connection, mode):
        transport = connection._transport
        if transport.is_closing():
            return
        if mode is CutMode.HANG:
            connection._transport = _LostTransport(transport, connection)
        elif mode is CutMode.RESET_ON_SEND:
            connection._transport = _BreakingTransport(
                transport, connection, ConnectionResetError(104, "reset")
            )
        elif mode is CutMode.CLOSE_ON_SEND:
            connection._transport = _BreakingTransport(
                transport, connection, None
            )
        else:
            transport._force_close(ConnectionResetError(104, "reset"))

    def end(self):
        self._mode_by_entry.clear()
