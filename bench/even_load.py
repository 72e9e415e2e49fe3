"""Compares the ways of choosing an upstream: many nodes that choose at once, in virtual time.

    python -m bench.run even_load

Each upstream has a FIFO queue in front of its slots. A node learns from its own answers only.
"""

import collections
import heapq
import itertools
import math
import random
import statistics
from collections.abc import Callable

import attrs

from bergamotridge.balancing import methods
from bergamotridge.nodes import choice, load, record
from bergamotridge.upstreams import outcome

TRANSIT_S = 0.0007  # One way.
TICK_S = 0.04  # All nodes choose at the same moments.
SAMPLE_S = 0.02
# Unsteady upstreams are slow in the last part of each period.
SLOW_PERIOD_S, SLOW_FROM_S = 2.4, 1.8
AGAIN_FROM_S = 0.6  # From then on in a period they should get their share again.


@attrs.frozen
class Fleet:
    """Nodes, and the upstreams of one service.

    Attributes:
        nodes: Number of nodes.
        beside: Number of upstreams that are on the host of a node.
        domains: Number of failure domains, of nodes and of upstreams.
        upstreams: Number of upstreams; their speeds are spread evenly from 0.5 to 1.7.
        slots: Slots of each.
        work_s: Mean time of a call at an upstream of speed 1.
        utilization: Demand over capacity.
        slow_fraction: Fraction of the upstreams that become 2.5 times slower for 0.6 s at a time.
        rejecting: Number of upstreams that reject calls whatever their load, from a third of the
            run to two thirds of it.
        rejected_fraction: Fraction of the calls that those reject.
        reports_end_at: When answers stop to carry reports, in seconds.
    """

    nodes: int = 91
    beside: int = 0
    domains: int = 3
    upstreams: int = 20
    slots: int = 39
    work_s: float = 0.12
    utilization: float = 0.7
    slow_fraction: float = 0.0
    rejecting: int = 0
    rejected_fraction: float = 0.55
    reports_end_at: float = math.inf


@attrs.define
class _Upstream:
    item: record.UpstreamRecord
    speed: float
    is_unsteady: bool
    rejects: bool
    busy: int = 0
    waiting: collections.deque = attrs.field(factory=collections.deque)

    def slowdown(self, now: float) -> float:
        return 2.5 if self.is_unsteady and now % SLOW_PERIOD_S >= SLOW_FROM_S else 1.0


@attrs.frozen
class Result:
    """What one run showed after its first seconds.

    Attributes:
        spread: Standard deviation of the busy fractions of the upstreams, as a mean over time.
        p50_s: Median time of a call in seconds.
        p99_s: 99th percentile.
        own_domain: Fraction of the calls that stayed in their failure domain.
        own_host: Fraction of the calls that stayed on their host, of nodes beside an upstream.
        ages_s: 10th and 90th percentile of the age of the last report of a chosen upstream.
        while_slow: Calls sent to unsteady upstreams while they were slow, over their part of all
            speeds.
        afterwards: The same for the time from `AGAIN_FROM_S` until they become slow again.
        accepted: Fraction of the calls that were accepted while upstreams rejected some.
        returned: Calls sent to rejecting upstreams in the last sixth of the run, over their part
            of all speeds.
    """

    spread: float
    p50_s: float
    p99_s: float
    own_domain: float
    own_host: float
    ages_s: tuple[float, float]
    while_slow: float
    afterwards: float
    accepted: float
    returned: float


def run(fleet: Fleet, method: str, seed: int, duration_s: float = 12.0) -> Result:
    """Runs the nodes with one way of choosing and returns what was measured."""
    return _Run(fleet, method, seed).measure(duration_s)


class _Run:
    def __init__(self, fleet: Fleet, method: str, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._pending: list = []
        self._numbers = itertools.count()
        self._upstreams = {}
        self._reported_at: dict[tuple[int, str], float] = {}
        self._rejects_from, self._rejects_until = math.inf, math.inf
        self._accepted = [0, 0]  # Calls that were accepted and that were not.
        for number in range(fleet.upstreams):
            item = record.UpstreamRecord(
                f"upstream-{number}",
                1,
                1,
                f"domain-{number % fleet.domains}",
                "region",
                "service",
                record.State.READY,
                fleet.slots,
                0.5,
                "",
                "",
            )
            # Each failure domain has slow and fast ones.
            speed = 0.5 + 1.2 * (number * 3 % fleet.upstreams) / (fleet.upstreams - 1)
            is_unsteady = number < fleet.slow_fraction * fleet.upstreams
            rejects = number < fleet.rejecting
            self._upstreams[item.host] = _Upstream(item, speed, is_unsteady, rejects)
        self._candidates = [item.item for item in self._upstreams.values()]
        self._choosers = []
        for number in range(fleet.nodes):
            rng = random.Random(f"{seed}-{number}")
            chooser = choice.UpstreamChooser(
                f"upstream-{number}" if number < fleet.beside else f"node-{number}",
                f"domain-{number % fleet.domains}",
                "region",
                rng,
                methods.METHODS[method](rng),
            )
            self._choosers.append(chooser)

    def measure(self, duration_s: float) -> Result:
        fleet, rng = self._fleet, self._rng
        capacity = sum(item.speed for item in self._upstreams.values()) * fleet.slots / fleet.work_s
        per_tick = fleet.utilization * capacity * TICK_S / fleet.nodes
        start_s = duration_s / 4
        self._times, self._start_s = [], start_s
        self._rejects_from, self._rejects_until = duration_s / 3, 2 * duration_s / 3
        spreads, near, sent, own, own_sent = [], 0, 0, 0, 0
        unsteady = {host for host, item in self._upstreams.items() if item.is_unsteady}
        total_speed = sum(item.speed for item in self._upstreams.values())
        share = sum(self._upstreams[host].speed for host in unsteady) / total_speed
        rejecting = {host for host, item in self._upstreams.items() if item.rejects}
        rejecting_share = sum(self._upstreams[host].speed for host in rejecting) / total_speed
        returned = [0, 0]
        by_phase = {phase: [0, 0] for phase in ("slow", "steady", "between")}
        ages = []
        next_tick, next_sample = 0.0, start_s
        while next_tick < duration_s:
            self._run_until(next_tick)
            now = next_tick
            phase = _phase(now)
            for node, chooser in enumerate(self._choosers):
                for _ in range(int(per_tick + rng.random())):
                    target = chooser.choose(self._candidates, (), now)
                    self._at(now + TRANSIT_S, self._arrive, (target.host, node, now))
                    if now >= start_s:
                        sent += 1
                        ages.append(now - self._reported_at.get((node, target.host), -math.inf))
                        own += target.host == f"upstream-{node}"
                        own_sent += node < fleet.beside
                        by_phase[phase][0] += target.host in unsteady
                        by_phase[phase][1] += 1
                        if now >= 5 / 6 * duration_s:
                            returned[0] += target.host in rejecting
                            returned[1] += 1
                        near += target.failure_domain == f"domain-{node % fleet.domains}"
            next_tick += TICK_S
            if now >= next_sample:
                busy = [item.busy / fleet.slots for item in self._upstreams.values()]
                spreads.append(statistics.pstdev(busy))
                next_sample += SAMPLE_S
        self._run_until(duration_s + 60.0)
        times = sorted(self._times)
        ages.sort()
        return Result(
            statistics.mean(spreads),
            times[len(times) // 2],
            times[int(0.99 * len(times))],
            near / sent,
            own / own_sent if own_sent else math.nan,
            (ages[len(ages) // 10], ages[9 * len(ages) // 10]),
            *(
                by_phase[phase][0] / by_phase[phase][1] / share if share else math.nan
                for phase in ("slow", "steady")
            ),
            self._accepted[0] / sum(self._accepted) if rejecting else math.nan,
            returned[0] / returned[1] / rejecting_share if rejecting else math.nan,
        )

    def _at(self, at: float, action: Callable, arguments: tuple) -> None:
        heapq.heappush(self._pending, (at, next(self._numbers), action, arguments))

    def _run_until(self, end: float) -> None:
        while self._pending and self._pending[0][0] <= end:
            at, _, action, arguments = heapq.heappop(self._pending)
            action(at, *arguments)

    def _arrive(self, now: float, host: str, node: int, sent_at: float) -> None:
        target = self._upstreams[host]
        is_measured = self._rejects_from <= now < self._rejects_until
        if target.rejects and is_measured and self._rng.random() < self._fleet.rejected_fraction:
            self._accepted[1] += 1
            self._answer_with(now, target, node, sent_at, outcome.Outcome.SHED)
            return
        self._accepted[0] += is_measured
        if target.busy < self._fleet.slots:
            self._start(now, target, node, sent_at)
        else:
            target.waiting.append((node, sent_at))

    def _start(self, now: float, target: _Upstream, node: int, sent_at: float) -> None:
        target.busy += 1
        work_s = self._fleet.work_s * self._rng.uniform(0.7, 1.3)
        end = now + work_s * target.slowdown(now) / target.speed
        self._at(end, self._end, (target, node, sent_at))

    def _end(self, now: float, target: _Upstream, node: int, sent_at: float) -> None:
        target.busy -= 1
        if target.waiting:
            self._start(now, target, *target.waiting.popleft())
        self._answer_with(now, target, node, sent_at, outcome.Outcome.OK)

    def _answer_with(
        self, now: float, target: _Upstream, node: int, sent_at: float, result: outcome.Outcome
    ) -> None:
        slots, waiting = self._fleet.slots, len(target.waiting)
        report = load.LoadReport((target.busy + waiting) / slots, slots, target.busy, waiting)
        if now >= self._fleet.reports_end_at:
            report = None
        self._at(now + TRANSIT_S, self._answer, (target.item.host, node, sent_at, report, result))

    def _answer(
        self,
        now: float,
        host: str,
        node: int,
        sent_at: float,
        report: load.LoadReport | None,
        result: outcome.Outcome,
    ) -> None:
        if sent_at >= self._start_s:
            self._times.append(now - sent_at)
        if report is not None:
            self._reported_at[node, host] = now
        accepted = result is outcome.Outcome.OK
        self._choosers[node].record_outcome(
            host, result, report, now - sent_at, now, accepted=accepted
        )


def _phase(now: float) -> str:
    if now % SLOW_PERIOD_S >= SLOW_FROM_S:
        return "slow"
    return "steady" if now % SLOW_PERIOD_S >= AGAIN_FROM_S else "between"


CASES = {
    "0.5 of the capacity": Fleet(utilization=0.5),
    "0.7 of the capacity": Fleet(),
    "0.85 of the capacity": Fleet(utilization=0.85),
    "0.15 of the upstreams slow for 0.6 s of 2.4 s": Fleet(slow_fraction=0.15),
    "5 upstreams of 75 slots, 0.15 slow": Fleet(
        upstreams=5, slots=75, work_s=0.058, slow_fraction=0.15
    ),
    "14 nodes, 5 upstreams of 75 slots, 0.2 slow": Fleet(
        nodes=14, upstreams=5, slots=75, work_s=0.058, slow_fraction=0.2
    ),
    "0.7 of the capacity, calls of 0.5 s": Fleet(work_s=0.5, slots=24),
    "0.85 of the capacity, calls of 0.5 s": Fleet(work_s=0.5, slots=24, utilization=0.85),
    "20 nodes beside the upstreams": Fleet(beside=20),
    "reports stop after 4 s": Fleet(reports_end_at=4.0),
    "11 nodes, 4 of 5 upstreams reject 0.55": Fleet(
        nodes=11, upstreams=5, slots=75, work_s=0.058, utilization=0.4, rejecting=4
    ),
    "2 of 20 upstreams reject 0.35": Fleet(rejecting=2, rejected_fraction=0.35),
    "all of 5 upstreams reject 0.55": Fleet(
        nodes=11, upstreams=5, slots=75, work_s=0.058, utilization=0.4, rejecting=5
    ),
}


def main(arguments: list[str]) -> int:
    """Prints a table of all cases and ways; takes no arguments."""
    del arguments
    print(
        "| case | method | spread | p50 ms | p99 ms | own domain | own host | report age s | slow "
        "| after | accepted | returned |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|---|---|")
    for name, fleet in CASES.items():
        for method in methods.METHODS:
            got = run(fleet, method, seed=1)
            print(
                f"| {name} | {method} | {got.spread:.3f} | {1000 * got.p50_s:.0f} | "
                f"{1000 * got.p99_s:.0f} | {got.own_domain:.2f} | {got.own_host:.2f} | "
                f"{got.ages_s[0]:.1f}-{got.ages_s[1]:.1f} | {got.while_slow:.2f} | "
                f"{got.afterwards:.2f} | {got.accepted:.2f} | {got.returned:.2f} |"
            )
    return 0
