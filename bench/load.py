"""A closed loop of raw HTTP requests on a number of connections."""

import asyncio
import time

import uvloop


class Load:
    """Sends one request after the other on each connection.

    Args:
        endpoint (str): ``ip:port``.
        request (bytes): Whole request.
        connections (int): Concurrent connections.
        duration_s (float): How long.
    """

    def __init__(
        self,
        endpoint: str,
        request: bytes,
        connections: int,
        duration_s: float,
    ) -> None:
        self._host, _, port = endpoint.rpartition(":")
        self._port = int(port)
        self._request = request
        self._connections = connections
        self._duration_s = duration_s
        self.finished = 0
        self.failed = 0
        self.latencies: list[float] = []

    async def _one(self, end: float) -> None:
        reader, writer = await asyncio.open_connection(self._host, self._port)
        while time.perf_counter() < end:
            began = time.perf_counter()
            writer.write(self._request)
            head = await reader.readuntil(b"\r\n\r\n")
            length = _length(head)
            if length:
                await reader.readexactly(length)
            self.finished += 1
            self.failed += b" 200 " not in head[:16]
            self.latencies.append(time.perf_counter() - began)
        writer.close()

    async def _all(self) -> None:
        end = time.perf_counter() + self._duration_s
        await asyncio.gather(
            *(self._one(end) for _ in range(self._connections))
        )

    def run(self) -> float:
        """Run the load; returns requests per second."""
        uvloop.run(self._all())
        return self.finished / self._duration_s

    def percentile(self, part: float) -> float:
        """A latency in milliseconds."""
        ordered = sorted(self.latencies)
        return round(1000 * ordered[int(part * (len(ordered) - 1))], 2)


def _length(head: bytes) -> int:
    lower = head.lower()
    start = lower.index(b"content-length:") + len(b"content-length:")
    return int(lower[start : lower.index(b"\r\n", start)])
