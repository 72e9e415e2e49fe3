"""Rate limit of one upstream: how many calls a second it says that it takes from all nodes."""

import math

BURST_S = 0.25  # The calls of this time may start at once.
# An upstream that gets no call can't answer, and so can't withdraw its limit.
MIN_RATE_PER_S = 0.5


class RateLimiter:
    """Token bucket that enforces the rate limit; without a limit it lets all calls pass.

    All calls to an upstream are started by the node on its host, so one bucket is exact.
    """

    def __init__(self) -> None:
        self._rate_per_s: float | None = None
        self._tokens = 0.0
        self._refilled_at = -math.inf

    @property
    def is_limited(self) -> bool:
        """True while a limit is in force."""
        return self._rate_per_s is not None

    def set_limit(self, rate_limit: float | None, now: float) -> None:
        """Sets the calls per second that may start; None removes the limit.

        A limit that comes into force starts with an empty bucket, as calls have just been started
        without one.
        """
        if rate_limit is None:
            self._rate_per_s = None
            return
        if self._rate_per_s is None:
            self._tokens, self._refilled_at = 0.0, now
        self._refill(now)
        self._rate_per_s = max(MIN_RATE_PER_S, rate_limit)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a call may start, 0 if one may start now."""
        if self._rate_per_s is None:
            return 0.0
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self._rate_per_s)

    def take(self, now: float) -> None:
        """Takes the token of a call that starts."""
        if self._rate_per_s is not None:
            self._refill(now)
            self._tokens -= 1.0

    def concurrency(self, hold_s: float) -> float:
        """Returns how many calls run on average when calls start at the limit (Little's law).

        Args:
            hold_s: Mean duration of a call in seconds, 0 if it is not known.

        Returns:
            The number, at least 1; infinity without a limit or if it cannot be computed.
        """
        if self._rate_per_s is None or not hold_s:
            return math.inf
        return max(1, math.ceil(self._rate_per_s * hold_s))

    def _refill(self, now: float) -> None:
        if self._rate_per_s is not None:
            elapsed_s = max(0.0, now - self._refilled_at)
            burst = max(1.0, BURST_S * self._rate_per_s)
            self._tokens = min(burst, self._tokens + elapsed_s * self._rate_per_s)
        self._refilled_at = max(now, self._refilled_at)
