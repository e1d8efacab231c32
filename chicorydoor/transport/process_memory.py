"""Tells in the log when the process comes near its memory limit.

The platform kills a process that exceeds the limit, which then cannot tell.
"""

import logging
import os
import pathlib

from chicorydoor.transport import body_memory

# Parts of the limit: above the first a warning is due, the next one only
# after use has fallen below the second.
_WARN_SHARE = 0.8
_REARM_SHARE = 0.7
_STATM = pathlib.Path("/proc/self/statm")

_LOG = logging.getLogger(__name__)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes.

    Raises:
        OSError: If the system does not tell.
    """
    resident_pages = int(_STATM.read_bytes().split()[1])
    return resident_pages * os.sysconf("SC_PAGE_SIZE")


class ProcessMemory:
    """Compares the memory of the process with its limit.

    Args:
        limit_bytes (int): Memory above which the platform ends the process;
            0 for no limit.
        bodies (BodyMemory): The part of it that bodies take.
    """

    def __init__(
        self, limit_bytes: int, bodies: body_memory.BodyMemory
    ) -> None:
        self._limit_bytes = limit_bytes
        self._bodies = bodies
        self._has_warned = False

    def check(self) -> None:
        """Log a warning if little memory is left."""
        if not self._limit_bytes:
            return
        try:
            used = resident_bytes()
        except OSError as error:
            self._limit_bytes = 0
            _LOG.warning("memory is not watched", extra={"reason": f"{error}"})
            return
        if self._has_warned:
            self._has_warned = used > self._limit_bytes * _REARM_SHARE
        elif used > self._limit_bytes * _WARN_SHARE:
            self._has_warned = True
            _LOG.warning(
                "little memory is left",
                extra={
                    "resident_bytes": used,
                    "limit_bytes": self._limit_bytes,
                    "reserved_bytes_by_part": {
                        part.name: part.used for part in self._bodies.parts
                    },
                },
            )
