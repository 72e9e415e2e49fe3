"""Exponential backoff with full jitter, so that many clients don't return at once."""

import random


class Backoff:
    """Delays between failed attempts: uniform between 0 and a bound that doubles up to a cap."""

    def __init__(self, base_s: float, cap_s: float, rng: random.Random) -> None:
        """Starts at the lowest bound.

        Args:
            base_s: Bound of the first delay in seconds.
            cap_s: Highest bound in seconds.
            rng: Source of the jitter.
        """
        self._base_s = base_s
        self._cap_s = cap_s
        self._rng = rng
        self._bound_s = base_s

    def next_delay_s(self) -> float:
        """Returns the seconds to wait before the next attempt and doubles the bound."""
        delay = self._rng.uniform(0.0, self._bound_s)
        self._bound_s = min(self._cap_s, self._bound_s * 2)
        return delay

    def reset(self) -> None:
        """Goes back to the lowest bound after a success."""
        self._bound_s = self._base_s
