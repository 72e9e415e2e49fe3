"""Cancellation that follows a call down its tree."""

import threading
from collections.abc import Callable

# Held for a few instructions at a time, so one lock serves all tokens.
_lock = threading.Lock()


class Token:
    """Tells the parts of one call that its answer is no longer wanted.

    A child token is cancelled with its parent. Callbacks run once, in the thread that cancels.
    """

    __slots__ = ("_callbacks", "_cancelled", "_next", "_parent", "_registration")

    def __init__(self, parent: "Token | None" = None) -> None:
        self._cancelled = False
        self._callbacks: dict[int, Callable[[], None]] | None = None
        self._next = 0
        self._parent = parent
        self._registration = parent.on_cancel(self.cancel) if parent else -1

    @property
    def cancelled(self) -> bool:
        """True once the call has been cancelled."""
        return self._cancelled

    def on_cancel(self, callback: Callable[[], None]) -> int:
        """Registers a callback and returns its registration; runs it now if already cancelled."""
        with _lock:
            if not self._cancelled:
                if self._callbacks is None:
                    self._callbacks = {}
                self._next += 1
                self._callbacks[self._next] = callback
                return self._next
        callback()
        return -1

    def remove(self, registration: int) -> None:
        """Forgets a callback."""
        with _lock:
            if self._callbacks is not None:
                self._callbacks.pop(registration, None)

    def cancel(self) -> None:
        """Cancels the call and all calls below it."""
        with _lock:
            if self._cancelled:
                return
            self._cancelled = True
            callbacks, self._callbacks = self._callbacks, None
        for callback in (callbacks or {}).values():
            callback()

    def close(self) -> None:
        """Detaches from the parent once the call is over."""
        if self._parent is not None:
            self._parent.remove(self._registration)
