"""Simulated upstream with slots, service time and faults; the state it announces may be wrong."""

import collections
import math
import random
from collections.abc import Callable

from bench.policy import loop
from bergamotridge.upstreams import outcome

SERVICE_TIME_SIGMA = 0.4
COLD_TIME_FACTOR = 4.0


class Run:
    """One call at an upstream: its own work, then the call to the next service, then the answer.

    Attributes:
        deadline: Virtual time at which the call expires, in seconds.
        call_downstream: Calls the next service of the path, or None at the last one.
        done: Receives the run and its outcome.
        work: Work of the call, as a multiple of the mean service time.
        started_at: Virtual time at which it got a slot, infinite until then.
        worked_s: Seconds of service time.
        waits_for_downstream: True while the next service has not answered.
        got_slot: True once it got a slot, also after it has ended.
        ended: True once it has ended.
    """

    def __init__(
        self,
        deadline: float,
        call_downstream: Callable[["Run"], None] | None,
        done: Callable[["Run", outcome.Outcome], None],
        work: float = 1.0,
    ) -> None:
        self.deadline = deadline
        self.call_downstream = call_downstream
        self.done = done
        self.work = work
        self.started_at = math.inf
        self.worked_s = 0.0
        self.waits_for_downstream = False
        self.got_slot = False
        self.ended = False


class Upstream:
    """A server of a service; calls beyond its true slots wait inside it, first come first served.

    Attributes:
        slots: Number of calls that it can run at once; the announced number may differ.
        service_time_factor: Multiple of the normal service time.
        sheds_above_calls: It sheds new calls while it holds at least so many, or None.
        cold_calls: Number of calls until it is warm.
        alive: False while it is down.
        fails: True while it fails each call at once.
        obeys_deadlines: True if it stops a call at its deadline.
    """

    def __init__(
        self,
        events: loop.Loop,
        slots: int,
        service_time_s: float,
        rng: random.Random,
        *,
        obeys_deadlines: bool,
    ) -> None:
        self.slots = slots
        self.service_time_factor = 1.0
        self.sheds_above_calls: int | None = None
        self.cold_calls = 0
        self.alive = True
        self.obeys_deadlines = obeys_deadlines
        self.fails = False
        self._loop = events
        self._service_time_s = service_time_s
        self._rng = rng
        self._waiting: collections.deque[Run] = collections.deque()
        self._held: set[Run] = set()
        self._busy_slots = 0

    def accept(self, run: Run) -> None:
        """Starts, queues or rejects a call."""
        if not self.alive:
            run.done(run, outcome.Outcome.REFUSED)
            return
        if self.sheds_above_calls is not None and len(self._held) >= self.sheds_above_calls:
            run.done(run, outcome.Outcome.SHED)
            return
        if self.fails:
            run.done(run, outcome.Outcome.FAILED)
            return
        self._held.add(run)
        if self.obeys_deadlines:
            self._loop.call_after(
                max(0.0, run.deadline - self._loop.now), lambda: self._expire_run(run)
            )
        if self._busy_slots < self.slots:
            self._begin_work(run)
        else:
            self._waiting.append(run)

    def kill(self) -> None:
        """Shuts down abruptly; all calls that it holds fail."""
        self.alive = False
        self._waiting.clear()
        for run in sorted(self._held, key=lambda item: item.deadline):
            self._end_run(run, outcome.Outcome.FAILED)

    def revive(self, cold_calls: int) -> None:
        """Restarts; the first `cold_calls` calls take `COLD_TIME_FACTOR` times as long."""
        self.alive = True
        self.cold_calls = cold_calls

    def finish_downstream_call(self, run: Run, good: bool) -> None:
        """Ends a run once the next service has answered."""
        run.waits_for_downstream = False
        self._end_run(run, outcome.Outcome.OK if good else outcome.Outcome.CANCELLED)

    def _begin_work(self, run: Run) -> None:
        self._busy_slots += 1
        run.got_slot = True
        cold_factor = COLD_TIME_FACTOR if self.cold_calls > 0 else 1.0
        self.cold_calls -= 1
        noise = self._rng.lognormvariate(
            -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
        )
        seconds = self._service_time_s * run.work * self.service_time_factor * cold_factor * noise
        run.started_at = self._loop.now
        self._loop.call_after(seconds, lambda: self._finish_work(run))

    def _finish_work(self, run: Run) -> None:
        if run.ended:
            return
        run.worked_s = self._loop.now - run.started_at
        if run.call_downstream is None:
            self._end_run(run, outcome.Outcome.OK)
        else:
            run.waits_for_downstream = True
            run.call_downstream(run)

    def _expire_run(self, run: Run) -> None:
        if not run.ended:
            is_waiting = run.waits_for_downstream
            self._end_run(
                run, outcome.Outcome.CANCELLED if is_waiting else outcome.Outcome.TIMED_OUT
            )

    def _end_run(self, run: Run, result: outcome.Outcome) -> None:
        if run.ended:
            return
        run.ended = True
        self._held.discard(run)
        if not run.worked_s:
            run.worked_s = max(0.0, self._loop.now - run.started_at)
        if run.got_slot:
            self._busy_slots -= 1
        elif run in self._waiting:
            self._waiting.remove(run)
        while self._waiting and self._busy_slots < self.slots:
            self._begin_work(self._waiting.popleft())
        run.done(run, result)
