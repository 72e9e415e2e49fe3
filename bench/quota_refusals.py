"""Wrongful refusals of three rate limiters for a fleet, in virtual time.

Refusals are wrongful as far as fewer calls are admitted than by one token bucket for the whole
fleet that receives the same calls.
"""

import random
import statistics
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from bergamotridge.callers import bucket, read_pauses
from bergamotridge.operators import operator_text
from bergamotridge.store import holding
from tests import quota_fleet

FAILURE_DOMAINS = 4
HOSTS_PER_DOMAIN = 4
HOLDERS_PER_DOMAIN = 2
TEAM = operator_text.Team("utrecht", rate=100.0, burst=100)
WARM_UP_S = 30.0
MEASUREMENT_S = 90.0
DRAW_INTERVAL_S = 0.1
HOTSPOT_INTERVAL_S = 30.0
KILL_INTERVAL_S = 15.0
FAILOVER_S = 5.0
SEEDS = range(5)


@attrs.frozen
class Case:
    """Demand and faults of one run.

    Attributes:
        name: Name in the table.
        demand: Calls per second as a multiple of the rate.
        hotspot_fraction: Fraction of the calls at one failure domain, which changes every
            `HOTSPOT_INTERVAL_S`; 0 for an even spread.
        cut: True if one failure domain is cut off from the others.
        outage: True if the platform is down.
        kills: True if a holder is killed every `KILL_INTERVAL_S`; `OneOwner` loses its owner.
    """

    name: str
    demand: float
    hotspot_fraction: float = 0.0
    cut: bool = False
    outage: bool = False
    kills: bool = False


CASES = (
    Case("even demand at 80%", 0.8),
    Case("demand moves between failure domains", 0.8, hotspot_fraction=0.7),
    Case("moves, holder killed and replaced every 15 s", 0.8, hotspot_fraction=0.7, kills=True),
    Case("moves, platform down", 0.8, hotspot_fraction=0.7, outage=True),
    Case("moves, one failure domain cut off", 0.8, hotspot_fraction=0.7, cut=True),
    Case("five times the rate", 5.0),
)


class RateLimiter(Protocol):
    """A design that enforces the team's rate over the whole fleet."""

    def admit(self, host: str, now: float) -> bool:
        """Returns True if a call at a host is admitted."""

    def inject_faults(self, case: Case, now: float) -> None:
        """Applies the faults of a case once, after the warm-up."""

    def kill_node(self, now: float) -> None:
        """Kills and replaces the node on which the limiter depends most."""


class StaticSplit:
    """Each node has a fixed, equal part of rate and burst."""

    def __init__(self, hosts: Sequence[str], rng: random.Random) -> None:
        del rng
        count = len(hosts)
        self._buckets = {
            host: bucket.TokenBucket(
                TEAM.rate / count, TEAM.burst / count, 0.0, level=TEAM.burst / count
            )
            for host in hosts
        }

    def admit(self, host: str, now: float) -> bool:
        """Takes a token from the bucket of the host."""
        return self._buckets[host].take(now)

    def inject_faults(self, case: Case, now: float) -> None:
        """Does nothing: nodes depend neither on each other nor on the platform."""

    def kill_node(self, now: float) -> None:
        """Replaces a node by one with an empty bucket."""
        host = next(iter(self._buckets))
        share = 1.0 / len(self._buckets)
        self._buckets[host] = bucket.TokenBucket(TEAM.rate * share, TEAM.burst * share, now)


class OneOwner:
    """One node admits all calls of the team; the others send it a request for each call."""

    def __init__(self, hosts: Sequence[str], rng: random.Random) -> None:
        del rng
        self._owner = hosts[0]
        self._bucket = bucket.TokenBucket(TEAM.rate, TEAM.burst, 0.0, level=TEAM.burst)
        self._cut = False
        self._down_until = 0.0

    def admit(self, host: str, now: float) -> bool:
        """Takes a token from the owner; without an answer the call is refused to keep the rate."""
        is_cut_off = self._cut and host[0] != self._owner[0]
        return not is_cut_off and now >= self._down_until and self._bucket.take(now)

    def inject_faults(self, case: Case, now: float) -> None:
        """Cuts off the owner's failure domain if the case says so."""
        self._cut = case.cut

    def kill_node(self, now: float) -> None:
        """Replaces the owner after `FAILOVER_S` by a process with an empty bucket."""
        self._down_until = now + FAILOVER_S
        self._bucket = bucket.TokenBucket(TEAM.rate, TEAM.burst, self._down_until)


class LendingHolders:
    """Holders in each failure domain that lend tokens, as bergamotridge implements it."""

    def __init__(self, hosts: Sequence[str], rng: random.Random) -> None:
        self._timings = holding.Timings()
        self._rng = rng
        self._fleet = quota_fleet.Fleet(
            FAILURE_DOMAINS,
            HOSTS_PER_DOMAIN,
            TEAM,
            timings=self._timings,
            per_domain=HOLDERS_PER_DOMAIN,
        )
        self._start = self._fleet.now
        self._draw_at = self._start
        self._pauses = {host: read_pauses.ReadPauses(self._timings.adjust_s, rng) for host in hosts}
        self._adjust_at = {host: self._start + self._pauses[host].first_pause_s() for host in hosts}
        self._outage = False

    def admit(self, host: str, now: float) -> bool:
        """Runs the background work that is due by now, then makes the call."""
        self._advance(self._start + now)
        return self._fleet.call(host)

    def inject_faults(self, case: Case, now: float) -> None:
        """Cuts off failure domain `a` or starts an outage of the platform, as the case says."""
        self._outage = case.outage
        for process in self._fleet.processes.values():
            process.client.faults.outage = case.outage
            process.cut = case.cut and process.failure_domain == "a"

    def kill_node(self, now: float) -> None:
        """Replaces the process of a random holder on its host."""
        holder_hosts = [host for host in self._fleet.processes if self._fleet.is_chosen(host)]
        host = self._rng.choice(holder_hosts)
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


LIMITERS: dict[str, Callable[[Sequence[str], random.Random], RateLimiter]] = {
    "static split": StaticSplit,
    "one owner": OneOwner,
    "shares and loans": LendingHolders,
}


def list_hosts() -> list[str]:
    """Returns the names of all hosts, sorted by failure domain."""
    return [
        f"{domain}{index}"
        for domain in "abcdefgh"[:FAILURE_DOMAINS]
        for index in range(HOSTS_PER_DOMAIN)
    ]


def measure_wrongful_refusals(case: Case, limiter: RateLimiter, seed: int) -> float:
    """Runs a case; returns the wrongful refusals in percent of what one bucket would admit."""
    rng = random.Random(seed)
    names = list_hosts()
    ideal_bucket = bucket.TokenBucket(TEAM.rate, TEAM.burst, 0.0, level=TEAM.burst)
    now, next_kill, faults_injected, ideal_admitted, admitted_count = 0.0, WARM_UP_S, False, 0, 0
    while now < WARM_UP_S + MEASUREMENT_S:
        now += rng.expovariate(TEAM.rate * case.demand)
        if now >= WARM_UP_S and not faults_injected:
            faults_injected = True
            limiter.inject_faults(case, now)
        if case.kills and now >= next_kill:
            next_kill += KILL_INTERVAL_S
            limiter.kill_node(now)
        admitted = limiter.admit(_choose_host(case, names, now, rng), now)
        is_ideally_admitted = ideal_bucket.take(now)
        if now >= WARM_UP_S:
            ideal_admitted += is_ideally_admitted
            admitted_count += admitted
    return 100.0 * (1.0 - admitted_count / ideal_admitted)


def _choose_host(case: Case, names: Sequence[str], now: float, rng: random.Random) -> str:
    if rng.random() >= case.hotspot_fraction:
        return rng.choice(names)
    domain = int(now / HOTSPOT_INTERVAL_S) % FAILURE_DOMAINS
    return names[domain * HOSTS_PER_DOMAIN + rng.randrange(HOSTS_PER_DOMAIN)]


def run() -> None:
    """Prints wrongful refusals in percent, median and range over the seeds."""
    print(
        f"wrongful refusals in % of the calls within the rate; {FAILURE_DOMAINS} failure domains "
        f"of {HOSTS_PER_DOMAIN} hosts, rate {TEAM.rate:g}/s, burst {TEAM.burst}, {len(SEEDS)} seeds"
    )
    for case in CASES:
        for name, create_limiter in LIMITERS.items():
            values = [
                measure_wrongful_refusals(
                    case, create_limiter(list_hosts(), random.Random(seed)), seed
                )
                for seed in SEEDS
            ]
            low, high = min(values), max(values)
            median = statistics.median(values)
            print(f"{case.name:46} {name:18} {median:6.2f} ({low:.2f}-{high:.2f})")
