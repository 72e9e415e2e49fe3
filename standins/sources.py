"""Finds the process at the other end of a loopback connection, from the kernel's tables."""

import os
import pathlib

# Libraries that use sockets of both families, such as gRPC, show up in the second table.
_TABLES = (
    (pathlib.Path("/proc/net/tcp"), "0100007F"),
    (pathlib.Path("/proc/net/tcp6"), "0000000000000000FFFF00000100007F"),
)
_LOCAL, _STATE, _INODE = 1, 3, 9
_CLOSED = "0"


def _inode(port: int, listening_port: int) -> str:
    """Returns the inode of the connection from `port` to `listening_port`, or "".

    Both ports are needed: connections to other addresses may have the same port of their own.
    """
    for table, loopback in _TABLES:
        wanted = [f"{loopback}:{port:04X}", f"{loopback}:{listening_port:04X}"]
        for line in table.read_text(encoding="ascii").splitlines()[1:]:
            columns = line.split()
            if columns[_LOCAL:_STATE] == wanted and columns[_INODE] != _CLOSED:
                return columns[_INODE]
    return ""


def _link(entry: pathlib.Path) -> str:
    try:
        return os.readlink(entry)
    except OSError:
        return ""


def _holds(pid: int, inode: str) -> bool:
    try:
        entries = list(pathlib.Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return False
    return any(_link(entry) == f"socket:[{inode}]" for entry in entries)


class Sources:
    """The failure domain of each process that may connect."""

    def __init__(self) -> None:
        self._domains: dict[int, str] = {}

    def register(self, pid: int, failure_domain: str) -> None:
        """Says in which failure domain a process runs."""
        self._domains[pid] = failure_domain

    def domain(self, port: int, listening_port: int) -> str:
        """Returns the failure domain of the process that connected from `port`, or ""."""
        inode = _inode(port, listening_port)
        found = (domain for pid, domain in self._domains.items() if _holds(pid, inode))
        return next(found, "") if inode else ""
