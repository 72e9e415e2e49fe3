"""Decides which connections of a server stay open when more come than it may have."""

import enum
import heapq
import itertools
from collections.abc import Iterator
from typing import Protocol

import attrs

# A connection that was idle for less is probably about to be used: its client has just opened it,
# or has just had an answer on it.
MIN_IDLE_S = 0.5
# Connections that are asked for what has arrived on them, to find an idle one or one with an
# incomplete head that can be closed.
MAX_ASKED = 16
# A client that has been at one response for longer counts as slow.
MAX_READING_S = 10.0


class Connection(Protocol):
    """A connection of the server.

    Attributes:
        head_started_at: Time in seconds at which an incomplete head began, None if there is none.
        has_arrived: True if something has arrived that is still to be read, such as a request.
        reading_since: Time in seconds since which its client has taken a response that is too long
            to be sent at once, None if there is none.
    """

    head_started_at: float | None
    has_arrived: bool
    reading_since: float | None


class Cause(enum.Enum):
    """Why a connection is turned away."""

    FULL = "full"
    IDLE = "idle"
    HEAD = "head"
    READER = "reader"


@attrs.frozen
class Decision:
    """What follows from a new connection.

    Attributes:
        turned_away: The connection that has to be closed, None if there is room for all.
        cause: Why it is: the new one as the server is full, or another to make room.
    """

    turned_away: Connection | None = None
    cause: Cause | None = None


class ConnectionTable:
    """The open connections of one server; belongs to one event loop.

    A full server makes room for a new connection by closing the one that has been idle longest,
    then the one with the oldest incomplete head, then the one whose client has taken a response for
    longest, and for over `MAX_READING_S`. Other connections with a request stay open, also if the
    request is still to be read.
    """

    def __init__(self, limit: int) -> None:
        """Starts without connections.

        Args:
            limit: Maximum number of open connections.
        """
        self._limit = limit
        self._busy: dict[Connection, None] = {}
        # In the order in which they became idle, with the time of it.
        self._idle: dict[Connection, float] = {}

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._busy) + len(self._idle)

    def __iter__(self) -> Iterator[Connection]:
        """Iterates over a copy of the open connections."""
        return iter([*self._busy, *self._idle])

    @property
    def limit(self) -> int:
        """Maximum number of open connections."""
        return self._limit

    @property
    def busy_count(self) -> int:
        """Number of connections with a request or a part of one."""
        return len(self._busy)

    @property
    def idle_count(self) -> int:
        """Number of connections without a request or a part of one."""
        return len(self._idle)

    def admit(self, connection: Connection, now: float) -> Decision:
        """Adds a new connection if there is room for it, or room can be made.

        Args:
            connection: The new connection.
            now: Time in seconds.
        """
        decision = Decision()
        if len(self) >= self._limit:
            decision = self._make_room(connection, now)
            self.remove(decision.turned_away)
        if decision.turned_away is not connection:
            self._idle[connection] = now
        return decision

    def _make_room(self, connection: Connection, now: float) -> Decision:
        for item, since in itertools.islice(self._idle.items(), MAX_ASKED):
            if now - since < MIN_IDLE_S:
                break
            if not item.has_arrived:
                return Decision(item, Cause.IDLE)
        heads = [item for item in self._busy if item.head_started_at is not None]
        for item in heapq.nsmallest(MAX_ASKED, heads, key=lambda item: item.head_started_at):
            if not item.has_arrived:
                return Decision(item, Cause.HEAD)
        slow_before = now - MAX_READING_S
        readers = [
            item
            for item in self._busy
            if item.reading_since is not None and item.reading_since < slow_before
        ]
        if readers:
            return Decision(min(readers, key=lambda item: item.reading_since), Cause.READER)
        return Decision(connection, Cause.FULL)

    def mark_busy(self, connection: Connection) -> None:
        """Notes that a part of a request has arrived on a connection."""
        if self._idle.pop(connection, None) is not None:
            self._busy[connection] = None

    def mark_idle(self, connection: Connection, now: float) -> None:
        """Notes that a connection waits for its next request.

        Args:
            connection: The connection; one that is no longer in the table is ignored.
            now: Time in seconds.
        """
        if connection in self._busy:
            del self._busy[connection]
            self._idle[connection] = now

    def remove(self, connection: Connection) -> None:
        """Notes that a connection has ended."""
        self._busy.pop(connection, None)
        self._idle.pop(connection, None)
