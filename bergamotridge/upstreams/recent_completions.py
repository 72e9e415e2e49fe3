"""Fingerprints of the requests that the local upstream has answered lately; single-threaded."""

GENERATION_S = 5.0
MAX_GENERATION_SIZE = 2048


class RecentCompletions:
    """Remembers completed requests for one to two generations, fewer if there are very many."""

    def __init__(self) -> None:
        self._current: set[int] = set()
        self._previous: set[int] = set()
        self._began_at = float("-inf")

    def add(self, fingerprint: int, now: float) -> None:
        """Adds a request that was answered at monotonic time `now` (seconds)."""
        self._rotate(now)
        self._current.add(fingerprint)

    def has(self, fingerprint: int, now: float) -> bool:
        """Returns whether a request like this one has been answered lately."""
        self._rotate(now)
        return fingerprint in self._current or fingerprint in self._previous

    def _rotate(self, now: float) -> None:
        age_s = now - self._began_at
        if age_s < GENERATION_S and len(self._current) < MAX_GENERATION_SIZE:
            return
        # After a pause of two generations nothing is recent.
        self._previous = self._current if age_s < 2 * GENERATION_S else set()
        self._current, self._began_at = set(), now
