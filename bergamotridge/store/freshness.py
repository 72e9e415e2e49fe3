"""How current a node's replicas are: the latest time as of which each is known to be complete."""

import threading
from collections.abc import Callable

NEVER = float("-inf")


class Freshness:
    """Latest known `as of` time of each kind of objects; safe to use from any thread.

    A replica that is current as of a time held, at that time, the latest version that the platform
    had. All times are those of `clock.boot_time` on this host, in seconds.
    """

    def __init__(self) -> None:
        """Starts without any known time."""
        self._lock = threading.Lock()
        self._as_of: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, callback: Callable[[], None]) -> None:
        """Registers a callback for progress; it runs in the thread that reports the progress."""
        self._listeners.append(callback)

    def as_of(self, kind: str) -> float:
        """Returns the time as of which the replica of a kind is current, `NEVER` if unknown."""
        with self._lock:
            return self._as_of.get(kind, NEVER)

    def was_current(self, kind: str) -> bool:
        """Returns True if the replica of a kind was ever known to be current."""
        return self.as_of(kind) > NEVER

    def ages(self, now: float) -> dict[str, float]:
        """Returns the age in seconds of each replica that was ever known to be current, by kind."""
        with self._lock:
            return {kind: max(0.0, now - as_of) for kind, as_of in self._as_of.items()}

    def confirm(self, kind: str, as_of: float) -> bool:
        """Records that the replica of a kind is current as of a time; an earlier time is ignored.

        Returns:
            True if the time is later than the one known before.
        """
        with self._lock:
            if as_of <= self._as_of.get(kind, NEVER):
                return False
            self._as_of[kind] = as_of
        for callback in self._listeners:
            callback()
        return True
