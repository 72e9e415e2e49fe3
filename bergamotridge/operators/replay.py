"""Replays a recorded trace in a simulation of one node, without sockets or threads.

The modules that decide on calls (load balancing, retry budget, shedding, admission) are those of a
node; time is simulated and follows the times of the trace.
"""

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

QUEUE_CAPACITY = 64
MAX_RETRIES = 2
NODE_HOST = "replay"


@attrs.define
class CallCounts:
    """Number of calls of one importance and team, in total and by outcome."""

    arrived: int = 0
    shed: int = 0
    finished: int = 0
    failed: int = 0


# Keyed by importance and team.
CountTable = dict[tuple[call.Importance, str], CallCounts]


class _Server:
    """One upstream of the trace with its admission control."""

    def __init__(self, announcement: trace.Announcement) -> None:
        self.announcement = announcement
        self.fault = trace.Fault(0.0, announcement.host)
        self.admission = admission.Admission(
            announcement.slots, QUEUE_CAPACITY, announcement.connections
        )

    def build_record(self) -> record.UpstreamRecord:
        """Returns the record from which the load balancer chooses an upstream."""
        announcement = self.announcement
        return record.UpstreamRecord(
            announcement.host,
            1,
            1,
            announcement.failure_domain,
            "",
            announcement.service,
            announcement.state,
            announcement.slots,
            0.0,
            "",
            "",
        )


class Replay:
    """Simulation of one node that sends all calls of a trace.

    The same trace and seed always give the same counts.

    Attributes:
        counts: Counts of the calls so far, by importance and team.
    """

    def __init__(self, seed: int = 0) -> None:
        self.counts: CountTable = collections.defaultdict(CallCounts)
        self._rng = random.Random(seed)
        self._chooser = choice.UpstreamChooser(NODE_HOST, "", "", self._rng)
        self._thresholds = shedding.ThresholdTable()
        self._budget = budget.RetryBudget()
        self._servers: dict[str, _Server] = {}
        self._pending: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence_numbers = itertools.count()

    def run(self, events: Sequence[trace.Event]) -> CountTable:
        """Replays all events and returns the counts by importance and team."""
        for event in events:
            self._run_pending(event.at)
            if isinstance(event, trace.Announcement):
                self._apply_announcement(event)
            elif isinstance(event, trace.Fault):
                self._servers[event.host].fault = event
            else:
                _Call(self, event).start()
        self._run_pending(float("inf"))
        return self.counts

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Schedules `action` for the simulated time `at`, which is passed to it."""
        heapq.heappush(self._pending, (at, next(self._sequence_numbers), action))

    def check_threshold(self, arrival: trace.Arrival) -> None:
        """Raises CallError if the call is above the shedding threshold of its service."""
        self._thresholds.check(
            arrival.request, arrival.importance, [arrival.service], arrival.at, arrival.team
        )

    def choose_server(
        self, arrival: trace.Arrival, excluded: set[str], now: float
    ) -> _Server | None:
        """Returns the server for an attempt, None if there is none.

        Args:
            arrival: The call.
            excluded: Hosts of earlier attempts of the call, empty at the first attempt, which is
                counted in the retry budget.
            now: Simulated time in seconds.
        """
        service = arrival.service
        records = [
            item.build_record()
            for item in self._servers.values()
            if item.announcement.service == service
        ]
        chosen = self._chooser.choose(records, excluded, now, arrival.repeatable)
        if not excluded:
            self._budget.add_first_attempt(service, now)
        return self._servers[chosen.host] if chosen else None

    def record_outcome(
        self, server: _Server, result: outcome.Outcome, sent_at: float, now: float
    ) -> None:
        """Reports the outcome of an attempt to the load balancer and the shedding thresholds."""
        report = server.admission.report(now)
        self._chooser.record_outcome(server.announcement.host, result, report, now - sent_at, now)
        self._thresholds.observe(
            server.announcement.service, report.threshold, now, server.announcement.host
        )

    def take_retry(self, service: str, now: float) -> bool:
        """Takes a retry from the retry budget of a service; returns False if none is left."""
        return self._budget.try_take(service, now)

    def _apply_announcement(self, announcement: trace.Announcement) -> None:
        server = self._servers.setdefault(announcement.host, _Server(announcement))
        server.announcement = announcement
        server.admission.apply_announcement(
            announcement.state, announcement.slots, announcement.connections, announcement.at
        )

    def _run_pending(self, until: float) -> None:
        while self._pending and self._pending[0][0] <= until:
            at, _, action = heapq.heappop(self._pending)
            action(at)


class _Call:
    """One call of the trace with its attempts."""

    def __init__(self, replay: Replay, arrival: trace.Arrival) -> None:
        self._replay = replay
        self._arrival = arrival
        self._counts = replay.counts[arrival.importance, arrival.team]
        self._allowance = call.Allowance(MAX_RETRIES)
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

    def start(self) -> None:
        """Counts the call and sends its first attempt unless the call is shed.

        The shedding threshold applies only to calls that no other call caused (depth 0).
        """
        self._counts.arrived += 1
        try:
            if not self._arrival.depth:
                self._replay.check_threshold(self._arrival)
        except errors.CallError:
            self._counts.shed += 1
            return
        self._start_attempt(self._arrival.at)

    def _start_attempt(self, now: float) -> None:
        server = self._replay.choose_server(self._arrival, self._excluded, now)
        if server is None:
            self._counts.shed += 1
            return

        def on_admission_decision(entry: queue.Entry) -> None:
            self._on_admission_decision(server, entry, now)

        try:
            entry = server.admission.offer(self._context, now, on_admission_decision)
        except errors.CallError:
            self._on_attempt_end(server, outcome.Outcome.SHED, now, now, not_run=True)
            return
        if entry.state is queue.EntryState.STARTED:
            self._on_admission_decision(server, entry, now)
        else:
            self._replay.schedule(
                self._context.deadline, lambda _: server.admission.withdraw(entry, "deadline")
            )

    def _on_admission_decision(self, server: _Server, entry: queue.Entry, sent_at: float) -> None:
        if entry.state is queue.EntryState.REFUSED:
            self._counts.shed += 1
            return
        started_at = entry.started_at
        result, ends_at = outcome.Outcome.OK, started_at
        if server.fault.answer is not None:
            result = server.fault.answer
        else:
            ends_at += self._arrival.service_s * server.fault.slowdown
        if ends_at > self._context.deadline:
            result, ends_at = outcome.Outcome.TIMED_OUT, self._context.deadline

        def finish_attempt(now: float) -> None:
            server.admission.finish(entry, result, now)
            not_run = result in (outcome.Outcome.SHED, outcome.Outcome.REFUSED)
            self._on_attempt_end(server, result, sent_at, now, not_run=not_run)

        self._replay.schedule(ends_at, finish_attempt)

    def _on_attempt_end(
        self,
        server: _Server,
        result: outcome.Outcome,
        sent_at: float,
        now: float,
        *,
        not_run: bool,
    ) -> None:
        self._replay.record_outcome(server, result, sent_at, now)
        if result is outcome.Outcome.OK:
            self._counts.finished += 1
            return
        is_safe = not_run or (self._arrival.repeatable and result is outcome.Outcome.FAILED)
        if (
            is_safe
            and self._replay.take_retry(self._arrival.service, now)
            and self._allowance.spend()
        ):
            self._excluded.add(server.announcement.host)
            self._start_attempt(now)
        elif not_run:
            self._counts.shed += 1
        else:
            self._counts.failed += 1


def format_table(counts: CountTable) -> str:
    """Returns the counts as a table of text, one line for each importance and team."""
    lines = [f"{'class':<10} {'team':<12} {'arrived':>7} {'shed':>7} {'finished':>8} {'failed':>7}"]
    for (importance, team), count in sorted(counts.items()):
        lines.append(
            f"{importance.name.lower():<10} {team or '-':<12} {count.arrived:>7} "
            f"{count.shed:>7} {count.finished:>8} {count.failed:>7}"
        )
    return "\n".join(lines) + "\n"
