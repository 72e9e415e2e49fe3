"""Cancellation tokens that propagate from a call to its child calls."""

from collections.abc import Callable


class Token:
    """Signals that the response to one call is no longer needed.

    Cancelling a token also cancels its child tokens. Each callback runs once, inside `cancel`. A
    token belongs to the event loop that its call runs on and is not thread-safe.
    """

    __slots__ = (
        "_callbacks",
        "_cancelled",
        "_last_registration",
        "_only_callback",
        "_parent",
        "_registration",
    )

    def __init__(self, parent: "Token | None" = None) -> None:
        self._cancelled = False
        # Most tokens have one callback at a time: it is stored here, as registration 0, without
        # allocating a dict.
        self._only_callback: Callable[[], None] | None = None
        self._callbacks: dict[int, Callable[[], None]] | None = None
        self._last_registration = 0
        self._parent = parent
        self._registration = parent.on_cancel(self.cancel) if parent else -1

    @property
    def cancelled(self) -> bool:
        """True once the call has been cancelled."""
        return self._cancelled

    def on_cancel(self, callback: Callable[[], None]) -> int:
        """Registers a callback, or runs it at once if the token is already cancelled.

        Returns:
            The registration, to be passed to `remove`; -1 if the callback ran at once.
        """
        if self._cancelled:
            callback()
            return -1
        if self._only_callback is None:
            self._only_callback = callback
            return 0
        if self._callbacks is None:
            self._callbacks = {}
        self._last_registration += 1
        self._callbacks[self._last_registration] = callback
        return self._last_registration

    def remove(self, registration: int) -> None:
        """Unregisters the callback with this registration, if it is still registered."""
        if registration == 0:
            self._only_callback = None
        elif self._callbacks is not None:
            self._callbacks.pop(registration, None)

    def cancel(self) -> None:
        """Cancels the call and its child calls; does nothing if already cancelled."""
        if self._cancelled:
            return
        self._cancelled = True
        only_callback, self._only_callback = self._only_callback, None
        callbacks, self._callbacks = self._callbacks, None
        if only_callback is not None:
            only_callback()
        for callback in (callbacks or {}).values():
            callback()

    def close(self) -> None:
        """Detaches the token from its parent; to be called once the call has ended."""
        if self._parent is not None:
            self._parent.remove(self._registration)
