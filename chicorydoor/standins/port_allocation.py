"""Allocation of free TCP ports for processes on loopback."""

import contextlib
import os
import socket

# Below the ephemeral range of common systems: an outgoing connection could
# otherwise take a port before the process that it was given to has started.
_PORTS_START, _PORTS_END = 16_000, 32_000
# Each process starts its search at another port, so that two concurrent
# processes do not allocate the same port before either uses it.
_SEARCH_START_STRIDE = 331
_allocated_ports: set[int] = set()


def allocate_ports(count: int) -> list[int]:
    """Distinct TCP ports of the loopback interface that are free.

    Within a process no port is returned twice.

    Args:
        count (int): Number of ports.

    Raises:
        OSError: If too few ports are free.
    """
    port_count = _PORTS_END - _PORTS_START
    first_offset = os.getpid() * _SEARCH_START_STRIDE
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        for offset in range(port_count):
            port = _PORTS_START + (first_offset + offset) % port_count
            if len(found) == count:
                break
            if port in _allocated_ports:
                continue
            probe_socket = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                probe_socket.bind(("127.0.0.1", port))
                found.append(port)
    if len(found) < count:
        raise OSError(f"only {len(found)} of {count} ports are free")
    _allocated_ports.update(found)
    return found
