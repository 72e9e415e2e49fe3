"""Batches arrivals on a busy event loop, so that it wakes up less often."""

import time
from collections.abc import Callable

RATE_WINDOW_S = 0.1
MIN_ARRIVALS_PER_PAUSE = 2.0
# Iterations of the loop until all work that an arrival causes is done and its output written.
ITERATIONS_BEFORE_PAUSE = 3


class ArrivalBatcher:
    """Pauses an event loop after its work while arrivals are frequent.

    When a process wakes up, its code and data are no longer in the processor caches. Arrivals that
    are handled in one batch incur these cache misses only once. While arrivals are rare, the loop
    does not pause.
    """

    def __init__(
        self,
        pause_s: float,
        call_soon: Callable[..., object],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Starts with an arrival rate of zero, so without pauses.

        Args:
            pause_s: Length of a pause in seconds; a call is delayed by at most this long per hop.
            call_soon: Schedules a function with arguments for the next iteration of the loop.
            clock: Returns monotonic time in seconds.
            sleep: Blocks the thread of the loop for a number of seconds.
        """
        self._pause_s = pause_s
        self._call_soon = call_soon
        self._clock = clock
        self._sleep = sleep
        self._pause_check_scheduled = False
        self._arrival_count = 0
        self._window_start_s = clock()
        self._arrivals_per_s = 0.0

    def record_arrival(self) -> None:
        """Counts an arrival and schedules the check for a pause after the work that it causes."""
        self._arrival_count += 1
        if not self._pause_check_scheduled:
            self._pause_check_scheduled = True
            self._call_soon(self._pause_after_iterations, ITERATIONS_BEFORE_PAUSE)

    def is_pause_worthwhile(self, now: float) -> bool:
        """Returns whether a pause would batch at least `MIN_ARRIVALS_PER_PAUSE` arrivals.

        The arrival rate is updated at the first check after each window of `RATE_WINDOW_S` seconds.

        Args:
            now: Current monotonic time in seconds.
        """
        elapsed_s = now - self._window_start_s
        if elapsed_s >= RATE_WINDOW_S:
            self._arrivals_per_s = self._arrival_count / elapsed_s
            self._arrival_count, self._window_start_s = 0, now
        return self._arrivals_per_s * self._pause_s >= MIN_ARRIVALS_PER_PAUSE

    def _pause_after_iterations(self, remaining: int) -> None:
        """Pauses after `remaining` more iterations of the loop if a pause is worthwhile then."""
        if remaining:
            self._call_soon(self._pause_after_iterations, remaining - 1)
            return
        self._pause_check_scheduled = False
        if self.is_pause_worthwhile(self._clock()):
            self._sleep(self._pause_s)
