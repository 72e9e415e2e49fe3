"""The wait of a node that starts for ports that the process before it still holds."""

import logbook

from bergamotridge import errors

# Time for which a stop may last beyond the drain time: a request to the platform (2 s by default)
# and a fetch from another node (3 s) may be under way then, and the ports take up to 1 s to close.
STOP_MARGIN_S = 6.0
RETRY_INTERVAL_S = 0.1

_log = logbook.Logger(__name__)


class PortWait:
    """Decides for how long a node tries again to bind its ports, and logs the wait once."""

    def __init__(self, drain_s: float) -> None:
        """Starts without a failed try.

        Args:
            drain_s: Longest wait for running calls in the stop of the process before.
        """
        self._limit_s = drain_s + STOP_MARGIN_S
        self._began_at: float | None = None

    @property
    def has_waited(self) -> bool:
        """Whether a try has failed."""
        return self._began_at is not None

    def record_failure(self, error: errors.AddressInUseError, now: float) -> None:
        """Records a failed try; raises `error` once the time for the wait is over.

        Args:
            error: Why the ports could not be bound.
            now: Monotonic time in seconds.
        """
        if self._began_at is None:
            self._began_at = now
            _log.warning(
                "the node waits up to {:g} s for its ports, as the process before it may be in its "
                "stop: {}",
                self._limit_s,
                error,
            )
        if now - self._began_at >= self._limit_s:
            raise error

    def record_success(self, now: float) -> None:
        """Records that all ports are bound; `now` is the monotonic time in seconds."""
        if self._began_at is not None:
            _log.info("all ports are bound after a wait of {:.1f} s", now - self._began_at)
