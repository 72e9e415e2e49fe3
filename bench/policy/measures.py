"""The measures of one run."""

from collections.abc import Sequence

import attrs

from bench.policy import clients, deployment, scenarios
from bergamotridge import call
from bergamotridge.upstreams import threshold

BIN_S = 0.25
RECOVERED_SHARE = 0.97


@attrs.frozen
class Measures:
    """Measures of one run; shares are 0.0 to 1.0, times in seconds.

    Attributes:
        goodput: Whole requests during the trigger over what demand and capacity allow.
        critical: The same for the critical classes alone, over their demand.
        standard: Good share of the standard class.
        sheddable: Good share of the sheddable class.
        recovery_s: Time from the trigger's end until nearly all new requests are served.
        worst_team: Least share that a team got of its fair share of its class.
        wrongful: Failed share of the requests of teams within their rate.
        wasted: Service time spent on requests that failed, over all service time.
        attempts: Most attempts of one request.
    """

    goodput: float
    critical: float
    standard: float
    sheddable: float
    recovery_s: float
    worst_team: float
    wrongful: float
    wasted: float
    attempts: float


def _good(wishes: Sequence[clients.Wish]) -> float:
    return sum(wish.good for wish in wishes) / max(1, len(wishes))


def _possible(
    described: deployment.Deployment,
    scenario: scenarios.Scenario,
    wishes: Sequence[clients.Wish],
) -> float:
    seconds = scenarios.END_S - scenarios.START_S
    deep = list(described.work_s)[-1]
    work_s = dict(described.work_s)
    work_s[deep] *= scenario.slowed
    changed = attrs.evolve(described, work_s=work_s)
    slots = {service: changed.slots(service) for service in work_s}
    slots[deep] *= scenario.slots_left
    demand: dict[str, float] = {}
    for wish in wishes:
        demand[wish.route] = demand.get(wish.route, 0.0) + 1.0 / seconds
    return sum(changed.served(demand, slots).values()) * seconds


def _recovery_s(wishes: Sequence[clients.Wish]) -> float:
    bins: dict[int, list[clients.Wish]] = {}
    for wish in wishes:
        if wish.at >= scenarios.END_S:
            bins.setdefault(int((wish.at - scenarios.END_S) / BIN_S), []).append(wish)
    bad = [number for number, items in bins.items() if _good(items) < RECOVERED_SHARE]
    return (max(bad) + 1) * BIN_S if bad else 0.0


def _worst_team(described: deployment.Deployment, wishes: Sequence[clients.Wish]) -> float:
    fair = dict.fromkeys(described.text.teams, 0.0)
    got = dict.fromkeys(described.text.teams, 0.0)
    for route in described.text.routes:
        of_route = [wish for wish in wishes if wish.route == route and wish.team]
        demand = {name: 0 for name in fair}
        for wish in of_route:
            demand[wish.team] += 1
            got[wish.team] += wish.good
        pairs = [(demand[name], described.text.teams[name].weight) for name in fair]
        level = threshold.fair_level(pairs, sum(wish.good for wish in of_route))
        for name, team in described.text.teams.items():
            fair[name] += min(demand[name], level * team.weight)
    return min(got[name] / fair[name] for name in fair if fair[name])


def measure(
    described: deployment.Deployment,
    scenario: scenarios.Scenario,
    wishes: Sequence[clients.Wish],
) -> Measures:
    """Returns the measures of a run."""
    during = [wish for wish in wishes if scenarios.START_S <= wish.at < scenarios.END_S]
    by_class = {
        level: [wish for wish in during if wish.importance is level] for level in call.Importance
    }
    first = next(iter(described.text.teams))
    within = [wish for wish in during if wish.team and wish.team != first]
    wasted_s = sum(wish.wasted_s for wish in wishes)
    worked_s = sum(wish.worked_s for wish in wishes)
    return Measures(
        goodput=sum(wish.good for wish in during) / _possible(described, scenario, during),
        critical=_good(by_class[call.Importance.CRITICAL]),
        standard=_good(by_class[call.Importance.STANDARD]),
        sheddable=_good(by_class[call.Importance.SHEDDABLE]),
        recovery_s=_recovery_s(wishes),
        worst_team=_worst_team(described, during),
        wrongful=1.0 - _good(within),
        wasted=wasted_s / max(1e-9, wasted_s + worked_s),
        attempts=max(wish.attempts for wish in wishes),
    )
