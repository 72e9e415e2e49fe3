"""When a host reads the quota objects."""

import random

MAX_BACKOFF_S = 4.0
MAX_FIRST_PAUSE_S = 0.4  # Spreads the first reads of hosts that start at the same time.
MEAN_JOIN_PAUSE_S = 1.0  # Between two reads while this host has yet to join or leave a quota.


class ReadPauses:
    """Pauses between reads of the quota objects, with jitter that spreads the hosts' reads."""

    def __init__(self, interval_s: float, rng: random.Random) -> None:
        """Creates pauses of `interval_s` seconds on average while reads succeed."""
        self._interval_s = interval_s
        self._rng = rng
        self._pause_s = interval_s

    def first_pause_s(self) -> float:
        """Returns the pause before the first read, in seconds."""
        return min(MAX_FIRST_PAUSE_S, self._interval_s) * self._rng.random()

    def next_pause_s(self, failed: bool) -> float:
        """Returns the pause before the next read, in seconds; it doubles while reads fail."""
        self._pause_s = min(MAX_BACKOFF_S, 2.0 * self._pause_s) if failed else self._interval_s
        return self._pause_s * (0.5 + self._rng.random())

    def next_join_pause_s(self) -> float:
        """Returns the pause before the next read while a share is to be taken or given up.

        Hosts that learn of a change together would else read in step, and their writes conflict.
        """
        return MEAN_JOIN_PAUSE_S * self._rng.uniform(0.5, 1.5)
