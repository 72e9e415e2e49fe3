"""The baseline policy: fixed limits, FIFO queues, round robin and plain retries at each hop."""

import collections
from collections.abc import Callable, Collection, Hashable, Sequence

from bergamotridge import call
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import outcome, queue, refusal


class FifoAdmission:
    """Runs as many calls as there are slots; the remaining connections form a FIFO queue."""

    def __init__(self, slots: int, connections: int) -> None:
        self._slots = slots
        self._room = connections - slots
        self._in_flight = 0
        self._waiting: collections.deque[queue.Entry] = collections.deque()

    def offer(
        self, context: call.CallContext, now: float, notify: Callable[[queue.Entry], None]
    ) -> queue.Entry:
        """Starts or queues a call; raises CallError if all connections are in use."""
        if len(self._waiting) >= self._room:
            raise refusal.build_refusal("shed", "no connection is free", context.request_id)
        entry = queue.Entry(context, now, notify)
        if self._in_flight < self._slots:
            self._start(entry, now)
        else:
            self._waiting.append(entry)
        return entry

    def withdraw(self, entry: queue.Entry, reason: str) -> None:
        """Keeps the call in the queue, since the baseline ignores callers that have left."""

    def finish(self, entry: queue.Entry, result: outcome.Outcome, now: float) -> None:
        """Frees the slot and starts the oldest waiting calls."""
        entry.state = queue.EntryState.FINISHED
        self._in_flight -= 1
        while self._waiting and self._in_flight < self._slots:
            waiting = self._waiting.popleft()
            self._start(waiting, now)
            waiting.notify(waiting)

    def report(self, now: float) -> load.LoadReport:
        """Returns a load report with an open threshold, at which nothing is shed."""
        waiting = len(self._waiting)
        return load.LoadReport(0.0, self._slots, self._in_flight, waiting)

    def _start(self, entry: queue.Entry, now: float) -> None:
        entry.state = queue.EntryState.STARTED
        entry.started_at = now
        self._in_flight += 1


class RoundRobin:
    """Chooses in turn among the upstreams whose record says that they are ready."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self,
        candidates: Sequence[record.UpstreamRecord],
        excluded: Collection[str],
        now: float,
        may_probe: bool = True,
    ) -> record.UpstreamRecord | None:
        """Returns the next ready upstream, even if this call has tried it; None without any."""
        ready = [item for item in candidates if item.state is record.State.READY]
        self._turn += 1
        return ready[self._turn % len(ready)] if ready else None

    def record_outcome(
        self,
        host: str,
        result: outcome.Outcome,
        report: load.LoadReport | None,
        latency_s: float,
        now: float,
        kind: Hashable = "",
    ) -> None:
        """Ignores the result of an attempt."""
