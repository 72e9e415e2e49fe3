"""Tells when a process stood still, so that it isn't taken for silence of others."""

MAX_INTERVALS = 2.0  # Between two ticks, beyond which what arrived meanwhile may be unread.


class TickPauses:
    """Leaves out the first tick after a pause of the process, and no second one in a row.

    Timeouts that the tick would apply were perhaps met by messages that are still to be read.
    """

    def __init__(self, interval_s: float, now: float) -> None:
        """Starts counting.

        Args:
            interval_s: Seconds between two ticks of a process that runs.
            now: Monotonic time in seconds.
        """
        self._longest_s = MAX_INTERVALS * interval_s
        self._ticked_at = now
        self._is_left_out = False

    def is_due(self, now: float) -> bool:
        """Returns whether a tick may apply timeouts; to be called once for each.

        Args:
            now: Monotonic time in seconds.
        """
        is_late = now - self._ticked_at > self._longest_s
        self._ticked_at = now
        self._is_left_out = is_late and not self._is_left_out
        return not self._is_left_out
