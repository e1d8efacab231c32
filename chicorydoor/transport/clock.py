"""Time sources.

Leases and grants of capacity are measured on the boot-time clock, which keeps
running while a machine is suspended; Linux's monotonic clock does not.

Example:
    >>> clock = SystemClock()
    >>> clock.now() <= clock.now()
    True
"""

import asyncio
import time
import typing


class Clock(typing.Protocol):
    """Interface of a time source."""

    def now(self) -> float:
        """Monotonic time in seconds from an arbitrary start."""

    def wall(self) -> float:
        """Seconds since the UNIX epoch; may jump."""


class SystemClock:
    """Time source on the clocks of the operating system."""

    def now(self) -> float:
        """Seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Seconds since the UNIX epoch."""
        return time.time()


class EventLoopClock:
    """Time source on the running event loop, for tests on virtual time.

    Args:
        epoch (float): Wall-clock time at loop time 0, in seconds since the
            UNIX epoch. Defaults to 1,800,000,000.
    """

    def __init__(self, epoch: float = 1_800_000_000.0) -> None:
        self._epoch = epoch

    def now(self) -> float:
        """Loop time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Loop time plus the epoch, in seconds."""
        return self._epoch + self.now()
