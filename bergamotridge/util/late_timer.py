"""A timer that acts once the event loop has read what had arrived by then."""

import asyncio
from collections.abc import Callable

TURNS_TO_READ = 3  # Of the loop: it reads between them, and tasks act on what was read.


class LateTimer:
    """Calls a function after some time and some turns of the loop.

    In a process that stood still and goes on, the loop runs its timers before it reads what has
    arrived meanwhile.
    """

    def __init__(
        self, event_loop: asyncio.AbstractEventLoop, delay_s: float, function: Callable[[], None]
    ) -> None:
        """Starts the timer.

        Args:
            event_loop: The loop that calls the function.
            delay_s: Seconds from now.
            function: Called once, unless the timer is cancelled.
        """
        self._event_loop = event_loop
        self._function = function
        self._handle = event_loop.call_later(delay_s, self._take_turns, TURNS_TO_READ)

    def cancel(self) -> None:
        """Makes the function not be called any more."""
        self._handle.cancel()

    def _take_turns(self, left: int) -> None:
        if left:
            self._handle = self._event_loop.call_soon(self._take_turns, left - 1)
        else:
            self._function()
