"""Finds the process that opened a loopback connection, from the tables in /proc."""

import os
import pathlib
import threading
import time
from collections.abc import Iterator

import attrs

# Each table with the loopback address as the kernel prints it. IPv4 connections of dual-stack
# sockets, such as those of gRPC, are listed in the second table.
_TABLES = (
    (pathlib.Path("/proc/net/tcp"), "0100007F"),
    (pathlib.Path("/proc/net/tcp6"), "0000000000000000FFFF00000100007F"),
)
# The column after the local address holds the remote address.
_LOCAL_ADDRESS_COLUMN, _STATE_COLUMN, _INODE_COLUMN = 1, 3, 9
_NO_INODE = "0"  # Inode of sockets that no process holds, such as those in TIME_WAIT.
# A snapshot of the tables takes tens of milliseconds on a machine with many sockets.
MIN_SNAPSHOT_INTERVAL_S = 0.5
MAX_SNAPSHOT_AGE_S = 2.0


@attrs.frozen
class Connection:
    """A connection, by the port from which it was opened and the port that was listening.

    Connections to other addresses may use the same local port, so both are needed.
    """

    port: int
    listening_port: int


def _connections() -> Iterator[tuple[Connection, str]]:
    """Yields all loopback connections, each with the inode of the socket that opened it."""
    for table, loopback in _TABLES:
        prefix = f"{loopback}:"
        for line in table.read_text(encoding="ascii").splitlines()[1:]:
            columns = line.split(None, _INODE_COLUMN + 1)
            local, remote = columns[_LOCAL_ADDRESS_COLUMN:_STATE_COLUMN]
            is_loopback = local.startswith(prefix) and remote.startswith(prefix)
            if is_loopback and columns[_INODE_COLUMN] != _NO_INODE:
                ports = (int(address.removeprefix(prefix), 16) for address in (local, remote))
                yield Connection(*ports), columns[_INODE_COLUMN]


def _read_link(entry: pathlib.Path) -> str:
    try:
        return os.readlink(entry)
    except OSError:
        return ""


def _open_sockets(pid: int) -> Iterator[str]:
    """Yields the inodes of the sockets that a process has open."""
    try:
        entries = list(pathlib.Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return
    for entry in entries:
        link = _read_link(entry)
        if link.startswith("socket:["):
            yield link[len("socket:[") : -1]


class ProcessDomains:
    """Failure domain of each process that connects through the network stand-in."""

    def __init__(self) -> None:
        self._domain_by_pid: dict[int, str] = {}
        self._lock = threading.Lock()
        self._snapshot: dict[Connection, str] = {}
        self._snapshot_at = float("-inf")

    def register(self, pid: int, failure_domain: str) -> None:
        """Registers the failure domain in which a process runs, replacing an earlier one."""
        with self._lock:
            self._domain_by_pid[pid] = failure_domain
            self._snapshot_at = float("-inf")

    def find_domain(self, port: int, listening_port: int) -> str:
        """Returns the failure domain of the process connected from `port`, "" if unknown.

        Connections that are looked up at about the same time share one reading of the tables.
        """
        connection, requested_at = Connection(port, listening_port), time.monotonic()
        with self._lock:
            if requested_at > self._snapshot_at + MAX_SNAPSHOT_AGE_S:
                self._take_snapshot()
            # Others that waited for the lock meanwhile find a snapshot later than their request.
            if connection not in self._snapshot and self._snapshot_at < requested_at:
                wait_s = self._snapshot_at + MIN_SNAPSHOT_INTERVAL_S - time.monotonic()
                time.sleep(max(0.0, wait_s))
                self._take_snapshot()
            return self._snapshot.get(connection, "")

    def _take_snapshot(self) -> None:
        self._snapshot_at = time.monotonic()
        # The connections first, so that their sockets are among those that processes have open.
        inode_by_connection = dict(_connections())
        domain_by_inode = {
            inode: domain
            for pid, domain in self._domain_by_pid.items()
            for inode in _open_sockets(pid)
        }
        # A connection of which the process is not registered is known to be unknown.
        self._snapshot = {
            connection: domain_by_inode.get(inode, "")
            for connection, inode in inode_by_connection.items()
        }
