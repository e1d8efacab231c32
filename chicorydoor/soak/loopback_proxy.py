"""A TCP proxy on loopback that disturbs what passes."""

import asyncio
import contextlib
import enum

from chicorydoor.standins import ports

_CHUNK_BYTES = 64 * 1024
# Some requests pass between two cuts, others are cut at work.
_CUT_INTERVAL_S = 0.05


class Way(enum.Enum):
    """What becomes of the bytes of a proxy's connections."""

    OPEN = "open"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"


class LoopbackProxy:
    """Passes connections on to an endpoint.

    Connections that were open when a way begins are treated like new ones,
    and stay silent for good once they have lost bytes. Where connections are
    reset, all open ones are cut time and again.

    Args:
        endpoint (str): ``ip:port`` to pass on to.
        slow_s (float): Delay of each piece on a slow way. Defaults to 0.2.
    """

    def __init__(self, endpoint: str, slow_s: float = 0.2) -> None:
        self._host, _, port = endpoint.rpartition(":")
        self._port = int(port)
        self._slow_s = slow_s
        self._own_port = ports.free_ports(1)[0]
        self.endpoint = f"127.0.0.1:{self._own_port}"
        self._way = Way.OPEN
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._cutter: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to accept connections."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._own_port
        )

    async def stop(self) -> None:
        """Cut everything."""
        if self._server is not None:
            self._server.close()
        if self._cutter is not None:
            self._cutter.cancel()
        self._cut()

    def set_way(self, way: Way) -> None:
        """Change what becomes of bytes from now on."""
        self._way = way
        if way is Way.RESET and (self._cutter is None or self._cutter.done()):
            self._cutter = asyncio.create_task(self._cut_repeatedly())

    async def _cut_repeatedly(self) -> None:
        while self._way is Way.RESET:
            self._cut()
            await asyncio.sleep(_CUT_INTERVAL_S)

    def _cut(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            onward = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, onward[1]}
        passing = [
            asyncio.create_task(self._pass(reader, onward[1], False)),
            asyncio.create_task(self._pass(onward[0], writer, True)),
        ]
        try:
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in passing:
                task.cancel()
            for each in (writer, onward[1]):
                self._writers.discard(each)
                each.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        is_lost = False
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_CHUNK_BYTES):
                is_lost |= self._swallows(is_answer)
                if is_lost:
                    continue
                if self._way is Way.SLOW:
                    await asyncio.sleep(self._slow_s)
                writer.write(data)
                await writer.drain()

    def _swallows(self, is_answer: bool) -> bool:
        if self._way is Way.NO_ANSWERS:
            return is_answer
        return self._way is Way.SILENT
