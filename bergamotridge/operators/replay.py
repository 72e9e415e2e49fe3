"""Replays a recorded trace through the decision modules, without sockets or threads."""

import collections
import heapq
import itertools
import random
from collections.abc import Callable, Sequence

import attrs

from bergamotridge import call, errors
from bergamotridge.callers import shedding
from bergamotridge.nodes import budget, choice, record
from bergamotridge.operators import trace
from bergamotridge.upstreams import admission, outcome, queue

QUEUE_ROOM = 64
RETRIES = 2
NODE = "replay"


@attrs.define
class Count:
    """What became of the calls of one class and team."""

    arrived: int = 0
    shed: int = 0
    finished: int = 0
    failed: int = 0


Counts = dict[tuple[call.Importance, str], Count]


class _Server:
    """One upstream of the trace behind its admission."""

    def __init__(self, said: trace.Announcement) -> None:
        self.said = said
        self.fault = trace.Fault(0.0, said.host)
        self.admission = admission.Admission(said.slots, QUEUE_ROOM, said.connections)

    def record(self) -> record.UpstreamRecord:
        """Returns what the choice sees."""
        said = self.said
        return record.UpstreamRecord(
            said.host,
            1,
            1,
            said.failure_domain,
            "",
            said.service,
            said.state,
            said.slots,
            0.0,
            "",
            "",
        )


class Replay:
    """One node that sends all calls of a trace; same trace, same counts."""

    def __init__(self, seed: int = 0) -> None:
        self.counts: Counts = collections.defaultdict(Count)
        self._rng = random.Random(seed)
        self._chooser = choice.Chooser(NODE, "", "", self._rng)
        self._thresholds = shedding.ThresholdTable()
        self._budget = budget.RetryBudget()
        self._servers: dict[str, _Server] = {}
        self._pending: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()

    def run(self, events: Sequence[trace.Event]) -> Counts:
        """Replays all events and returns the counts by class and team."""
        for event in events:
            self._until(event.at)
            if isinstance(event, trace.Announcement):
                self._announce(event)
            elif isinstance(event, trace.Fault):
                self._servers[event.host].fault = event
            else:
                _Call(self, event).arrive()
        self._until(float("inf"))
        return self.counts

    def later(self, at: float, action: Callable[[float], None]) -> None:
        """Runs `action` with the time `at`."""
        heapq.heappush(self._pending, (at, next(self._order), action))

    def check(self, arrival: trace.Arrival) -> None:
        """Refuses a call above the threshold of its service; raises CallError."""
        self._thresholds.check(
            arrival.request, arrival.importance, [arrival.service], arrival.at, arrival.team
        )

    def choose(self, arrival: trace.Arrival, excluded: set[str], now: float) -> _Server | None:
        """Returns the server for an attempt."""
        service = arrival.service
        known = [item.record() for item in self._servers.values() if item.said.service == service]
        chosen = self._chooser.choose(known, excluded, now, arrival.repeatable)
        if not excluded:
            self._budget.first_attempt(service, now)
        return self._servers[chosen.host] if chosen else None

    def learn(self, server: _Server, result: outcome.Outcome, sent_at: float, now: float) -> None:
        """Tells choice and thresholds how an attempt ended."""
        report = server.admission.report(now)
        self._chooser.report(server.said.host, result, report, now - sent_at, now)
        self._thresholds.observe(server.said.service, report.threshold, now, server.said.host)

    def may_retry(self, service: str, now: float) -> bool:
        """Takes a retry from the budget."""
        return self._budget.may_retry(service, now)

    def _announce(self, said: trace.Announcement) -> None:
        server = self._servers.setdefault(said.host, _Server(said))
        server.said = said
        server.admission.announce(said.state, said.slots, said.connections, said.at)

    def _until(self, end: float) -> None:
        while self._pending and self._pending[0][0] <= end:
            at, _, action = heapq.heappop(self._pending)
            action(at)


class _Call:
    """One call of the trace with its attempts."""

    def __init__(self, replay: Replay, arrival: trace.Arrival) -> None:
        self._replay = replay
        self._arrival = arrival
        self._count = replay.counts[arrival.importance, arrival.team]
        self._allowance = call.Allowance(RETRIES)
        self._excluded: set[str] = set()
        self._context = call.CallContext(
            arrival.request,
            arrival.team,
            arrival.importance,
            arrival.at + arrival.timeout_s,
            arrival.depth,
            arrival.repeatable,
            arrival.weight,
        )

    def arrive(self) -> None:
        """Begins."""
        self._count.arrived += 1
        try:
            if not self._arrival.depth:
                self._replay.check(self._arrival)
        except errors.CallError:
            self._count.shed += 1
            return
        self._attempt(self._arrival.at)

    def _attempt(self, now: float) -> None:
        server = self._replay.choose(self._arrival, self._excluded, now)
        if server is None:
            self._count.shed += 1
            return

        def settled(entry: queue.Entry) -> None:
            self._settled(server, entry, now)

        try:
            entry = server.admission.offer(self._context, now, settled)
        except errors.CallError:
            self._ended(server, outcome.Outcome.SHED, now, now, not_run=True)
            return
        if entry.state is queue.EntryState.STARTED:
            self._settled(server, entry, now)
        else:
            self._replay.later(
                self._context.deadline, lambda _: server.admission.withdraw(entry, "deadline")
            )

    def _settled(self, server: _Server, entry: queue.Entry, sent_at: float) -> None:
        if entry.state is queue.EntryState.REFUSED:
            self._count.shed += 1
            return
        started_at = entry.started_at
        result, ends_at = outcome.Outcome.OK, started_at
        if server.fault.answer is not None:
            result = server.fault.answer
        else:
            ends_at += self._arrival.service_s * server.fault.slowdown
        if ends_at > self._context.deadline:
            result, ends_at = outcome.Outcome.TIMED_OUT, self._context.deadline

        def end(now: float) -> None:
            server.admission.finish(entry, result, now)
            not_run = result in (outcome.Outcome.SHED, outcome.Outcome.REFUSED)
            self._ended(server, result, sent_at, now, not_run=not_run)

        self._replay.later(ends_at, end)

    def _ended(
        self,
        server: _Server,
        result: outcome.Outcome,
        sent_at: float,
        now: float,
        *,
        not_run: bool,
    ) -> None:
        self._replay.learn(server, result, sent_at, now)
        if result is outcome.Outcome.OK:
            self._count.finished += 1
            return
        may = not_run or (self._arrival.repeatable and result is outcome.Outcome.FAILED)
        if may and self._replay.may_retry(self._arrival.service, now) and self._allowance.spend():
            self._excluded.add(server.said.host)
            self._attempt(now)
        elif not_run:
            self._count.shed += 1
        else:
            self._count.failed += 1


def table(counts: Counts) -> str:
    """Returns the counts as lines of text, by class and team."""
    lines = [f"{'class':<10} {'team':<12} {'arrived':>7} {'shed':>7} {'finished':>8} {'failed':>7}"]
    for (importance, team), count in sorted(counts.items()):
        lines.append(
            f"{importance.name.lower():<10} {team or '-':<12} {count.arrived:>7} "
            f"{count.shed:>7} {count.finished:>8} {count.failed:>7}"
        )
    return "\n".join(lines) + "\n"
