"""Number of connections that an upstream accepts, as seen from those that it refused."""

import math
import sys

UNBOUNDED_CONNECTIONS = sys.maxsize
DISPROOF_S = 2.0  # After a trial that showed no bound, connections may end for another reason.


class ConnectionBound:
    """Bound on the connections to one upstream; there is none until it refuses a connection.

    An upstream may accept fewer connections than the operator's text allows, and what was sent on
    one that it refused may have run. The bound therefore rises only by connections without a
    request that stayed open. It is 0 if the upstream refused the only one, as those of an earlier
    process of the node may still be open.

    A connection may also have ended at once because of its request. The bound is forgotten if the
    first trial shows that the upstream accepts more.

    Attributes:
        generation: Number of upstreams whose bound was forgotten; a trial that began before says
            nothing of the present one.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._value = UNBOUNDED_CONNECTIONS
        self._confirmed = False
        self._disproved_at = -math.inf

    @property
    def value(self) -> int:
        """Connections that may be open; `UNBOUNDED_CONNECTIONS` if no bound is known."""
        return self._value

    @property
    def next_trial(self) -> int | None:
        """Connections that should be open in the next trial, None if no bound is known."""
        if self._value == UNBOUNDED_CONNECTIONS:
            return None
        return max(self._value + 1, 2 * self._value if self._confirmed else 0)

    def record_refusal(self, open_connections: int, now: float) -> None:
        """Lowers the bound to the connections that were open when a further one was refused."""
        if now >= self._disproved_at + DISPROOF_S:
            self._value = min(self._value, open_connections)

    def record_trial(self, accepted: int, is_whole: bool, needed: int, now: float) -> None:
        """Adapts the bound to a trial.

        Args:
            accepted: Connections that the upstream accepted, earlier ones included.
            is_whole: True if it refused none in the trial.
            needed: Connections that are needed at most; a bound of as many or more is forgotten.
            now: Monotonic time in seconds.
        """
        is_disproved = is_whole and not self._confirmed
        self._confirmed = True
        self._value = max(self._value, accepted)
        if is_disproved or self._value >= needed:
            self._forget()
        if is_disproved:
            self._disproved_at = now

    def reset(self) -> None:
        """Forgets the bound, as that of an earlier upstream."""
        self.generation += 1
        self._forget()

    def _forget(self) -> None:
        self._value = UNBOUNDED_CONNECTIONS
        self._confirmed = False
        self._disproved_at = -math.inf
