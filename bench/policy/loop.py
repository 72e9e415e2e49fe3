"""Event loop in virtual time: callbacks run in order of their time."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Runs callbacks at their virtual time; `now` is in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules `action` to run after `delay_s` seconds."""
        heapq.heappush(self._heap, (self.now + delay_s, next(self._order), action))

    def run(self, end_s: float) -> None:
        """Runs all callbacks that are due up to time `end_s`, in seconds."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end_s
