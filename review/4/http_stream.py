"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import http

_READ_LIMIT_BYTES = 1024 * 1024


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Args:
        start (list): The three parts of the first line.
        headers (dict): Values by name in lower case.
        body (bytes): The whole body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])

    def header(self, name: str) -> str:
        """Return a header's value, empty if there is none."""
        return self.headers.get(name.lower(), "")


async def read_message(
    reader: asyncio.StreamReader, has_body: bool = True
) -> Message | None:
    """Read a message.

    Args:
        reader (StreamReader): Where to read.
        has_body (bool): False for an answer that never has one. Defaults to
            True.

    Returns:
        The message; None if the connection has ended before its first byte.

    Raises:
        ConnectionError: If it ends within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("head cut short") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), headers)
    length = int(headers.get("content-length", 0))
    if length and has_body:
        try:
            message.body = await reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("body cut short") from error
    return message


def encode_answer(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class BrokenAnswerError(Exception):
    """An answer that ends early, and its connection with it.

    Args:
        sent (bytes): What is sent of it.
    """

    def __init__(self, sent: bytes) -> None:
        super().__init__("answer broken off")
        self.sent = sent


# Answers a request; None closes the connection without an answer.
Handler = abc.Callable[[Message], abc.Awaitable[bytes | None]]


class Server:
    """Serves one port; one request at a time on a connection.

    Args:
        handle (callable): Answers a request.
        drops_with_connection (bool): Whether the work on a request ends when
            its connection closes. Defaults to False.
    """

    def __init__(
        self, handle: Handler, drops_with_connection: bool = False
    ) -> None:
        self._handle = handle
        self._drops_with_connection = drops_with_connection
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def endpoint(self) -> str:
        """``ip:port`` of the server."""
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int) -> None:
        """Listen on a port."""
        self.port = port
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=_READ_LIMIT_BYTES
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except BrokenAnswerError as error:
            writer.write(error.sent)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        if not self._drops_with_connection:
            return await self._handle(request)
        work = asyncio.ensure_future(self._handle(request))
        while not work.done():
            await asyncio.wait([work], timeout=0.05)
            if reader.at_eof() and not work.done():
                work.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await work
                return None
        return work.result()

    def abort_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop to listen and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.abort_connections()


class Connection:
    """A client's connection.

    Args:
        endpoint (str): ``ip:port`` of the server.
    """

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def exchange(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> Message | None:
        """Send a request and return its answer.

        Returns:
            The answer; None if the connection ended without one.

        Raises:
            OSError: If the connection can't be opened or breaks.
        """
        if self._streams is None:
            host, _, port = self.endpoint.rpartition(":")
            self._streams = await asyncio.open_connection(
                host, int(port), limit=_READ_LIMIT_BYTES
            )
        _, writer = self._streams
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        return await self.read_answer(method != "HEAD")

    async def read_answer(self, has_body: bool = True) -> Message | None:
        """Read the next answer, an interim one or the final one.

        Args:
            has_body (bool): False for an answer that never has a body.
                Defaults to True.

        Raises:
            ConnectionError: If the connection breaks.
        """
        if self._streams is None:
            return None
        answer = await read_message(self._streams[0], has_body)
        if answer is None or answer.header("connection") == "close":
            self.close()
        return answer

    @property
    def is_open(self) -> bool:
        """Whether the next request reuses a connection."""
        return self._streams is not None

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
