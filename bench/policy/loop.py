"""Virtual time: events run in order of their time."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Runs callbacks at their time; `now` is in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs `action` after `delay_s` seconds."""
        heapq.heappush(self._heap, (self.now + delay_s, next(self._order), action))

    def run(self, end: float) -> None:
        """Runs all events up to time `end`."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end
