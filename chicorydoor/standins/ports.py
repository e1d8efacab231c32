"""Free ports for processes that are started on loopback."""

import contextlib
import random
import socket

# Below the range that systems use for outgoing connections, one of which
# would otherwise take a port before its process has started.
_FIRST, _LAST = 18_000, 32_000
_RNG = random.SystemRandom()


def free_ports(count: int) -> list[int]:
    """Different TCP ports of the loopback interface that are free now."""
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            number = _RNG.randrange(_FIRST, _LAST)
            probe = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                probe.bind(("127.0.0.1", number))
                found.append(number)
    return found
