"""Limit of calls in flight at one upstream."""

from bergamotridge.upstreams import outcome

RAMP_SHARE = 0.1
CUT = 0.85
GROW_ABOVE = 0.5
LEAST = 1.0


class AdaptiveLimit:
    """Calls that may run at once: additive increase, multiplicative decrease, under a ceiling.

    A new upstream starts at a small share of its ceiling and gains one for each call that ends
    well, so a cold one is filled no faster than it answers. Later a shed or timed-out call cuts
    the limit, at most once per round of calls, and a full round of good calls adds one. The limit
    grows only while at least half of it is in use.
    """

    def __init__(self, ceiling: int) -> None:
        self._ceiling = max(1, ceiling)
        self._value = LEAST
        self._ramping = True
        self._cut_at = float("-inf")
        self.restart()

    @property
    def value(self) -> int:
        """The limit."""
        return max(1, int(self._value))

    @property
    def ceiling(self) -> int:
        """The limit is never above this."""
        return self._ceiling

    def set_ceiling(self, ceiling: int) -> None:
        """Sets the smaller of slots and connections; a limit that was full grows with it."""
        ceiling = max(1, ceiling)
        if not self._ramping and self._value >= self._ceiling:
            self._value = float(ceiling)
        self._ceiling = ceiling
        self._value = min(self._value, float(ceiling))

    def restart(self) -> None:
        """Begins the ramp of a new upstream."""
        self._value = max(LEAST, RAMP_SHARE * self._ceiling)
        self._ramping = True

    def finished(self, result: outcome.Outcome, hold_s: float, used: int, now: float) -> None:
        """Learns how a call ended.

        Args:
            result: Its outcome.
            hold_s: Smoothed time in seconds that a call takes.
            used: Calls that ran until then, this one included.
            now: Monotonic time in seconds.
        """
        if result in (outcome.Outcome.SHED, outcome.Outcome.TIMED_OUT):
            self._cut(hold_s, now)
        elif result is outcome.Outcome.OK and used >= GROW_ABOVE * self.value:
            self._value += 1.0 if self._ramping else 1.0 / self._value
            if self._value >= self._ceiling:
                self._value = float(self._ceiling)
                self._ramping = False

    def _cut(self, hold_s: float, now: float) -> None:
        if now - self._cut_at < hold_s:
            return
        self._cut_at = now
        self._ramping = False
        self._value = max(LEAST, self._value * CUT)
