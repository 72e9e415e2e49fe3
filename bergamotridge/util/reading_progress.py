"""How a client takes one response: how fast, and whether it still does."""

MIN_TIME_S = 0.001


class ReadingProgress:
    """Judges a client by the bytes that it has not taken yet at certain times.

    Attributes:
        started_at: Monotonic time in seconds at which the response was written.
    """

    def __init__(self, untaken_bytes: int, now: float) -> None:
        """Begins as the response is written.

        Args:
            untaken_bytes: Bytes that the client has not taken yet.
            now: Monotonic time in seconds.
        """
        self.started_at = now
        self._started_with = self._untaken_bytes = untaken_bytes
        self._progress_at = now

    def note(self, untaken_bytes: int, now: float) -> bool:
        """Notes how many bytes the client has not taken at `now`; returns whether they changed."""
        if not self.has_taken(untaken_bytes):
            return False
        self._untaken_bytes = untaken_bytes
        self._progress_at = now
        return True

    def exclude(self, pause_s: float) -> None:
        """Leaves out seconds since the last progress in which the process stood still."""
        self._progress_at += pause_s

    def bytes_per_s(self, now: float) -> float:
        """Returns how fast the client has taken the response since it was written."""
        taken = self._started_with - self._untaken_bytes
        return taken / max(now - self.started_at, MIN_TIME_S)

    def has_taken(self, untaken_bytes: int) -> bool:
        """Returns whether the bytes that the client has not taken changed since the last note."""
        return untaken_bytes != self._untaken_bytes

    def has_stalled(self, now: float, stall_s: float) -> bool:
        """Returns whether the client has taken nothing for `stall_s` seconds."""
        return now - self._progress_at >= stall_s
