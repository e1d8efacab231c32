"""Allocation of free ports for processes that start later."""

import socket
import subprocess
import sys

from chicorydoor.standins import port_allocation


class TestAllocatePorts:
    def test_returns_no_port_twice(self):
        """Guards against two processes that are given the same port.

        A port stays free until its process starts, so a second allocation
        could find it again, as in seed 108 of the soak.
        """
        found = [
            port
            for _ in range(60)
            for port in port_allocation.allocate_ports(5)
        ]
        assert len(set(found)) == len(found)

    def test_skips_ports_in_use(self):
        with socket.socket() as used_socket:
            (port,) = port_allocation.allocate_ports(1)
            used_socket.bind(("127.0.0.1", port))
            # Only the socket keeps the port from being found now.
            port_allocation._socket_by_port.pop(port).close()
            assert port not in port_allocation.allocate_ports(50)

    # Guards against two test runs at the same time whose entries take each
    # other's ports.
    def test_skips_ports_that_another_process_was_given(self):
        code = (
            "from chicorydoor.standins import port_allocation\n"
            "print(*port_allocation.allocate_ports(1000), flush=True)\n"
            "input()\n"
        )
        (start,) = port_allocation.allocate_ports(1)
        with subprocess.Popen(
            [sys.executable, "-c", code],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            theirs = {int(port) for port in process.stdout.readline().split()}
            assert start not in theirs
            ours = set(port_allocation.allocate_ports(2000))
            process.stdin.write("\n")
        assert not theirs & ours
