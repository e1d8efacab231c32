"""Clocks.

Leases and grants are measured on the boot-time clock, which goes on while a
machine is suspended; Linux' monotonic clock does not.

Example:
    >>> clock = SystemClock()
    >>> clock.now() <= clock.now()
    True
"""

import asyncio
import time
import typing


class Clock(typing.Protocol):
    """Where a component gets its time from."""

    def now(self) -> float:
        """Seconds from an arbitrary start; never goes back."""

    def wall(self) -> float:
        """Seconds since the UNIX epoch; may jump."""


class SystemClock:
    """The machine's clocks."""

    def now(self) -> float:
        """Seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Seconds since the UNIX epoch."""
        return time.time()


class LoopClock:
    """Follows the running event loop, for tests on virtual time.

    Args:
        epoch (float): Wall time at loop time 0, in seconds. Defaults to
            1,800,000,000.
    """

    def __init__(self, epoch: float = 1_800_000_000.0) -> None:
        self._epoch = epoch

    def now(self) -> float:
        """Loop time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Loop time moved to the epoch, in seconds."""
        return self._epoch + self.now()
