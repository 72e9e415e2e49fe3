"""Rate of events, as a count that decays exponentially."""

import math


class DecayingRate:
    """Events per second over about the last `window_s` seconds."""

    def __init__(self, window_s: float, now: float) -> None:
        """Starts at zero; `now` is monotonic seconds."""
        self._window_s = window_s
        self._weight = 0.0
        self._updated = now

    def note(self, now: float, count: float = 1.0) -> None:
        """Counts events that happened at `now`."""
        self._weight = self.rate(now) * self._window_s + count
        self._updated = max(now, self._updated)

    def rate(self, now: float) -> float:
        """Returns the events per second."""
        age = max(0.0, now - self._updated)
        return self._weight * math.exp(-age / self._window_s) / self._window_s
