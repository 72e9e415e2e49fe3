"""Bounds on the calls that start per second at one upstream: its rate limit, and while cold."""

import math

from bergamotridge.upstreams import rate_limit

FULL_LOAD = 1.0
# Load that a gate reports while its cold upstream takes no call: above that of busy gates with a
# queue, so that the upstream isn't preferred while the whole service is busy.
COLD_LOAD = 2.0
COLD_MESSAGE = "the upstream on this host is cold and takes few calls for now; retry later"
WINDOW_S = 1.0  # The bound of a cold upstream holds in each interval of this length.


class ColdRate:
    """Bounds the calls that start per second while the upstream is cold; not thread-safe.

    No interval of `WINDOW_S` holds both calls that started under the bound and calls that started
    before the upstream was known to be cold, so their numbers never add up.
    """

    def __init__(self) -> None:
        """Starts without a bound and without a known start of the upstream."""
        self._rate_per_s = 0.0
        self._cold_start_s = 0.0
        self._limiter = rate_limit.RateLimiter()
        self._cold_until = -math.inf
        # Time of the upstream's start if `cold_start_s` decides how long it is cold, else None.
        self._new_since: float | None = None
        self._last_start = -math.inf

    def configure(self, rate_per_s: float, cold_start_s: float) -> None:
        """Sets the bound.

        Args:
            rate_per_s: Calls per second that a cold upstream tolerates, 0 for no bound.
            cold_start_s: Seconds for which an upstream that doesn't announce how long it is cold
                counts as cold after its start.
        """
        self._rate_per_s, self._cold_start_s = rate_per_s, cold_start_s
        if self._new_since is not None:
            self._cold_until = self._new_since + cold_start_s
        if not rate_per_s:
            self._limiter.set_limit(None, 0.0)
        elif self._limiter.is_limited:
            # At this time the bucket gains no tokens.
            self._limiter.set_limit(rate_per_s, -math.inf)

    def apply_announcement(self, cold_s: float | None, is_new_start: bool, now: float) -> bool:
        """Takes in how long the upstream stays cold.

        Args:
            cold_s: Seconds that it announced, None if it says nothing about that.
            is_new_start: True if the announcement is the first one of a start of the upstream.
            now: Monotonic time in seconds.

        Returns:
            True if a bound has come into force.
        """
        was_bounded = self.is_in_force(now)
        if cold_s is not None:
            self._new_since, self._cold_until = None, now + cold_s
        elif is_new_start:
            self._new_since, self._cold_until = now, now + self._cold_start_s
        if was_bounded or not self.is_in_force(now):
            return False
        # `wait_s` sets the limit again, with an empty bucket.
        self._limiter.set_limit(None, now)
        return True

    def is_in_force(self, now: float) -> bool:
        """Returns whether calls are bounded now."""
        return self._rate_per_s > 0.0 and now < self._cold_until

    def rate_per_s(self, now: float) -> float:
        """Returns the calls per second that may start, 0 while there is no bound."""
        return self._rate_per_s if self.is_in_force(now) else 0.0

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a call may start, 0 if one may start now."""
        if not self.is_in_force(now):
            return 0.0
        if not self._limiter.is_limited:
            # The first token is complete once no earlier call is in the same window.
            first_at = max(now + 1.0 / self._rate_per_s, self._last_start + WINDOW_S)
            self._limiter.set_limit(self._rate_per_s, first_at - 1.0 / self._rate_per_s)
        return self._limiter.wait_s(now)

    def take(self, now: float) -> None:
        """Records that a call starts."""
        self._last_start = now
        self._limiter.take(now)


class StartRates:
    """The upstream's own rate limit together with its bound while it is cold; not thread-safe."""

    def __init__(self) -> None:
        """Starts without either."""
        self.named = rate_limit.RateLimiter()
        self.cold = ColdRate()

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a call may start, 0 if one may start now."""
        return max(self.named.wait_s(now), self.cold.wait_s(now))

    def take(self, now: float) -> None:
        """Records that a call starts."""
        self.named.take(now)
        self.cold.take(now)

    def min_load(self, now: float) -> float:
        """Returns the least load that the gate may report."""
        if self.cold.wait_s(now):
            return COLD_LOAD
        return FULL_LOAD if self.named.wait_s(now) else 0.0
