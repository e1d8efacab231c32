"""Bounds the memory that connections of callers take beside bodies.

That is data which was read but not parsed, heads, requests that wait behind
others on their connection or run, and small responses that were not taken.
Each is limited for one connection; here they are limited for all of them.
"""

import logging
import typing

from chicorydoor.transport import metrics

# Part of the memory limit of the process.
_SHARE = 0.1
# Taken where the platform names no limit.
_DEFAULT_LIMIT_BYTES = 512_000_000
# After memory was exhausted, this part of it is in use at most. Without the
# gap, all connections would be sorted again for every further read.
_SHED_TO = 0.875
# A request whose memory is below this is always admitted: it takes no more
# than the connection itself, and descriptors bound the number of these.
SMALL_REQUEST_BYTES = 24 * 1024

_LOG = logging.getLogger(__name__)


class Holder(typing.Protocol):
    """A connection that takes memory."""

    def shed(self) -> bool:
        """Drop what can be dropped; whether anything was."""


class ConnectionMemory:
    """The memory of one process for callers' connections.

    While it is exhausted, the connections that take most of it are closed
    first. Callers that send ordinary requests take little.

    Args:
        limit_bytes (int): Memory that the process may use; 0 if the platform
            names no limit. Defaults to 0.

    Attributes:
        capacity (int): Bytes that connections may take.
        used (int): Bytes that they take, as estimated.
    """

    def __init__(self, limit_bytes: int = 0) -> None:
        self.capacity = int((limit_bytes or _DEFAULT_LIMIT_BYTES) * _SHARE)
        self.used = 0
        self._size_by_holder: dict[Holder, int] = {}
        # Raised where nothing could be shed, so that not every read tries.
        self._shed_above = self.capacity

    def fits(self, size: int) -> bool:
        """Whether a further request may be begun.

        Args:
            size (int): Bytes that it takes.
        """
        return size <= SMALL_REQUEST_BYTES or self.used + size <= self.capacity

    def set_size(self, holder: Holder, size: int) -> None:
        """Record what a connection takes, and make room if need be.

        Args:
            holder (Holder): The connection.
            size (int): Bytes; 0 once it is closed.
        """
        previous = self._size_by_holder.get(holder, 0)
        if size == previous:
            return
        if size:
            self._size_by_holder[holder] = size
        else:
            del self._size_by_holder[holder]
        self.used += size - previous
        metrics.CONNECTION_MEMORY_BYTES.set(self.used)
        if self.used <= self.capacity:
            self._shed_above = self.capacity
        elif size > previous and self.used > self._shed_above:
            self._shed()

    def _shed(self) -> None:
        # What is shed lowers sizes only, so that this is not entered again.
        holders = sorted(
            self._size_by_holder.items(), key=lambda item: -item[1]
        )
        count = 0
        for holder, _ in holders:
            if self.used <= self.capacity * _SHED_TO:
                break
            count += holder.shed()
        self._shed_above = max(self.capacity, self.used + self.capacity // 16)
        metrics.CONNECTIONS_SHED.inc(count)
        _LOG.warning(
            "no memory for callers' connections",
            extra={
                "closed": count,
                "used_bytes": self.used,
                "capacity_bytes": self.capacity,
            },
        )
