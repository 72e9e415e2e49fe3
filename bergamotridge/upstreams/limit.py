"""Adaptive concurrency limit: number of calls that may be in flight at one upstream."""

from bergamotridge.upstreams import outcome

RAMP_START_FRACTION = 0.3  # Of the ceiling.
MIN_UTILIZATION_FRACTION = 0.5  # Of the limit; with fewer calls in flight it does not grow.
INITIAL_STEP_CALLS = 0.25  # Growth of the limit in one round.
MAX_STEP_FRACTION = 0.1  # Of the limit; a step of one call is always possible.
# Of the limit at the start of a cut window; a window lasts as long as a call.
MIN_KEPT_FRACTION = 0.5
MIN_CUT_WINDOW_S = 0.05
MIN_LIMIT_CALLS = 1.0


class AdaptiveLimit:
    """Concurrency limit of one upstream, adapted to its answers and bounded by a ceiling.

    Ramp: for a new upstream the limit starts at RAMP_START_FRACTION of the ceiling and grows by
    one with each successful call, so that a cold upstream gets calls no faster than it answers.

    Decrease: when the upstream sheds a call, the limit falls to the number of calls that it kept
    running, but at most by half within the duration of one call (the cut window).

    Increase: after the ramp, or after a shed call, the limit grows by one step per round. A round
    is as many successful calls as the limit. The step doubles from round to round and is reset by
    the next shed call. The limit grows only while at least half of it is in use.
    """

    def __init__(self, ceiling: int) -> None:
        self._ceiling = max(1, ceiling)
        self._value = MIN_LIMIT_CALLS
        self._rounded_value = 1
        self._ramping = True
        self._step_calls = INITIAL_STEP_CALLS
        self._successes_in_round = 0
        self._cut_floor = MIN_LIMIT_CALLS
        self._cut_window_started_at = float("-inf")
        self.restart()

    @property
    def value(self) -> int:
        """Number of calls that may run concurrently."""
        return self._rounded_value

    @property
    def ceiling(self) -> int:
        """Upper bound of the limit."""
        return self._ceiling

    def set_ceiling(self, ceiling: int) -> None:
        """Sets the upper bound of the limit, which is at least 1.

        Args:
            ceiling: The smaller of slots and connections. A limit that had reached the previous
                ceiling after the ramp is set to the new one.
        """
        ceiling = max(1, ceiling)
        if not self._ramping and self._value >= self._ceiling:
            self._value = float(ceiling)
        self._ceiling = ceiling
        self._set_value(min(self._value, float(ceiling)))

    def restart(self, ramp: bool = True) -> None:
        """Resets the limit for a new upstream.

        Args:
            ramp: True to start a ramp, False to set the limit to the ceiling at once.
        """
        self._set_value(
            max(MIN_LIMIT_CALLS, RAMP_START_FRACTION * self._ceiling)
            if ramp
            else float(self._ceiling)
        )
        self._ramping = ramp

    def record_result(
        self,
        result: outcome.Outcome,
        in_flight: int,
        hold_s: float,
        now: float,
        *,
        keeps_ramp_start: bool = False,
    ) -> None:
        """Adapts the limit to the outcome of a call.

        Args:
            result: Outcome of the call.
            in_flight: Calls in flight when the call ended, including it.
            hold_s: Smoothed duration of a call in seconds.
            now: Monotonic time in seconds.
            keeps_ramp_start: True to cut the limit no further than to where a ramp starts, and to
                start one there. An upstream that sheds whatever its load would else bring it down
                to one call, from where it takes seconds to rise.
        """
        if result is outcome.Outcome.SHED:
            floor = RAMP_START_FRACTION * self._ceiling if keeps_ramp_start else MIN_LIMIT_CALLS
            self._cut(max(floor, in_flight - 1.0), hold_s, now)
            self._ramping = keeps_ramp_start and self._value <= floor
        elif result is outcome.Outcome.OK and (
            self._ramping or in_flight >= MIN_UTILIZATION_FRACTION * self.value
        ):
            self._grow()

    def _cut(self, kept: float, hold_s: float, now: float) -> None:
        """Lowers the limit to `kept` calls, but not below the floor of this cut window."""
        if now - self._cut_window_started_at >= max(hold_s, MIN_CUT_WINDOW_S):
            self._cut_window_started_at = now
            self._cut_floor = max(MIN_LIMIT_CALLS, MIN_KEPT_FRACTION * self._value)
        self._set_value(max(self._cut_floor, min(self._value, kept)))
        self._ramping = False
        self._step_calls = INITIAL_STEP_CALLS
        self._successes_in_round = 0

    def _grow(self) -> None:
        """Raises the limit after a successful call and counts the call towards the round."""
        self._set_value(self._value + (1.0 if self._ramping else self._step_calls / self._value))
        self._successes_in_round += 1
        if self._successes_in_round >= self._value:
            self._successes_in_round = 0
            self._step_calls = min(
                2.0 * self._step_calls, max(1.0, MAX_STEP_FRACTION * self._value)
            )
        if self._value >= self._ceiling:
            self._set_value(float(self._ceiling))
            self._ramping = False

    def _set_value(self, value: float) -> None:
        self._value = value
        self._rounded_value = max(1, int(value))
