"""Local TCP ports of a process, to tell whose connection a proxy has."""

import os
import pathlib

_LOCAL_ADDRESS_FIELD = 1
_INODE_FIELD = 9


def find_tcp_ports(pid: int) -> set[int]:
    """Return the local ports of all TCP sockets that a process holds.

    Args:
        pid (int): The process.

    Returns:
        set: Port numbers; none if the process has ended.
    """
    process = pathlib.Path("/proc", str(pid))
    try:
        inodes = {
            target.removeprefix("socket:[").removesuffix("]")
            for target in map(_read_link, (process / "fd").iterdir())
            if target.startswith("socket:[")
        }
        table = (process / "net" / "tcp").read_text().splitlines()[1:]
    except OSError:
        return set()
    ports = set()
    for line in table:
        fields = line.split()
        if fields[_INODE_FIELD] in inodes:
            _, _, port = fields[_LOCAL_ADDRESS_FIELD].rpartition(":")
            ports.add(int(port, 16))
    return ports


def _read_link(path: pathlib.Path) -> str:
    try:
        return os.readlink(path)
    except OSError:
        # The process has closed the descriptor.
        return ""
