"""Admission of calls to one upstream: limit, queue and threshold together, without threads."""

from collections.abc import Callable

from bergamotridge import call, errors
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import limit, outcome, queue, threshold

LEAST_RETRY_S = 0.5
RETRY_SPREAD_S = 1.5
EXPECTED_SHARE = 0.7
LEAST_WAIT_S = 0.05
FRESH_WAIT = 0.5
INVESTED_WAIT = 1.0
REPORT_DIGITS = 3


def refusal(
    reason: str, message: str, request_id: str, retry_after_s: float | None = None
) -> errors.CallError:
    """Returns the error of a call that was refused before it ran.

    Args:
        reason: Fixed word for metrics and events.
        message: What happened.
        request_id: The caller's request, spreads the repeats of callers over time.
        retry_after_s: Seconds until the caller may try again, worked out if None.
    """
    if retry_after_s is None:
        retry_after_s = LEAST_RETRY_S + RETRY_SPREAD_S * load.position(request_id)
    return errors.CallError(message, status=503, reason=reason, retry_after_s=retry_after_s)


class Admission:
    """Decides which calls run at the upstream and when.

    Not thread-safe; the gate holds its lock around each call.
    """

    def __init__(self, slots: int, room: int, connections: int | None = None) -> None:
        self._slots = slots
        self._connections = connections if connections is not None else slots
        self._announced = slots
        self._limit = limit.AdaptiveLimit(self._ceiling())
        self._queue = queue.AdmissionQueue(room)
        self._controller = threshold.ThresholdController()
        self._state = record.State.LOST
        self._exact = False
        self._draining = False
        self._in_flight = 0

    @property
    def state(self) -> record.State:
        """State of the upstream as last announced."""
        return self._state

    @property
    def in_flight(self) -> int:
        """Calls that run."""
        return self._in_flight

    def configure(self, slots: int, connections: int) -> None:
        """Takes over slots and connections from the operator's text."""
        self._slots = slots
        self._connections = connections
        self._limit.set_ceiling(self._ceiling())

    def announce(
        self,
        state: record.State,
        slots: int,
        connections: int,
        now: float,
        *,
        exact: bool = False,
    ) -> None:
        """Takes over what the upstream says of itself.

        Args:
            state: Its state.
            slots: Calls it says it can run at once.
            connections: Connections it says it accepts.
            now: Monotonic time in seconds.
            exact: True if its slots are its own count and it says how long it stays slow; the
                limit then stays at the slots, and a call that it sheds all the same says
                nothing about them.
        """
        self._announced = min(slots, connections)
        self._limit.set_ceiling(self._ceiling())
        if state is record.State.READY and self._state is not record.State.READY:
            self._limit.restart(ramp=not exact)
        self._exact = exact
        self._state = state
        if state is not record.State.READY:
            self._refuse_waiting()
        self._advance(now)

    def drain(self) -> None:
        """Refuses waiting and further calls; running ones go on."""
        self._draining = True
        self._refuse_waiting()

    def offer(
        self, context: call.CallContext, now: float, notify: Callable[[queue.Entry], None]
    ) -> queue.Entry:
        """Takes a call; it is started, or waits and `notify` is called later.

        Raises:
            CallError: The call was refused; the verdict is NOT_RUN.
        """
        if self._draining or self._state is not record.State.READY:
            self._check_open(context)
        self._controller.arrived(context)
        self._update(now)
        entry = queue.Entry(context, now, notify)
        if self._in_flight < self._limit.value and not len(self._queue):
            self._check_deadline(context, 0, now)
            self._start(entry, now)
            return entry
        self._controller.waited()
        self._check_threshold(context)
        self._check_deadline(context, self._queue.ahead(context.importance), now)
        victim = self._queue.push(entry)
        if victim is entry:
            raise refusal("shed", "queue is full", context.request_id)
        if victim is not None:
            self._refuse(victim, "shed", "left the queue for a more important call")
        self._advance(now)
        return entry

    def withdraw(self, entry: queue.Entry, reason: str) -> None:
        """Refuses a waiting call whose deadline passed or whose caller left."""
        if entry.state is queue.EntryState.WAITING:
            self._queue.remove(entry)
            self._refuse(entry, reason, f"left the queue: {reason}")

    def finish(self, entry: queue.Entry, result: outcome.Outcome, now: float) -> None:
        """Learns how a started call ended and starts waiting ones; further calls do nothing."""
        if entry.state is not queue.EntryState.STARTED:
            return
        entry.state = queue.EntryState.FINISHED
        used = self._in_flight
        self._in_flight -= 1
        if result not in (outcome.Outcome.SHED, outcome.Outcome.REFUSED):
            self._controller.held(now - entry.started_at)
        if not self._exact:
            self._limit.finished(result, used, self._controller.hold_s, now)
        if len(self._queue):
            self._advance(now)

    def report(self, now: float) -> load.LoadReport:
        """Returns what callers are told."""
        self._update(now)
        waiting, limit = len(self._queue), self._limit.value
        return load.LoadReport(
            round((self._in_flight + waiting) / limit, REPORT_DIGITS),
            limit,
            self._in_flight,
            waiting,
            self._controller.threshold,
        )

    def _ceiling(self) -> int:
        return min(self._slots, self._connections, self._announced)

    def _update(self, now: float) -> None:
        if not self._controller.due(now):
            return
        waiting = self._queue.waiting()
        if self._controller.update(self._limit.value, self._in_flight, waiting, now):
            self._drop_stale(now)

    def _drop_stale(self, now: float) -> None:
        hold_s = self._controller.hold_s
        for entry in self._queue.entries():
            holds = INVESTED_WAIT if entry.context.depth else FRESH_WAIT
            if hold_s and now - entry.arrived_at > max(LEAST_WAIT_S, holds * hold_s):
                self.withdraw(entry, "shed")

    def _expected_s(self) -> float:
        return EXPECTED_SHARE * self._controller.hold_s

    def _check_open(self, context: call.CallContext) -> None:
        if self._draining or self._state is record.State.DRAINING:
            raise refusal("draining", "the upstream is leaving", context.request_id)
        if self._state is not record.State.READY:
            raise refusal("no-upstream", "no upstream is ready here", context.request_id)

    def _check_threshold(self, context: call.CallContext) -> None:
        share = self._controller.threshold.share(context.importance, context.team)
        if not context.depth and load.position(context.request_id) >= share:
            raise refusal("shed", "above the threshold of this upstream", context.request_id)

    def _check_deadline(self, context: call.CallContext, ahead: int, now: float) -> None:
        hold_s = self._controller.hold_s
        wait_s = ahead * hold_s / self._limit.value
        if context.deadline - now <= wait_s + EXPECTED_SHARE * hold_s:
            raise refusal("deadline", "cannot end before its deadline", context.request_id)

    def _advance(self, now: float) -> None:
        while len(self._queue) and self._in_flight < self._limit.value:
            entry = self._queue.pop()
            if entry.context.time_left(now) <= self._expected_s():
                self._refuse(entry, "deadline", "cannot end before its deadline")
                continue
            self._start(entry, now)
            entry.notify(entry)

    def _start(self, entry: queue.Entry, now: float) -> None:
        entry.state = queue.EntryState.STARTED
        entry.started_at = now
        self._in_flight += 1
        self._queue.charge(entry.context)

    def _refuse(self, entry: queue.Entry, reason: str, message: str) -> None:
        entry.state = queue.EntryState.REFUSED
        entry.refusal = refusal(reason, message, entry.context.request_id)
        entry.notify(entry)

    def _refuse_waiting(self) -> None:
        leaving = self._draining or self._state is record.State.DRAINING
        for entry in self._queue.entries():
            self._queue.remove(entry)
            self._refuse(entry, "draining" if leaving else "no-upstream", "the upstream has left")
