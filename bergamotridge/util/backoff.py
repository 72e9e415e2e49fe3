"""Exponential backoff with full jitter, so that clients do not all retry at the same time."""

import random


class Backoff:
    """Delays before retries: uniform between 0 and an upper bound that doubles up to a cap."""

    def __init__(self, base_s: float, cap_s: float, rng: random.Random) -> None:
        """Starts with the lowest upper bound.

        Args:
            base_s: Upper bound of the first delay in seconds.
            cap_s: Cap of the upper bound as it doubles, in seconds.
            rng: Source of the jitter.
        """
        self._base_s = base_s
        self._cap_s = cap_s
        self._rng = rng
        self._bound_s = base_s

    def next_delay_s(self) -> float:
        """Returns the delay before the next attempt in seconds and doubles the upper bound."""
        delay_s = self._rng.uniform(0.0, self._bound_s)
        self._bound_s = min(self._cap_s, self._bound_s * 2)
        return delay_s

    def reset(self) -> None:
        """Restores the first upper bound; to be called after a success."""
        self._bound_s = self._base_s
