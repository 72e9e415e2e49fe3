"""How long attempts of each service take, and so whether another one still has the time."""

import collections

MIN_ATTEMPT_S = 0.01  # To reach another host and return, with the timers of both.
SMOOTHING_FACTOR = 0.05
REQUIRED_FRACTION = 0.5  # Of the smoothed time; the upstreams of a service differ in speed.


class AttemptTimes:
    """Smooths the times of answered attempts by service, for use on one event loop."""

    def __init__(self) -> None:
        self._smoothed_s: dict[str, float] = collections.defaultdict(float)

    def record(self, service: str, attempt_s: float) -> None:
        """Adds the seconds after which an upstream of a service answered."""
        smoothed_s = self._smoothed_s[service] or attempt_s
        self._smoothed_s[service] = smoothed_s + SMOOTHING_FACTOR * (attempt_s - smoothed_s)

    def allow(self, service: str, left_s: float) -> bool:
        """Returns whether an attempt with `left_s` seconds until its deadline may be answered."""
        return left_s > max(MIN_ATTEMPT_S, REQUIRED_FRACTION * self._smoothed_s[service])
