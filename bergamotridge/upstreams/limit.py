"""Limit of calls in flight at one upstream."""

from bergamotridge.upstreams import outcome

RAMP_SHARE = 0.3
GROW_ABOVE = 0.5
FIRST_STEP = 0.25
LARGEST_STEP_SHARE = 0.1
LARGEST_CUT = 0.5
LEAST_ROUND_S = 0.05
LEAST = 1.0


class AdaptiveLimit:
    """Calls that may run at once, under a ceiling.

    A new upstream starts at a share of its ceiling and gains one for each call that ends
    well, so a cold one is filled no faster than it answers. When the upstream sheds, the limit
    falls to the calls that it kept, but no more than by half in the time of a call. Then it grows
    by a step in each round of good calls; the step doubles from round to round and starts again
    at the next shed. After the ramp the limit grows only while at least half of it is in use.
    """

    def __init__(self, ceiling: int) -> None:
        self._ceiling = max(1, ceiling)
        self._value = LEAST
        self._whole = 1
        self._ramping = True
        self._step = FIRST_STEP
        self._good = 0
        self._floor = LEAST
        self._cut_at = float("-inf")
        self.restart()

    @property
    def value(self) -> int:
        """The limit."""
        return self._whole

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
        self._set(min(self._value, float(ceiling)))

    def restart(self, ramp: bool = True) -> None:
        """Begins with a new upstream: with a ramp, or at the ceiling without one."""
        self._set(max(LEAST, RAMP_SHARE * self._ceiling) if ramp else float(self._ceiling))
        self._ramping = ramp

    def finished(self, result: outcome.Outcome, used: int, hold_s: float, now: float) -> None:
        """Learns how a call ended.

        Args:
            result: Its outcome.
            used: Calls that ran until then, this one included.
            hold_s: Time in seconds that a call takes.
            now: Monotonic time in seconds.
        """
        if result is outcome.Outcome.SHED:
            self._cut(used - 1.0, hold_s, now)
        elif result is outcome.Outcome.OK and (self._ramping or used >= GROW_ABOVE * self.value):
            self._grow()

    def _cut(self, kept: float, hold_s: float, now: float) -> None:
        if now - self._cut_at >= max(hold_s, LEAST_ROUND_S):
            self._cut_at = now
            self._floor = max(LEAST, LARGEST_CUT * self._value)
        self._set(max(self._floor, min(self._value, kept)))
        self._ramping = False
        self._step = FIRST_STEP
        self._good = 0

    def _grow(self) -> None:
        self._set(self._value + (1.0 if self._ramping else self._step / self._value))
        self._good += 1
        if self._good >= self._value:
            self._good = 0
            self._step = min(2.0 * self._step, max(1.0, LARGEST_STEP_SHARE * self._value))
        if self._value >= self._ceiling:
            self._set(float(self._ceiling))
            self._ramping = False

    def _set(self, value: float) -> None:
        self._value = value
        self._whole = max(1, int(value))
