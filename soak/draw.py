"""Draws plans from seeds: the fleet, its callers, and faults alone, in series and overlapping."""

import random
from collections.abc import Callable, Iterator

import attrs

from soak import plan
from standins import fleet

FIRST_EVENT_S = 1.0
MEAN_PAUSE_S = 3.0  # Between the starts of two scenarios, which may overlap.
SERVICES = ("front", "middle", "back")
HOSTS_PER_DOMAIN = 3
KEYS_PER_TEAM = 4
LAST_KEY_SHARE = 0.6  # Of the callers; the last key is never withdrawn.
CALLERS_PER_HOST = 5
NOTICE_S = (0.3, 0.8, 1.5)
DRAIN_S = (6.0, 8.0)
PATIENT_TIMEOUT_S = 15.0
LINKED_SHARE = 0.2  # Of the callers.
LINKED_TIMEOUT_S = 4.0
HASTY_TIMEOUT_S = 0.3
PAUSES_S = (0.3, 0.8, 2.0, 6.0)
CALLS = (
    ("GET", "/reads/1"),
    ("POST", "/orders"),
    ("GET", "/rows"),
    ("POST", "/bookings"),
    ("GET", "/items"),
    ("POST", "/payments"),
)
# Calls per second that callers of a team with a low rate send, as a multiple of the rate.
LOW_RATE_DEMAND = 3.0
LOW_RATE_CALLERS = 3


def draw_plan(seed: int, duration_s: float, hosts: int) -> plan.Plan:
    """Returns the plan of a seed; the same arguments always give the same plan."""
    rng = random.Random(f"soak {seed}")
    drain_s, notice_s = rng.choice(DRAIN_S), rng.choice(NOTICE_S)
    network = rng.random() < 0.6
    fleet_hosts = _draw_hosts(hosts, f"[limits]\nnotice_s = {notice_s}\ndrain_s = {drain_s}")
    return plan.Plan(
        seed=seed,
        duration_s=duration_s,
        hosts=fleet_hosts,
        network=network,
        drain_s=drain_s,
        keys=KEYS_PER_TEAM,
        callers=tuple(_draw_callers(rng, fleet_hosts)),
        events=tuple(sorted(_EventDrawer(rng, fleet_hosts, network).draw(duration_s))),
    )


def _draw_hosts(count: int, settings: str) -> tuple[fleet.Host, ...]:
    """Returns hosts of all services in each failure domain, as far as the number allows."""
    hosts = []
    for index in range(count):
        service = SERVICES[index % len(SERVICES)]
        domain = "west" if index // HOSTS_PER_DOMAIN % 2 else "east"
        hosts.append(
            fleet.Host(
                name=f"{service}-{index // len(SERVICES) + 1}",
                failure_domain=domain,
                service=service,
                slots=20,
                service_ms=plan.SERVICE_MS,
                calls=plan.DEPENDENCY_CALLS[service],
                settings=settings,
            )
        )
    return tuple(hosts)


def _draw_callers(rng: random.Random, hosts: tuple[fleet.Host, ...]) -> Iterator[plan.Caller]:
    for host in hosts:
        for number in range(CALLERS_PER_HOST):
            yield _draw_caller(rng, f"{host.name}-{number}", host.name)
    for team in ("small", "tiny"):
        rate, _ = plan.LIMITS[team]
        for number in range(LOW_RATE_CALLERS):
            yield attrs.evolve(
                _draw_caller(rng, f"{team}-{number}", rng.choice(hosts).name),
                team=team,
                pause_s=LOW_RATE_CALLERS / (LOW_RATE_DEMAND * rate),
                retries=0,
                linked=False,
            )


def _draw_caller(rng: random.Random, name: str, host: str) -> plan.Caller:
    method, path = rng.choice(CALLS)
    keys = KEYS_PER_TEAM - 1
    linked = rng.random() < LINKED_SHARE
    patient_s = LINKED_TIMEOUT_S if linked else PATIENT_TIMEOUT_S
    return plan.Caller(
        name=name,
        host=host,
        team="large",
        key=keys if rng.random() < LAST_KEY_SHARE else rng.randrange(keys),
        method=method,
        path=path,
        pause_s=rng.choice(PAUSES_S),
        timeout_s=HASTY_TIMEOUT_S if rng.random() < 0.1 else patient_s,
        retries=2 if method == "POST" and rng.random() < 0.3 else 0,
        linked=linked,
    )


class _EventDrawer:
    """Draws scenarios, each a few events that belong together."""

    def __init__(self, rng: random.Random, hosts: tuple[fleet.Host, ...], network: bool) -> None:
        self._rng = rng
        self._hosts = [host.name for host in hosts]
        self._domains = sorted({host.failure_domain for host in hosts})
        self._keys_left = list(range(KEYS_PER_TEAM - 1))
        self._scenarios: dict[Callable[[float], Iterator[plan.Event]], int] = {
            self._stops_while_the_platform_fails: 10,
            self._stops_in_series: 4,
            self._reloads: 2,
            self._node_fault: 4,
            self._upstream_stop: 3,
            self._upstream_fault: 4,
            self._platform_fault: 3,
            self._changes: 4,
            self._withdrawal: 3,
            self._caller_link_fault: 2,
        }
        if network:
            self._scenarios |= {self._cut: 3, self._link_fault: 6}

    def draw(self, duration_s: float) -> Iterator[plan.Event]:
        """Yields the events of scenarios that begin within `duration_s` seconds."""
        scenarios, weights = list(self._scenarios), list(self._scenarios.values())
        at_s = FIRST_EVENT_S
        while at_s < duration_s:
            (scenario,) = self._rng.choices(scenarios, weights)
            yield from scenario(at_s)
            at_s += self._rng.expovariate(1 / MEAN_PAUSE_S)

    def _host(self) -> str:
        return self._rng.choice(self._hosts)

    def _between(self, low: float, high: float) -> float:
        return round(self._rng.uniform(low, high), 2)

    def _stops_while_the_platform_fails(self, at_s: float) -> Iterator[plan.Event]:
        """SIGTERM while the platform fails, often while upstreams are slow, and more signals."""
        yield from self._platform_fault(at_s)
        if self._rng.random() < 0.6:
            yield from self._slow_upstreams(at_s)
        for host in self._rng.sample(self._hosts, self._rng.choice((1, 1, 2, 3))):
            at_s += self._between(0.1, 1.5)
            yield plan.Event(at_s, plan.Kind.NODE_STOP, host, self._between(0.0, 2.0))
            if self._rng.random() < 0.3:
                later_s = at_s + self._between(0.0, 2.0)
                yield plan.Event(later_s, plan.Kind.NODE_RELOAD, host)
            if self._rng.random() < 0.1:
                later_s = at_s + self._between(0.0, 4.0)
                kind = self._rng.choice((plan.Kind.NODE_STOP, plan.Kind.NODE_KILL))
                yield plan.Event(later_s, kind, host, self._between(0.0, 2.0))

    def _stops_in_series(self, at_s: float) -> Iterator[plan.Event]:
        """A rolling restart, which may overlap itself."""
        count = self._rng.randint(2, len(self._hosts))
        pause_s = self._between(0.1, 4.0)
        for number, host in enumerate(self._rng.sample(self._hosts, count)):
            yield plan.Event(at_s + number * pause_s, plan.Kind.NODE_STOP, host, 0.1)

    def _reloads(self, at_s: float) -> Iterator[plan.Event]:
        for number in range(self._rng.randint(1, 5)):
            yield plan.Event(at_s + 0.1 * number, plan.Kind.NODE_RELOAD, self._host())

    def _node_fault(self, at_s: float) -> Iterator[plan.Event]:
        kind = self._rng.choice((plan.Kind.NODE_KILL, plan.Kind.NODE_PAUSE))
        yield plan.Event(at_s, kind, self._host(), self._between(0.1, 5.0))

    def _upstream_stop(self, at_s: float) -> Iterator[plan.Event]:
        kind = self._rng.choice(
            (
                plan.Kind.UPSTREAM_STOP,
                plan.Kind.UPSTREAM_STOP,
                plan.Kind.UPSTREAM_KILL,
                plan.Kind.UPSTREAM_PAUSE,
            )
        )
        yield plan.Event(at_s, kind, self._host(), self._between(0.1, 4.0))

    def _upstream_fault(self, at_s: float) -> Iterator[plan.Event]:
        fault, value = self._rng.choice(
            (
                ("service_ms", self._between(300, 2500)),
                ("shed_rate", 0.5),
                ("cut_answers", 5),
                ("late_ms", 500.0),
                ("load", 0.0),
                ("silent", True),
            )
        )
        for_s = self._between(1.0, 6.0)
        yield plan.Event(at_s, plan.Kind.UPSTREAM_FAULT, self._host(), for_s, fault, value)

    def _slow_upstreams(self, at_s: float) -> Iterator[plan.Event]:
        service = self._rng.choice(SERVICES)
        value, for_s = self._between(300, 2000), self._between(3.0, 8.0)
        for host in self._hosts:
            if host.startswith(service):
                yield plan.Event(at_s, plan.Kind.UPSTREAM_FAULT, host, for_s, "service_ms", value)

    def _platform_fault(self, at_s: float) -> Iterator[plan.Event]:
        for_s = self._between(2.0, 12.0)
        fault, value = self._rng.choice(
            (
                ("pause", True),
                ("pause", True),
                ("kill", True),
                ("outage", True),
                ("outage", True),
                ("delay_ms", self._between(200, 3000)),
                ("lose_answers", 5),
                ("stale_reads", True),
            )
        )
        if fault in ("pause", "kill"):
            yield plan.Event(at_s, plan.Kind(f"platform-{fault}"), "", for_s)
        else:
            yield plan.Event(at_s, plan.Kind.PLATFORM_FAULT, "", for_s, fault, value)

    def _changes(self, at_s: float) -> Iterator[plan.Event]:
        for number in range(self._rng.randint(1, 3)):
            kind = self._rng.choice((plan.Kind.CHANGE, plan.Kind.CHANGE, plan.Kind.RACING_CHANGES))
            yield plan.Event(at_s + 0.5 * number, kind)

    def _withdrawal(self, at_s: float) -> Iterator[plan.Event]:
        """Withdraws a key at the platform, or directly at a node."""
        if self._keys_left:
            key = self._keys_left.pop()
            target = self._rng.choice(("", "", self._host()))
            yield plan.Event(at_s, plan.Kind.WITHDRAW, target, 0.0, "key", key)

    def _cut(self, at_s: float) -> Iterator[plan.Event]:
        domain = self._rng.choice(self._domains)
        yield plan.Event(at_s, plan.Kind.CUT, domain, self._between(1.0, 8.0))

    def _caller_link_fault(self, at_s: float) -> Iterator[plan.Event]:
        kinds = (plan.Kind.CALLER_LINK_FAULT, plan.Kind.CALLER_LINK_RESET)
        yield from self._faults_of_link(at_s, self._host(), *kinds)

    def _link_fault(self, at_s: float) -> Iterator[plan.Event]:
        """Faults of the links to one host, or to the platform if the target is ""."""
        target = self._rng.choice((*self._hosts, ""))
        kinds = (plan.Kind.LINK_FAULT, plan.Kind.LINK_RESET)
        yield from self._faults_of_link(at_s, target, *kinds)

    def _faults_of_link(
        self, at_s: float, target: str, fault_kind: plan.Kind, reset_kind: plan.Kind
    ) -> Iterator[plan.Event]:
        fault, value = self._rng.choice(
            (
                ("delay_ms", self._between(50, 1500)),
                ("requests_lost", True),
                ("answers_lost", True),
                ("reset", True),
            )
        )
        if fault == "reset":
            for number in range(self._rng.randint(1, 4)):
                yield plan.Event(at_s + 0.3 * number, reset_kind, target)
        else:
            for_s = self._between(1.0, 6.0)
            yield plan.Event(at_s, fault_kind, target, for_s, fault, value)
