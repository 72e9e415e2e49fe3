"""Fraction of calls that an upstream rejected without running them."""

import math

WINDOW_S = 0.3  # Time constant of the decay.
# Calls that count as accepted beside those seen, so that one rejection among few calls is no
# evidence, and the fraction falls by itself while no calls end.
PRIOR_CALLS = 2.0


class RejectionMeter:
    """Smooths the fraction of calls that an upstream rejected, over about the last WINDOW_S."""

    def __init__(self) -> None:
        self._rejected = 0.0
        self._ended = 0.0

    @property
    def fraction(self) -> float:
        """Smoothed fraction of the ended calls that were rejected, 0.0 to below 1.0."""
        return self._rejected / (self._ended + PRIOR_CALLS)

    def record_end(self, *, was_rejected: bool) -> None:
        """Counts a call that the upstream ended or rejected."""
        self._ended += 1.0
        self._rejected += was_rejected

    def close_interval(self, elapsed_s: float) -> None:
        """Lets all counted calls age by `elapsed_s` seconds."""
        decay = math.exp(-elapsed_s / WINDOW_S)
        self._rejected *= decay
        self._ended *= decay
