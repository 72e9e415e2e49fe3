"""Refuses calls that come so late in the planned stop of a node that they might be cut off."""

from bergamotridge.upstreams import refusal

MARGIN_S = 0.2  # For the answer to reach the caller before the connections are closed.
CANCELLED_REASON = "cancelled"
STOPPED_REASON = "node-stopped"


class Shutdown:
    """Knows when the node will close its connections; until a stop begins, all calls may run."""

    def __init__(self) -> None:
        self._refuses_from = float("inf")
        self._closes_at = float("inf")

    def begin(self, refuses_from: float, closes_at: float) -> None:
        """Plans the refusal of calls whose deadline is later than `closes_at`.

        Args:
            refuses_from: Monotonic time in seconds from which such calls are refused.
            closes_at: Monotonic time in seconds at which open connections are closed.
        """
        self._refuses_from = refuses_from
        self._closes_at = closes_at

    def reason_of(self, reason: str, now: float) -> str:
        """Returns why a call ended: a cancelled one was cut off if its connection was closed here.

        Args:
            reason: Reason of the answer.
            now: Monotonic time in seconds.
        """
        closes = now >= self._closes_at - MARGIN_S
        return STOPPED_REASON if closes and reason == CANCELLED_REASON else reason

    def limit(self, deadline: float) -> float:
        """Returns the deadline of a call that is taken now; it ends before the connections close.

        So the upstream gives up before it is cut off, and its answer still reaches the caller.

        Args:
            deadline: Monotonic time in seconds until which the call may run otherwise.
        """
        return min(deadline, self._closes_at - MARGIN_S)

    def check(self, request_id: str, deadline: float, now: float) -> None:
        """Refuses a call that might still run when the connections are closed.

        Args:
            request_id: Id of the request.
            deadline: Monotonic time in seconds until which the call may run.
            now: Monotonic time in seconds.

        Raises:
            CallError: The call is refused; the verdict is NOT_RUN.
        """
        if now >= self._refuses_from and deadline > self._closes_at - MARGIN_S:
            raise refusal.build_refusal(
                "draining",
                "the node is shutting down and may close this connection before the call ends; "
                "retry on a new connection",
                request_id,
            )
