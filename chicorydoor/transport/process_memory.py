"""Compares the memory of the process with its limit.

The platform kills a process that exceeds the limit, which then cannot tell:
the log says when it comes near. What the program itself takes is left out of
the memory for bodies.
"""

import ctypes
import functools
import logging
import os

from chicorydoor.transport import body_memory
from chicorydoor.transport import connection_memory

# Parts of the limit: above the first a warning is due, the next one only
# after use has fallen below the second.
_WARN_SHARE = 0.8
_REARM_SHARE = 0.7
# While bodies and connections take less than this part of the limit, the rest
# of the resident memory is what the program takes.
_CALM_SHARE = 0.02
# Freed memory that the allocator keeps is returned to the system once it seems
# to exceed this part of the limit.
_TRIM_SHARE = 0.05
_STATM_PATH = "/proc/self/statm"
_MAX_STATM_BYTES = 256

_LOG = logging.getLogger(__name__)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes.

    Raises:
        OSError: If the system does not tell.
    """
    data = os.pread(_open_statm(), _MAX_STATM_BYTES, 0)
    resident_pages = int(data.split()[1])
    return resident_pages * os.sysconf("SC_PAGE_SIZE")


@functools.cache
def _open_statm() -> int:
    """Open the file once: later no descriptor may be free."""
    return os.open(_STATM_PATH, os.O_RDONLY)


class ProcessMemory:
    """Compares the memory of the process with its limit.

    Args:
        limit_bytes (int): Memory above which the platform ends the process;
            0 for no limit.
        bodies (BodyMemory): The part of it that bodies take.
        connections (ConnectionMemory): The part that connections take.
    """

    def __init__(
        self,
        limit_bytes: int,
        bodies: body_memory.BodyMemory,
        connections: connection_memory.ConnectionMemory,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._bodies = bodies
        self._connections = connections
        self._has_warned = False
        self._program_bytes = 0
        # Not part of every C library.
        self._malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)

    def check(self) -> None:
        """Measure what the program takes; warn if little memory is left."""
        if not self._limit_bytes:
            return
        try:
            used = resident_bytes()
        except OSError as error:
            self._limit_bytes = 0
            _LOG.warning("memory is not watched", extra={"reason": f"{error}"})
            return
        self._measure_program(used)
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

    def _measure_program(self, used: int) -> None:
        """Tell the memory for bodies what the program leaves of the limit."""
        held = self._connections.used + sum(
            part.used for part in self._bodies.parts
        )
        excess = used - held - self._program_bytes
        if self._program_bytes and excess > self._limit_bytes * _TRIM_SHARE:
            used = self._trim_freed(used)
        program_bytes = used - held
        if held > self._limit_bytes * _CALM_SHARE:
            # Memory that is reserved may not have been taken yet.
            program_bytes = max(self._program_bytes, program_bytes)
        if program_bytes != self._program_bytes:
            self._program_bytes = program_bytes
            self._bodies.set_program_bytes(program_bytes)

    def _trim_freed(self, used: int) -> int:
        """Return freed memory to the system; what is resident then."""
        if self._malloc_trim is None:
            return used
        self._malloc_trim(0)
        return resident_bytes()
