"""Free ports for processes that are started on loopback."""

import contextlib
import socket


def free_ports(count: int) -> list[int]:
    """Different TCP ports of the loopback interface that are free now."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
