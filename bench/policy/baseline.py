"""The baseline: fixed limits, first in first out, plain retries at each hop."""

import collections
from collections.abc import Callable, Collection, Sequence

from bergamotridge import call
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import admission, outcome, queue


class FifoAdmission:
    """As many calls as slots; as many wait, in order, as there are further connections."""

    def __init__(self, slots: int, connections: int) -> None:
        self._slots = slots
        self._room = connections - slots
        self._in_flight = 0
        self._waiting: collections.deque[queue.Entry] = collections.deque()

    def offer(
        self, context: call.CallContext, now: float, notify: Callable[[queue.Entry], None]
    ) -> queue.Entry:
        """Takes a call; raises CallError if all connections are in use."""
        if len(self._waiting) >= self._room:
            raise admission.build_refusal("shed", "no connection is free", context.request_id)
        entry = queue.Entry(context, now, notify)
        if self._in_flight < self._slots:
            self._start(entry, now)
        else:
            self._waiting.append(entry)
        return entry

    def withdraw(self, entry: queue.Entry, reason: str) -> None:
        """Keeps the call: nobody tells this queue that a caller has left."""

    def finish(self, entry: queue.Entry, result: outcome.Outcome, now: float) -> None:
        """Gives the slot back and starts the oldest waiting call."""
        entry.state = queue.EntryState.FINISHED
        self._in_flight -= 1
        while self._waiting and self._in_flight < self._slots:
            waiting = self._waiting.popleft()
            self._start(waiting, now)
            waiting.notify(waiting)

    def report(self, now: float) -> load.LoadReport:
        """Returns a report that sheds nothing."""
        waiting = len(self._waiting)
        return load.LoadReport(0.0, self._slots, self._in_flight, waiting)

    def _start(self, entry: queue.Entry, now: float) -> None:
        entry.state = queue.EntryState.STARTED
        entry.started_at = now
        self._in_flight += 1


class RoundRobin:
    """Takes the upstreams that are said to be ready in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self,
        candidates: Sequence[record.UpstreamRecord],
        excluded: Collection[str],
        now: float,
        may_probe: bool = True,
    ) -> record.UpstreamRecord | None:
        """Returns the next upstream, also one that this call has tried."""
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
    ) -> None:
        """Learns nothing."""
