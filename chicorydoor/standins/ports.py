"""Free ports for processes that are started on loopback."""

import contextlib
import os
import socket

# Below the range that systems use for outgoing connections, one of which
# would otherwise take a port before its process has started.
_FIRST, _LAST = 16_000, 32_000
# Each process begins at another place, so that two that run at the same time
# do not hand out the same port before either uses it.
_STRIDE = 331
_given: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Different TCP ports of the loopback interface that are free now.

    A process never gets the same port twice.

    Raises:
        OSError: If there are too few.
    """
    span = _LAST - _FIRST
    start = os.getpid() * _STRIDE
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        for offset in range(span):
            number = _FIRST + (start + offset) % span
            if len(found) == count:
                break
            if number in _given:
                continue
            probe = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                probe.bind(("127.0.0.1", number))
                found.append(number)
    if len(found) < count:
        raise OSError(f"only {len(found)} of {count} ports are free")
    _given.update(found)
    return found
