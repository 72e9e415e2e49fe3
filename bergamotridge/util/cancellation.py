"""Cancellation that follows a call down its tree."""

from collections.abc import Callable


class Token:
    """Tells the parts of one call that its answer is no longer wanted.

    A child token is cancelled with its parent. Callbacks run once, inside `cancel`. A token
    belongs to the event loop that its call runs on and is not thread-safe.
    """

    __slots__ = ("_callbacks", "_cancelled", "_next", "_only", "_parent", "_registration")

    def __init__(self, parent: "Token | None" = None) -> None:
        self._cancelled = False
        # Most tokens have one callback at a time, which needs no table.
        self._only: Callable[[], None] | None = None
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
        if self._cancelled:
            callback()
            return -1
        if self._only is None:
            self._only = callback
            return 0
        if self._callbacks is None:
            self._callbacks = {}
        self._next += 1
        self._callbacks[self._next] = callback
        return self._next

    def remove(self, registration: int) -> None:
        """Forgets a callback."""
        if registration == 0:
            self._only = None
        elif self._callbacks is not None:
            self._callbacks.pop(registration, None)

    def cancel(self) -> None:
        """Cancels the call and all calls below it."""
        if self._cancelled:
            return
        self._cancelled = True
        only, self._only = self._only, None
        callbacks, self._callbacks = self._callbacks, None
        if only is not None:
            only()
        for callback in (callbacks or {}).values():
            callback()

    def close(self) -> None:
        """Detaches from the parent once the call is over."""
        if self._parent is not None:
            self._parent.remove(self._registration)
