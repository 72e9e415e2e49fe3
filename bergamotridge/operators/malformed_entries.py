"""Tells operators of entries that other processes wrote and that this node cannot read."""

import threading
import time
from collections.abc import Callable

from bergamotridge import events, malformed

WINDOW_S = 60.0
MAX_EVENTS_PER_WINDOW = 20


class EventLimit:
    """Decides which reports become events: each entry once in a window, and not too many."""

    def __init__(self) -> None:
        self._started_at = float("-inf")
        self._reported: set[malformed.MalformedEntry] = set()

    def is_due(self, entry: malformed.MalformedEntry, now: float) -> bool:
        """Returns True if a report at `now` (monotonic seconds) becomes an event."""
        if now - self._started_at >= WINDOW_S:
            self._started_at = now
            self._reported.clear()
        if entry in self._reported or len(self._reported) >= MAX_EVENTS_PER_WINDOW:
            return False
        self._reported.add(entry)
        return True


class MalformedEntries:
    """Counts the reports and turns a limited number of them into events; thread-safe."""

    def __init__(
        self,
        log: events.EventLog,
        count: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Starts without reports.

        Args:
            log: Receives the events.
            count: Counts one report by the source of its entry.
            clock: Returns monotonic time in seconds.
        """
        self._log = log
        self._count = count
        self._clock = clock
        self._lock = threading.Lock()
        self._limit = EventLimit()

    def report(self, entry: malformed.MalformedEntry) -> None:
        """Counts an entry that was skipped, and emits an event if that is due."""
        self._count(entry.source)
        with self._lock:
            is_due = self._limit.is_due(entry, self._clock())
        if is_due:
            self._log.emit(
                "entry.malformed", cause=entry.reason, source=entry.source, name=entry.name
            )
