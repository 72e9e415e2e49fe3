"""Cancellation that follows a call down its tree."""

import threading
from collections.abc import Callable


class Token:
    """Tells the parts of one call that its answer is no longer wanted.

    A child token is cancelled with its parent. Callbacks run once, in the thread that cancels.
    """

    def __init__(self, parent: "Token | None" = None) -> None:
        self.event = threading.Event()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._next = 0
        self._parent = parent
        self._registration = parent.on_cancel(self.cancel) if parent else -1

    @property
    def cancelled(self) -> bool:
        """True once the call has been cancelled."""
        return self.event.is_set()

    def on_cancel(self, callback: Callable[[], None]) -> int:
        """Registers a callback and returns its registration; runs it now if already cancelled."""
        with self._lock:
            if not self.event.is_set():
                self._next += 1
                self._callbacks[self._next] = callback
                return self._next
        callback()
        return -1

    def remove(self, registration: int) -> None:
        """Forgets a callback."""
        with self._lock:
            self._callbacks.pop(registration, None)

    def cancel(self) -> None:
        """Cancels the call and all calls below it."""
        with self._lock:
            if self.event.is_set():
                return
            self.event.set()
            callbacks = list(self._callbacks.values())
            self._callbacks.clear()
        for callback in callbacks:
            callback()

    def close(self) -> None:
        """Detaches from the parent once the call is over."""
        if self._parent is not None:
            self._parent.remove(self._registration)
