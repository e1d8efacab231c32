"""Closed-loop load generator of raw HTTP/1.1 requests."""

import asyncio
import time

import uvloop


class ClosedLoopLoad:
    """Sends the same request in a closed loop on each connection.

    Args:
        endpoint (str): ``ip:port``.
        request (bytes): Complete HTTP/1.1 request.
        connection_count (int): Number of concurrent connections.
        duration_s (float): Length of the run in seconds.
    """

    def __init__(
        self,
        endpoint: str,
        request: bytes,
        connection_count: int,
        duration_s: float,
    ) -> None:
        self._host, _, port = endpoint.rpartition(":")
        self._port = int(port)
        self._request = request
        self._connection_count = connection_count
        self._duration_s = duration_s
        self.response_count = 0
        self.failed = 0
        self.latencies_s: list[float] = []

    async def _run_connection(self, deadline: float) -> None:
        reader, writer = await asyncio.open_connection(self._host, self._port)
        while time.perf_counter() < deadline:
            sent_at = time.perf_counter()
            writer.write(self._request)
            response_head = await reader.readuntil(b"\r\n\r\n")
            length = _content_length(response_head)
            if length:
                await reader.readexactly(length)
            self.response_count += 1
            self.failed += b" 200 " not in response_head[:16]
            self.latencies_s.append(time.perf_counter() - sent_at)
        writer.close()

    async def _run_connections(self) -> None:
        deadline = time.perf_counter() + self._duration_s
        await asyncio.gather(
            *(
                self._run_connection(deadline)
                for _ in range(self._connection_count)
            )
        )

    def run(self) -> float:
        """Run the load and return the responses per second, of any status."""
        uvloop.run(self._run_connections())
        return self.response_count / self._duration_s

    def percentile_ms(self, fraction: float) -> float:
        """Return a percentile of the latencies in milliseconds.

        Args:
            fraction (float): Rank between 0 and 1, such as 0.99.
        """
        sorted_latencies_s = sorted(self.latencies_s)
        return round(
            1000
            * sorted_latencies_s[
                int(fraction * (len(sorted_latencies_s) - 1))
            ],
            2,
        )


def _content_length(response_head: bytes) -> int:
    """Return the body length; the head must have a content-length."""
    lower_head = response_head.lower()
    start = lower_head.index(b"content-length:") + len(b"content-length:")
    return int(lower_head[start : lower_head.index(b"\r\n", start)])
