"""Allocation of free TCP ports for processes on loopback."""

import contextlib
import os
import socket

# Below the ephemeral range of common systems: an outgoing connection could
# otherwise take a port before the process that it was given to has started.
# Scripts of the review choose theirs at random from 16,000 on.
_PORTS_START, _PORTS_END = 6_000, 16_000
# Each process starts its search at another port, so that two concurrent
# processes do not allocate the same port before either uses it.
_SEARCH_START_STRIDE = 331
# Bound to each allocated port, so that no other process allocates it.
_RESERVATION_ADDRESS = "127.0.0.99"
_socket_by_port: dict[int, socket.socket] = {}


def allocate_ports(count: int) -> list[int]:
    """Distinct TCP ports of the loopback interface that are free.

    No port is returned twice, neither within a process nor to two processes
    that run at the same time.

    Args:
        count (int): Number of ports.

    Raises:
        OSError: If too few ports are free.
    """
    port_count = _PORTS_END - _PORTS_START
    first_offset = os.getpid() * _SEARCH_START_STRIDE
    found: list[int] = []
    for offset in range(port_count):
        if len(found) == count:
            return found
        port = _PORTS_START + (first_offset + offset) % port_count
        if port not in _socket_by_port and _reserve(port):
            found.append(port)
    raise OSError(f"only {len(found)} of {count} ports are free")


def _reserve(port: int) -> bool:
    """Reserve a port for this process if it is free."""
    with contextlib.ExitStack() as stack:
        reservation = stack.enter_context(socket.socket())
        probe_socket = stack.enter_context(socket.socket())
        try:
            reservation.bind((_RESERVATION_ADDRESS, port))
            probe_socket.bind(("127.0.0.1", port))
        except OSError:
            return False
        probe_socket.close()
        _socket_by_port[port] = reservation
        stack.pop_all()
    return True
