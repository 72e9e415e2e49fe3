"""Finds the process at the other end of a loopback connection, from the kernel's tables."""

import os
import pathlib

_TABLE = pathlib.Path("/proc/net/tcp")
_LOCAL, _INODE = 1, 9


def _inode(port: int) -> str:
    """Returns the inode of the socket whose local port is `port` on loopback, or ""."""
    wanted = f"0100007F:{port:04X}"
    for line in _TABLE.read_text(encoding="ascii").splitlines()[1:]:
        columns = line.split()
        if columns[_LOCAL] == wanted:
            return columns[_INODE]
    return ""


def _holds(pid: int, inode: str) -> bool:
    directory = pathlib.Path(f"/proc/{pid}/fd")
    try:
        return any(os.readlink(entry) == f"socket:[{inode}]" for entry in directory.iterdir())
    except OSError:
        return False


class Sources:
    """The failure domain of each process that may connect."""

    def __init__(self) -> None:
        self._domains: dict[int, str] = {}

    def register(self, pid: int, failure_domain: str) -> None:
        """Says in which failure domain a process runs."""
        self._domains[pid] = failure_domain

    def domain(self, port: int) -> str:
        """Returns the failure domain of the process whose connection has this port, or ""."""
        inode = _inode(port)
        found = (domain for pid, domain in self._domains.items() if _holds(pid, inode))
        return next(found, "") if inode else ""
