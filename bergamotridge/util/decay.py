"""Event rate, estimated with an exponentially decaying count."""

import math


class DecayingRate:
    """Estimates events per second over about the last `window_s` seconds."""

    def __init__(self, window_s: float, now: float) -> None:
        """Starts at a rate of zero.

        Args:
            window_s: Time constant of the decay in seconds.
            now: Current monotonic time in seconds.
        """
        self._window_s = window_s
        self._decayed_count = 0.0
        self._updated_at = now

    def record(self, now: float, count: float = 1.0) -> None:
        """Adds `count` events that happened at `now` (monotonic seconds)."""
        self._decayed_count = self.rate(now) * self._window_s + count
        self._updated_at = max(now, self._updated_at)

    def rate(self, now: float) -> float:
        """Returns the events per second at `now` (monotonic seconds)."""
        age_s = max(0.0, now - self._updated_at)
        return self._decayed_count * math.exp(-age_s / self._window_s) / self._window_s
