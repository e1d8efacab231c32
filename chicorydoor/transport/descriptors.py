"""Keeps some of the process's descriptors free for what matters most.

Each kind of connection leaves a part of the descriptors to the kinds that are
needed to serve at all: callers to peers and targets, all of them to the store.
"""

import errno
import resource
import socket

# Connections to targets and peers' connections leave these to the store and
# to files.
RESERVED_BY_OTHERS = 1 / 16


def check_free(reserved_share: float) -> None:
    """Raise an error if only reserved descriptors are free.

    A new descriptor gets the lowest number that is not in use.

    Args:
        reserved_share (float): Part of the descriptors to leave free.

    Raises:
        OSError: With EMFILE, if no other descriptor is free.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as lowest_free:
        if lowest_free.fileno() >= (1.0 - reserved_share) * limit:
            raise OSError(errno.EMFILE, "only reserved descriptors are free")


def is_shortage(error: BaseException) -> bool:
    """Whether an error says that the process has no descriptor free."""
    return isinstance(error, OSError) and error.errno in (
        errno.EMFILE,
        errno.ENFILE,
    )
