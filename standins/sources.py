"""Finds the process that opened a loopback connection, from the tables in /proc."""

import os
import pathlib

# Each table with the loopback address as the kernel prints it. IPv4 connections of dual-stack
# sockets, such as those of gRPC, are listed in the second table.
_TABLES = (
    (pathlib.Path("/proc/net/tcp"), "0100007F"),
    (pathlib.Path("/proc/net/tcp6"), "0000000000000000FFFF00000100007F"),
)
# The column after the local address holds the remote address.
_LOCAL_ADDRESS_COLUMN, _STATE_COLUMN, _INODE_COLUMN = 1, 3, 9
_NO_INODE = "0"  # Inode of sockets that no process holds, such as those in TIME_WAIT.


def _find_inode(port: int, listening_port: int) -> str:
    """Returns the inode of the socket connected from `port` to `listening_port`, or "".

    Both ports are compared, because connections to other addresses may use the same local port.
    """
    for table, loopback in _TABLES:
        addresses = [f"{loopback}:{port:04X}", f"{loopback}:{listening_port:04X}"]
        for line in table.read_text(encoding="ascii").splitlines()[1:]:
            columns = line.split()
            if (
                columns[_LOCAL_ADDRESS_COLUMN:_STATE_COLUMN] == addresses
                and columns[_INODE_COLUMN] != _NO_INODE
            ):
                return columns[_INODE_COLUMN]
    return ""


def _read_link(entry: pathlib.Path) -> str:
    try:
        return os.readlink(entry)
    except OSError:
        return ""


def _has_socket_open(pid: int, inode: str) -> bool:
    try:
        entries = list(pathlib.Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return False
    return any(_read_link(entry) == f"socket:[{inode}]" for entry in entries)


class ProcessDomains:
    """Failure domain of each process that connects through the network stand-in."""

    def __init__(self) -> None:
        self._domain_by_pid: dict[int, str] = {}

    def register(self, pid: int, failure_domain: str) -> None:
        """Registers the failure domain in which a process runs, replacing an earlier one."""
        # A new map, as connections iterate over the present one in other threads.
        self._domain_by_pid = {**self._domain_by_pid, pid: failure_domain}

    def find_domain(self, port: int, listening_port: int) -> str:
        """Returns the failure domain of the process connected from `port`, "" if unknown."""
        inode = _find_inode(port, listening_port)
        matches = (
            domain for pid, domain in self._domain_by_pid.items() if _has_socket_open(pid, inode)
        )
        return next(matches, "") if inode else ""
