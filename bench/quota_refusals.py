"""Wrongful refusals of three ways to keep a team's rate, in virtual time.

Calls are refused wrongfully as far as fewer are admitted than by one bucket for the whole fleet
that is fed with the same calls.
"""

import random
import statistics
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from bergamotridge.callers import bucket, quota_rates
from bergamotridge.operators import operator_text
from bergamotridge.store import holding
from tests import quota_fleet

DOMAINS = 4
HOSTS = 4
PER_DOMAIN = 2
TEAM = operator_text.Team("utrecht", rate=100.0, burst=100)
WARM_UP_S = 30.0
LENGTH_S = 90.0
DRAW_INTERVAL_S = 0.1
MOVE_S = 30.0
KILL_S = 15.0
FAILOVER_S = 5.0
SEEDS = range(5)


@attrs.frozen
class Case:
    """One course of demand and faults.

    Attributes:
        name: Name in the table.
        demand: Calls per second as a multiple of the rate.
        hot: Share of the calls at one failure domain that changes, or 0 for an even spread.
        cut: Whether one failure domain is cut off from the others.
        outage: Whether the platform is down.
        kills: Whether a holder is killed now and then; the way with one owner loses that one.
    """

    name: str
    demand: float
    hot: float = 0.0
    cut: bool = False
    outage: bool = False
    kills: bool = False


CASES = (
    Case("even demand at 80%", 0.8),
    Case("demand moves between failure domains", 0.8, hot=0.7),
    Case("moves, holder killed and replaced every 15 s", 0.8, hot=0.7, kills=True),
    Case("moves, platform down", 0.8, hot=0.7, outage=True),
    Case("moves, one failure domain cut off", 0.8, hot=0.7, cut=True),
    Case("five times the rate", 5.0),
)


class Way(Protocol):
    """A way to keep the rate over the fleet."""

    def call(self, host: str, now: float) -> bool:
        """Admits or refuses a call."""

    def fault(self, case: Case, now: float) -> None:
        """Applies the faults of a case once, after the warm-up."""

    def kill(self, now: float) -> None:
        """Kills and replaces what matters most."""


class StaticSplit:
    """Each node has an equal part of rate and burst for good."""

    def __init__(self, hosts: Sequence[str], rng: random.Random) -> None:
        del rng
        count = len(hosts)
        self._buckets = {
            host: bucket.TokenBucket(
                TEAM.rate / count, TEAM.burst / count, 0.0, level=TEAM.burst / count
            )
            for host in hosts
        }

    def call(self, host: str, now: float) -> bool:
        """Asks the bucket of the host."""
        return self._buckets[host].take(now)

    def fault(self, case: Case, now: float) -> None:
        """Cuts and outages do not matter."""

    def kill(self, now: float) -> None:
        """A replaced node starts with an empty bucket."""
        host = next(iter(self._buckets))
        part = 1.0 / len(self._buckets)
        self._buckets[host] = bucket.TokenBucket(TEAM.rate * part, TEAM.burst * part, now)


class OneOwner:
    """One node admits all calls of the team; the others ask it for each."""

    def __init__(self, hosts: Sequence[str], rng: random.Random) -> None:
        del rng
        self._owner = hosts[0]
        self._bucket = bucket.TokenBucket(TEAM.rate, TEAM.burst, 0.0, level=TEAM.burst)
        self._cut = False
        self._down_until = 0.0

    def call(self, host: str, now: float) -> bool:
        """Asks the owner; no answer is a refusal, for the rate must hold."""
        apart = self._cut and host[0] != self._owner[0]
        return not apart and now >= self._down_until and self._bucket.take(now)

    def fault(self, case: Case, now: float) -> None:
        """Cuts the owner's failure domain off."""
        self._cut = case.cut

    def kill(self, now: float) -> None:
        """Another process takes over after a failover, with an empty bucket."""
        self._down_until = now + FAILOVER_S
        self._bucket = bucket.TokenBucket(TEAM.rate, TEAM.burst, self._down_until)


class Shares:
    """Holders in each failure domain that lend tokens: the way that is built."""

    def __init__(self, hosts: Sequence[str], rng: random.Random) -> None:
        self._timings = holding.Timings()
        self._rng = rng
        self._fleet = quota_fleet.Fleet(
            DOMAINS, HOSTS, TEAM, timings=self._timings, per_domain=PER_DOMAIN
        )
        self._start = self._fleet.now
        self._draw_at = self._start
        self._pauses = {host: quota_rates.ReadPauses(self._timings.adjust_s, rng) for host in hosts}
        self._adjust_at = {host: self._start + self._pauses[host].first_pause_s() for host in hosts}
        self._outage = False

    def call(self, host: str, now: float) -> bool:
        """Lets background work run up to now, then makes the call."""
        self._advance(self._start + now)
        return self._fleet.call(host)

    def fault(self, case: Case, now: float) -> None:
        """Cuts failure domain `a` off, or ends the platform's answers."""
        self._outage = case.outage
        for process in self._fleet.processes.values():
            process.client.faults.outage = case.outage
            process.cut = case.cut and process.failure_domain == "a"

    def kill(self, now: float) -> None:
        """Replaces a holder at its host."""
        hosts = [host for host in self._fleet.processes if self._fleet.is_chosen(host)]
        host = self._rng.choice(hosts)
        self._fleet.start(host)
        self._fleet.processes[host].client.faults.outage = self._outage
        self._adjust_at[host] = self._start + now + self._pauses[host].first_pause_s()

    def _advance(self, now: float) -> None:
        while min(self._draw_at, *self._adjust_at.values()) <= now:
            host = min(self._adjust_at, key=self._adjust_at.get)
            if self._draw_at <= self._adjust_at[host]:
                self._fleet.now = max(self._fleet.now, self._draw_at)
                self._draw_at += DRAW_INTERVAL_S
                for drawing in self._fleet.processes:
                    self._fleet.draw(drawing)
            else:
                self._fleet.now = max(self._fleet.now, self._adjust_at[host])
                self._fleet.adjust(host)
                self._adjust_at[host] += self._pauses[host].next_pause_s(self._outage)
        self._fleet.now = max(self._fleet.now, now)


WAYS: dict[str, Callable[[Sequence[str], random.Random], Way]] = {
    "static split": StaticSplit,
    "one owner": OneOwner,
    "shares and loans": Shares,
}


def hosts() -> list[str]:
    """Returns the hosts of the fleet."""
    return [f"{domain}{index}" for domain in "abcdefgh"[:DOMAINS] for index in range(HOSTS)]


def wrongful(case: Case, way: Way, seed: int) -> float:
    """Returns the wrongful refusals in percent of the calls that one bucket admits."""
    rng = random.Random(seed)
    names = hosts()
    ideal = bucket.TokenBucket(TEAM.rate, TEAM.burst, 0.0, level=TEAM.burst)
    now, next_kill, faulty, due, given = 0.0, WARM_UP_S, False, 0, 0
    while now < WARM_UP_S + LENGTH_S:
        now += rng.expovariate(TEAM.rate * case.demand)
        if now >= WARM_UP_S and not faulty:
            faulty = True
            way.fault(case, now)
        if case.kills and now >= next_kill:
            next_kill += KILL_S
            way.kill(now)
        admitted = way.call(_host(case, names, now, rng), now)
        due_now = ideal.take(now)
        if now >= WARM_UP_S:
            due += due_now
            given += admitted
    return 100.0 * (1.0 - given / due)


def _host(case: Case, names: Sequence[str], now: float, rng: random.Random) -> str:
    if rng.random() >= case.hot:
        return rng.choice(names)
    domain = int(now / MOVE_S) % DOMAINS
    return names[domain * HOSTS + rng.randrange(HOSTS)]


def run() -> None:
    """Prints wrongful refusals in percent, median and range over the seeds."""
    print(
        f"wrongful refusals in % of the calls within the rate; {DOMAINS} failure domains of "
        f"{HOSTS} hosts, rate {TEAM.rate:g}/s, burst {TEAM.burst}, {len(SEEDS)} seeds"
    )
    for case in CASES:
        for name, make in WAYS.items():
            values = [wrongful(case, make(hosts(), random.Random(seed)), seed) for seed in SEEDS]
            low, high = min(values), max(values)
            median = statistics.median(values)
            print(f"{case.name:46} {name:18} {median:6.2f} ({low:.2f}-{high:.2f})")
