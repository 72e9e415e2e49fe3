"""The calls of callers that have no answer yet."""

import attrs

from bergamotridge import events

OVERDUE_S = 0.5  # After the time limit of a call, at which the node itself answers.
UNADMITTED_S = 10.0  # Limit of a call whose route isn't known yet.


@attrs.define(eq=False)
class RunningCall:
    """A call that a caller waits for.

    Attributes:
        request_id: Id of its request.
        path: Path of its request.
        began: Monotonic time in seconds at which its request was read.
        deadline: Monotonic time in seconds at which its time is over.
    """

    request_id: str
    path: str
    began: float
    deadline: float


class RunningCalls:
    """Knows the calls under way, and reports each that is overdue once.

    Calls begin and end on the event loop; `oldest_age_s` is asked from any thread.
    """

    def __init__(self, log: events.EventLog) -> None:
        """Starts without calls; `log` receives an event for each that is overdue."""
        self._log = log
        # In the order in which they began.
        self._calls: dict[RunningCall, None] = {}
        self._overdue: dict[RunningCall, None] = {}

    def begin(self, request_id: str, path: str, began: float, now: float) -> RunningCall:
        """Adds a call, and reports those before it that are overdue.

        Args:
            request_id: Id of its request.
            path: Path of its request.
            began: Monotonic time in seconds at which its request was read.
            now: Monotonic time in seconds.
        """
        self._report_overdue(now)
        running = RunningCall(request_id, path, began, began + UNADMITTED_S)
        self._calls[running] = None
        return running

    def end(self, running: RunningCall) -> None:
        """Removes a call that is about to be answered."""
        self._calls.pop(running, None)
        self._overdue.pop(running, None)

    def oldest_age_s(self, now: float) -> float:
        """Returns for how long the oldest call has had no answer in seconds, 0 without calls."""
        began = [running.began for running in (*list(self._calls), *list(self._overdue))]
        return max(0.0, now - min(began)) if began else 0.0

    def _report_overdue(self, now: float) -> None:
        """Reports the calls from the oldest on, up to the first that still has time."""
        while self._calls:
            oldest = next(iter(self._calls))
            if now < oldest.deadline + OVERDUE_S:
                return
            del self._calls[oldest]
            self._overdue[oldest] = None
            self._log.emit(
                "call.overdue",
                oldest.request_id,
                "deadline",
                path=oldest.path,
                ms=round(1000 * (now - oldest.began)),
                overdue=len(self._overdue),
            )
