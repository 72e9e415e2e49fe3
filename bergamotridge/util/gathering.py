"""Lets a busy event loop gather what arrives, so that it wakes up less often."""

import time
from collections.abc import Callable

WINDOW_S = 0.1
LEAST_GATHERED = 2.0
# Rounds of the loop until all that follows from an event has been done and written.
ROUNDS_TO_SETTLE = 3


class Gathering:
    """Pauses an event loop after its work while arrivals are frequent.

    A process that wakes up finds its code and data gone from the caches of the processor; what is
    handled together pays for that once. While arrivals are rare there is no pause.
    """

    def __init__(
        self,
        pause_s: float,
        call_soon: Callable[..., object],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Starts without a pause.

        Args:
            pause_s: Length of a pause in seconds; the most that a call waits for it at a hop.
            call_soon: Calls a function with arguments in the next round of the loop.
            clock: Source of monotonic time in seconds.
            sleep: Blocks the thread of the loop for some seconds.
        """
        self._pause_s = pause_s
        self._call_soon = call_soon
        self._clock = clock
        self._sleep = sleep
        self._settling = False
        self._arrived = 0
        self._since = clock()
        self._rate = 0.0

    def note(self) -> None:
        """Counts an arrival; the loop pauses once all that follows from it is done."""
        self._arrived += 1
        if not self._settling:
            self._settling = True
            self._call_soon(self._round, ROUNDS_TO_SETTLE)

    def pays(self, now: float) -> bool:
        """Returns whether a pause at `now` (monotonic seconds) would gather some arrivals."""
        seconds = now - self._since
        if seconds >= WINDOW_S:
            self._rate = self._arrived / seconds
            self._arrived, self._since = 0, now
        return self._rate * self._pause_s >= LEAST_GATHERED

    def _round(self, left: int) -> None:
        if left:
            self._call_soon(self._round, left - 1)
            return
        self._settling = False
        if self.pays(self._clock()):
            self._sleep(self._pause_s)
