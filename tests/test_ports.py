"""Ports for processes that start later."""

import socket

from chicorydoor.standins import ports


class TestFreePorts:
    def test_never_the_same_twice(self):
        """Seed 108 of the soak: two processes were told the same port."""
        found = [port for _ in range(60) for port in ports.free_ports(5)]
        assert len(set(found)) == len(found)

    def test_not_one_that_is_in_use(self):
        with socket.socket() as used:
            (number,) = ports.free_ports(1)
            used.bind(("127.0.0.1", number))
            ports._allocated_ports.discard(number)
            assert number not in ports.free_ports(50)
