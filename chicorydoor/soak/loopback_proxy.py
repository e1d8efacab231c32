"""A TCP proxy on loopback that delays, drops or resets connections."""

import asyncio
from collections import abc
import contextlib
import enum

from chicorydoor.standins import port_allocation

_CHUNK_BYTES = 64 * 1024
# Long enough that some requests end between two resets, short enough that
# others are interrupted.
_RESET_INTERVAL_S = 0.05


class ProxyMode(enum.Enum):
    """How a proxy treats its connections.

    OPEN relays bytes unchanged, SLOW delays them, RESET aborts connections,
    SILENT drops the bytes of both directions, and NO_ANSWERS those that come
    from the endpoint.
    """

    OPEN = "open"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"


class LoopbackProxy:
    """Relays TCP connections to an endpoint.

    A mode applies to new and to open connections alike. Once one direction
    of a connection has lost bytes, that direction relays nothing more, also
    in later modes.
    In mode RESET all open connections are aborted repeatedly.

    Args:
        endpoint (str): ``ip:port`` to relay to.
        slow_s (float): Delay of each read of at most 64 KiB in mode SLOW.
            Defaults to 0.2.
    """

    def __init__(self, endpoint: str, slow_s: float = 0.2) -> None:
        self._host, _, port = endpoint.rpartition(":")
        self._port = int(port)
        self._slow_s = slow_s
        self._own_port = port_allocation.allocate_ports(1)[0]
        self.endpoint = f"127.0.0.1:{self._own_port}"
        self._mode = ProxyMode.OPEN
        self._find_cut_ports: abc.Callable[[], set[int]] = set
        self._cut_ports: set[int] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._abort_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._own_port
        )

    async def stop(self) -> None:
        """Stop accepting and abort all connections."""
        if self._server is not None:
            self._server.close()
        if self._abort_task is not None:
            self._abort_task.cancel()
        self._abort_connections()

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode of all connections from now on."""
        self._mode = mode
        if mode is ProxyMode.RESET and (
            self._abort_task is None or self._abort_task.done()
        ):
            self._abort_task = asyncio.create_task(self._abort_repeatedly())

    def cut_sources(self, find_ports: abc.Callable[[], set[int]]) -> None:
        """Drop the bytes of some sources' connections, in both directions.

        A connection that was cut once stays so.

        Args:
            find_ports (callable): Returns the source ports to cut; called now
                and for each new connection.
        """
        self._find_cut_ports = find_ports
        self._cut_ports |= find_ports()

    async def _abort_repeatedly(self) -> None:
        while self._mode is ProxyMode.RESET:
            self._abort_connections()
            await asyncio.sleep(_RESET_INTERVAL_S)

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            # Reader and writer of the connection to the endpoint.
            upstream = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        source_port = writer.get_extra_info("peername")[1]
        self._cut_ports.discard(source_port)
        self._cut_ports |= {source_port} & self._find_cut_ports()
        relays = [
            asyncio.create_task(
                self._relay(reader, upstream[1], source_port, False)
            ),
            asyncio.create_task(
                self._relay(upstream[0], writer, source_port, True)
            ),
        ]
        try:
            await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in relays:
                task.cancel()
            for stream_writer in (writer, upstream[1]):
                self._writers.discard(stream_writer)
                stream_writer.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source_port: int,
        is_answer: bool,
    ) -> None:
        has_lost_bytes = False
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_CHUNK_BYTES):
                has_lost_bytes |= (
                    self._drops(is_answer) or source_port in self._cut_ports
                )
                if has_lost_bytes:
                    continue
                if self._mode is ProxyMode.SLOW:
                    await asyncio.sleep(self._slow_s)
                writer.write(data)
                await writer.drain()

    def _drops(self, is_answer: bool) -> bool:
        """Whether the present mode drops the bytes of a direction."""
        if self._mode is ProxyMode.NO_ANSWERS:
            return is_answer
        return self._mode is ProxyMode.SILENT
