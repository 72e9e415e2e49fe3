"""Admission control for one upstream: combines limits, queue and threshold; single-threaded."""

from collections.abc import Callable

from bergamotridge import call, errors
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import (
    call_kinds,
    connection_bound,
    limit,
    notice,
    outcome,
    queue,
    refusal,
    start_rates,
    threshold,
)

REQUIRED_HOLD_FRACTION = 0.7  # Of the smoothed hold time; a call with less time left is refused.
MIN_QUEUE_TIMEOUT_S = 0.05
# Queue timeouts in hold times. Root calls (depth 0) get less than deeper calls, whose requests have
# already cost work.
ROOT_QUEUE_TIMEOUT_HOLDS = 0.5
NESTED_QUEUE_TIMEOUT_HOLDS = 1.0
LOAD_DECIMALS = 3
# Outcomes of calls that the upstream neither accepted nor rejected.
_NOT_SENT = (outcome.Outcome.REFUSED, outcome.Outcome.UNREACHABLE)


class Admission:
    """Decides which calls run at the upstream and when.

    Not thread-safe; the gate holds its lock during each method call.

    Args:
        slots: Concurrent calls that the operator's text allows.
        queue_capacity: Number of calls that may wait.
        connections: Connections that the operator's text allows; as many as slots if None.
        scarce: True to divide the upstream between direct and unattributed calls.
    """

    def __init__(
        self,
        slots: int,
        queue_capacity: int,
        connections: int | None = None,
        *,
        scarce: bool = False,
    ) -> None:
        self._slots = slots
        self._connections = connections if connections is not None else slots
        self._announced_limit = slots
        self._connection_bound = connection_bound.ConnectionBound()
        self._limit = limit.AdaptiveLimit(self._compute_ceiling())
        self.start_rates = start_rates.StartRates()
        self._queue = queue.AdmissionQueue(queue_capacity, separate_kinds=scarce)
        self._controller = threshold.ThresholdController(scarce=scarce)
        self._state = record.State.LOST
        self._exact_slots = False
        self._draining = False
        self._in_flight = 0
        self._unattributed_in_flight = 0

    @property
    def state(self) -> record.State:
        """State in the latest announcement of the upstream."""
        return self._state

    @property
    def kinds(self) -> call_kinds.KindsReport:
        """How the upstream is divided between direct and unattributed calls."""
        unattributed = self._queue.count_unattributed()
        return call_kinds.KindsReport(
            self._controller.unattributed_share,
            self._controller.rejected_fraction,
            len(self._queue) - unattributed,
            unattributed,
        )

    @property
    def in_flight(self) -> int:
        """Number of running calls."""
        return self._in_flight

    def configure(self, slots: int, connections: int) -> None:
        """Applies slots and connections of the operator's text."""
        self._slots = slots
        self._connections = connections
        self._limit.set_ceiling(self._compute_ceiling())

    @property
    def next_trial(self) -> int | None:
        """Connections that should be open in the next trial, None if none is due."""
        total = self._connection_bound.next_trial
        if total is None or self._draining or self._state is not record.State.READY:
            return None
        return min(total, self._compute_need())

    @property
    def bound_generation(self) -> int:
        """Changes as the bound of an upstream that was replaced is forgotten."""
        return self._connection_bound.generation

    @property
    def has_connection_bound(self) -> bool:
        """True while the upstream counts as one that refuses connections."""
        return self._connection_bound.next_trial is not None

    def record_refused_connection(self, open_connections: int, now: float) -> None:
        """Takes in that the upstream refused a connection beside so many open ones."""
        self._connection_bound.record_refusal(open_connections, now)
        self._limit.set_ceiling(self._compute_ceiling())

    def record_trial(self, accepted: int, is_whole: bool, generation: int, now: float) -> None:
        """Takes in how many connections the upstream accepted, and whether it refused none.

        Does nothing if `generation`, that of the trial's beginning, isn't the present one.
        """
        if generation != self.bound_generation:
            return
        need = self._compute_need()
        self._connection_bound.record_trial(accepted, is_whole, need, now)
        self._limit.set_ceiling(self._compute_ceiling())
        self._start_waiting_calls(now)

    def forget_connection_bound(self) -> None:
        """Forgets the refused connections of an upstream that was replaced."""
        self._connection_bound.reset()
        self._limit.set_ceiling(self._compute_ceiling())

    def apply_announcement(
        self,
        state: record.State,
        slots: int,
        connections: int,
        now: float,
        *,
        exact_slots: bool = False,
    ) -> None:
        """Applies an announcement of the upstream.

        Args:
            state: State of the upstream.
            slots: Number of calls that the upstream claims to run concurrently.
            connections: Number of connections that the upstream claims to accept.
            now: Monotonic time in seconds.
            exact_slots: True if the upstream counts its slots itself and announces how long it
                stays slow. The limit then stays at the ceiling, also when the upstream sheds a
                call, which is no evidence of fewer slots.
        """
        self._announced_limit = min(slots, connections)
        self._limit.set_ceiling(self._compute_ceiling())
        if state is record.State.READY and self._state is not record.State.READY:
            self._limit.restart(ramp=not exact_slots)
        self._exact_slots = exact_slots
        self._state = state
        if state is not record.State.READY:
            self._refuse_unavailable()
        self._start_waiting_calls(now)

    def apply_notice(self, received: notice.Notice, now: float) -> None:
        """Applies what the upstream says about itself in an answer.

        A rate limit also lowers the concurrency limit, so that load reports and thresholds show
        the capacity that is left.

        Args:
            received: What is known of the upstream after the answer.
            now: Monotonic time in seconds.
        """
        self.start_rates.named.set_limit(received.rate_limit, now)
        self._start_waiting_calls(now)

    def next_start_s(self, now: float) -> float | None:
        """Returns the seconds until the rate limit lets a waiting call start.

        Returns None if no call waits, or if the next one waits for a running call to end.
        """
        if not len(self._queue) or not self._has_room():
            return None
        return self.start_rates.wait_s(now)

    def start_waiting_calls(self, now: float) -> None:
        """Starts the waiting calls that may start, and sheds those that have waited too long."""
        self._update_threshold(now)
        self._start_waiting_calls(now)

    def drain(self) -> None:
        """Refuses all waiting and future calls; running calls continue."""
        self._draining = True
        self._refuse_unavailable()

    def offer(
        self, context: call.CallContext, now: float, notify: Callable[[queue.Entry], None]
    ) -> queue.Entry:
        """Starts or queues a call and returns its entry; `notify` runs if a queued call is settled.

        Raises:
            CallError: The call was refused; the verdict is NOT_RUN.
        """
        if self._draining or self._state is not record.State.READY:
            is_draining = self._draining or self._state is record.State.DRAINING
            raise refusal.build_unavailable(context.request_id, is_draining=is_draining)
        self._controller.record_arrival(context)
        self._update_threshold(now)
        entry = queue.Entry(context, now, notify)
        if not len(self._queue) and self._may_start(now):
            self._check_deadline(context, 0, now)
            self._start(entry, now)
            return entry
        if self.start_rates.cold.is_in_force(now):
            raise refusal.build_refusal("cold", start_rates.COLD_MESSAGE, context.request_id)
        self._controller.record_wait()
        self._check_threshold(context)
        self._check_deadline(context, self._queue.count_ahead(context), now)
        evicted = self._queue.push(entry)
        if evicted is entry:
            raise refusal.build_queue_full(context.request_id)
        if evicted is not None:
            self._settle(evicted, refusal.build_evicted(evicted.context.request_id))
        self._start_waiting_calls(now)
        return entry

    def withdraw(self, entry: queue.Entry, reason: str) -> None:
        """Refuses a waiting call because its deadline passed or its caller disconnected."""
        if entry.state is queue.EntryState.WAITING:
            self._queue.remove(entry)
            self._refuse(
                entry,
                reason,
                f"removed from the admission queue before the call was started: {reason}",
            )

    def finish(self, entry: queue.Entry, result: outcome.Outcome, now: float) -> None:
        """Records the outcome of a started call and starts waiting calls; a repeat does nothing."""
        if entry.state is not queue.EntryState.STARTED:
            return
        entry.state = queue.EntryState.FINISHED
        in_flight_before = self._in_flight
        self._in_flight -= 1
        self._unattributed_in_flight -= entry.context.unattributed
        if result not in (outcome.Outcome.SHED, outcome.Outcome.REFUSED):
            kind = call_kinds.kind_of(entry.context)
            self._controller.record_hold_time(now - entry.started_at, kind)
        if result not in _NOT_SENT:
            self._controller.record_end(was_rejected=result is outcome.Outcome.SHED)
        if not self._exact_slots:
            self._limit.record_result(
                result,
                in_flight_before,
                self._controller.hold_s,
                now,
                keeps_ramp_start=self._controller.divides_kinds,
            )
        if len(self._queue):
            self._start_waiting_calls(now)

    def report(self, now: float) -> load.LoadReport:
        """Returns the load report for callers."""
        self._update_threshold(now)
        waiting, limit = len(self._queue), self._current_limit()
        gate_load = (self._in_flight + waiting) / limit
        # A call may have to wait although fewer run than the concurrency limit allows.
        min_load = self.start_rates.min_load(now)
        if not self._connection_bound.value:
            min_load = max(start_rates.FULL_LOAD, min_load)
        gate_load = max(min_load, gate_load)
        return load.LoadReport(
            round(gate_load, LOAD_DECIMALS),
            limit,
            self._in_flight,
            waiting,
            self._controller.threshold,
        )

    def _compute_need(self) -> int:
        """Returns the smallest of all slots and connections, configured or announced."""
        return min(self._slots, self._connections, self._announced_limit)

    def _compute_ceiling(self) -> int:
        """Returns how many calls the limit may allow."""
        return min(self._compute_need(), self._connection_bound.value)

    def _current_limit(self) -> int:
        """Returns how many calls may run concurrently."""
        limit = self._limit.value
        named = self.start_rates.named
        if named.is_limited:
            limit = min(limit, named.concurrency(self._controller.hold_s))
        return limit

    def _may_start(self, now: float) -> bool:
        """Returns whether one more call may start now."""
        return self._has_room() and not self.start_rates.wait_s(now)

    def _has_room(self) -> bool:
        """Returns whether one more call may run, each on a connection of its own."""
        return self._in_flight < min(self._current_limit(), self._connection_bound.value)

    def _update_threshold(self, now: float) -> None:
        if not self._controller.is_update_due(now):
            return
        if self._controller.update(
            self._current_limit(),
            self._in_flight,
            self._queue.count_by_class(),
            now,
            self._queue.count_unattributed(),
            self._unattributed_in_flight,
        ):
            self._shed_stale_calls(now)

    def _shed_stale_calls(self, now: float) -> None:
        """Sheds calls that have waited longer than the queue timeout."""
        for entry in self._queue.entries():
            hold_s = self._controller.hold_s_of(entry.context)
            timeout_holds = (
                NESTED_QUEUE_TIMEOUT_HOLDS if entry.context.depth else ROOT_QUEUE_TIMEOUT_HOLDS
            )
            if hold_s and now - entry.arrived_at > max(MIN_QUEUE_TIMEOUT_S, timeout_holds * hold_s):
                self.withdraw(entry, "shed")

    def _required_time_s(self, context: call.CallContext) -> float:
        """Returns the least time in seconds that a call needs before its deadline."""
        return REQUIRED_HOLD_FRACTION * self._controller.hold_s_of(context)

    def _check_threshold(self, context: call.CallContext) -> None:
        """Refuses a root call whose request is above the admitted share; raises CallError."""
        share = self._controller.threshold.share(context.importance, context.team)
        if not context.depth and load.request_position(context.request_id) >= share:
            raise refusal.build_above_threshold(context.request_id)

    def _check_deadline(self, context: call.CallContext, waiting_ahead: int, now: float) -> None:
        """Refuses a call that cannot finish in time; raises CallError."""
        hold_s = self._controller.hold_s
        wait_s = waiting_ahead * hold_s / self._current_limit() if waiting_ahead else 0.0
        if context.deadline - now <= wait_s + self._required_time_s(context):
            raise refusal.build_late(context.request_id)

    def _start_waiting_calls(self, now: float) -> None:
        """Starts waiting calls while they may start; refuses those that cannot finish in time."""
        while len(self._queue) and self._may_start(now):
            entry = self._queue.pop()
            if entry.context.time_left(now) <= self._required_time_s(entry.context):
                self._settle(entry, refusal.build_late(entry.context.request_id))
                continue
            self._start(entry, now)
            entry.notify(entry)

    def _start(self, entry: queue.Entry, now: float) -> None:
        entry.state = queue.EntryState.STARTED
        entry.started_at = now
        self._in_flight += 1
        self._unattributed_in_flight += entry.context.unattributed
        self.start_rates.take(now)
        self._queue.charge(entry.context, self._controller.relative_cost(entry.context))

    def _refuse(self, entry: queue.Entry, reason: str, message: str) -> None:
        self._settle(entry, refusal.build_refusal(reason, message, entry.context.request_id))

    def _settle(self, entry: queue.Entry, error: errors.CallError) -> None:
        entry.state = queue.EntryState.REFUSED
        entry.refusal = error
        entry.notify(entry)

    def _refuse_unavailable(self) -> None:
        is_draining = self._draining or self._state is record.State.DRAINING
        self.refuse_waiting_calls(
            "draining" if is_draining else "no-upstream",
            "the upstream on this host is no longer ready; retry later",
        )

    def refuse_waiting_calls(self, reason: str, message: str) -> None:
        """Refuses all calls that wait now."""
        for entry in self._queue.entries():
            self._queue.remove(entry)
            self._refuse(entry, reason, message)
