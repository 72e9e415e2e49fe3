"""Fake upstream: slots, service time, faults; what it says of itself may be untrue."""

import collections
import math
import random
from collections.abc import Callable

from bench.policy import loop
from bergamotridge.upstreams import outcome

SPREAD = 0.4
COLD_FACTOR = 4.0


class Run:
    """One call at an upstream: own work, then the call below, then the answer."""

    def __init__(
        self,
        deadline: float,
        below: Callable[["Run"], None] | None,
        done: Callable[["Run", outcome.Outcome], None],
        work: float = 1.0,
    ) -> None:
        self.deadline = deadline
        self.below = below
        self.done = done
        self.work = work
        self.started_at = math.inf
        self.worked_s = 0.0
        self.waiting_below = False
        self.placed = False
        self.ended = False


class Upstream:
    """A server of a service; calls beyond its true slots wait inside it, first come first served.

    Attributes:
        slots: Calls that it can really run at once.
        factor: Multiple of the normal service time.
        sheds_above: It sheds while it holds more calls than this, or None.
        cold_calls: Calls until it is warm.
        alive: False while it is down.
        fails: True while it fails each call at once.
        obeys_deadlines: True if it stops work when the time is up.
    """

    def __init__(
        self, events: loop.Loop, slots: int, work_s: float, rng: random.Random, *, obeys: bool
    ) -> None:
        self.slots = slots
        self.factor = 1.0
        self.sheds_above: int | None = None
        self.cold_calls = 0
        self.alive = True
        self.obeys_deadlines = obeys
        self.fails = False
        self._loop = events
        self._work_s = work_s
        self._rng = rng
        self._waiting: collections.deque[Run] = collections.deque()
        self._held: set[Run] = set()
        self._busy = 0

    def accept(self, run: Run) -> None:
        """Takes a call."""
        if not self.alive:
            run.done(run, outcome.Outcome.REFUSED)
            return
        if self.sheds_above is not None and len(self._held) >= self.sheds_above:
            run.done(run, outcome.Outcome.SHED)
            return
        if self.fails:
            run.done(run, outcome.Outcome.FAILED)
            return
        self._held.add(run)
        if self.obeys_deadlines:
            self._loop.after(max(0.0, run.deadline - self._loop.now), lambda: self._expire(run))
        if self._busy < self.slots:
            self._begin(run)
        else:
            self._waiting.append(run)

    def kill(self) -> None:
        """Goes down; calls in it fail."""
        self.alive = False
        self._waiting.clear()
        for run in sorted(self._held, key=lambda item: item.deadline):
            self._end(run, outcome.Outcome.FAILED)

    def revive(self, cold_calls: int) -> None:
        """Comes up again, cold."""
        self.alive = True
        self.cold_calls = cold_calls

    def below_done(self, run: Run, good: bool) -> None:
        """Goes on after the call below has ended."""
        run.waiting_below = False
        self._end(run, outcome.Outcome.OK if good else outcome.Outcome.CANCELLED)

    def _begin(self, run: Run) -> None:
        self._busy += 1
        run.placed = True
        cold = COLD_FACTOR if self.cold_calls > 0 else 1.0
        self.cold_calls -= 1
        noise = self._rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        seconds = self._work_s * run.work * self.factor * cold * noise
        run.started_at = self._loop.now
        self._loop.after(seconds, lambda: self._worked(run))

    def _worked(self, run: Run) -> None:
        if run.ended:
            return
        run.worked_s = self._loop.now - run.started_at
        if run.below is None:
            self._end(run, outcome.Outcome.OK)
        else:
            run.waiting_below = True
            run.below(run)

    def _expire(self, run: Run) -> None:
        if not run.ended:
            below = run.waiting_below
            self._end(run, outcome.Outcome.CANCELLED if below else outcome.Outcome.TIMED_OUT)

    def _end(self, run: Run, result: outcome.Outcome) -> None:
        if run.ended:
            return
        run.ended = True
        self._held.discard(run)
        if not run.worked_s:
            run.worked_s = max(0.0, self._loop.now - run.started_at)
        if run.placed:
            self._busy -= 1
        elif run in self._waiting:
            self._waiting.remove(run)
        while self._waiting and self._busy < self.slots:
            self._begin(self._waiting.popleft())
        run.done(run, result)
