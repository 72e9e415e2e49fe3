"""The measures of one run."""

from collections.abc import Sequence

import attrs

from bench.policy import clients, deployment, scenarios
from bergamotridge import call
from bergamotridge.upstreams import demand_estimate

BIN_S = 0.25
RECOVERED_FRACTION = 0.97


@attrs.frozen
class Measures:
    """Measures of one run; shares are 0.0 to 1.0, times in seconds.

    Attributes:
        goodput: Good requests during the trigger, over those that demand and capacity allow.
        critical: Good share of the critical class during the trigger.
        standard: Good share of the standard class during the trigger.
        sheddable: Good share of the sheddable class during the trigger.
        recovery_s: Time from the trigger's end until the last bin of `BIN_S` in which less than
            `RECOVERED_FRACTION` of the new requests were good has ended.
        worst_team: Good requests of a team over its fair part, for the team that got least.
        wrongful: Failed share of the requests of teams within their rate: all but the first team.
        wasted: Service time spent on failed tries, over all service time.
        attempts: Largest number of attempts of one request.
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


def _good_fraction(requests: Sequence[clients.ClientRequest]) -> float:
    return sum(request.good for request in requests) / max(1, len(requests))


def _count_servable(
    described: deployment.Deployment,
    scenario: scenarios.Scenario,
    requests: Sequence[clients.ClientRequest],
) -> float:
    seconds = scenarios.END_S - scenarios.START_S
    deepest_service = list(described.service_time_s)[-1]
    service_time_s = dict(described.service_time_s)
    service_time_s[deepest_service] *= scenario.slow_factor
    changed = attrs.evolve(described, service_time_s=service_time_s)
    slots = {service: changed.count_slots(service) for service in service_time_s}
    slots[deepest_service] *= scenario.slots_left_fraction
    demand: dict[str, float] = {}
    for request in requests:
        demand[request.route] = demand.get(request.route, 0.0) + 1.0 / seconds
    return sum(changed.compute_served_rates(demand, slots).values()) * seconds


def _recovery_s(requests: Sequence[clients.ClientRequest]) -> float:
    bins: dict[int, list[clients.ClientRequest]] = {}
    for request in requests:
        if request.arrived_at >= scenarios.END_S:
            bins.setdefault(int((request.arrived_at - scenarios.END_S) / BIN_S), []).append(request)
    bad = [number for number, items in bins.items() if _good_fraction(items) < RECOVERED_FRACTION]
    return (max(bad) + 1) * BIN_S if bad else 0.0


def _worst_team(
    described: deployment.Deployment, requests: Sequence[clients.ClientRequest]
) -> float:
    fair = dict.fromkeys(described.text.teams, 0.0)
    good = dict.fromkeys(described.text.teams, 0.0)
    for route in described.text.routes:
        of_route = [request for request in requests if request.route == route and request.team]
        demand = {name: 0 for name in fair}
        for request in of_route:
            demand[request.team] += 1
            good[request.team] += request.good
        pairs = [(demand[name], described.text.teams[name].weight) for name in fair]
        level = demand_estimate.fair_level(pairs, sum(request.good for request in of_route))
        for name, team in described.text.teams.items():
            fair[name] += min(demand[name], level * team.weight)
    return min(good[name] / fair[name] for name in fair if fair[name])


def measure(
    described: deployment.Deployment,
    scenario: scenarios.Scenario,
    requests: Sequence[clients.ClientRequest],
) -> Measures:
    """Returns the measures of a run from the requests of all clients."""
    during = [
        request for request in requests if scenarios.START_S <= request.arrived_at < scenarios.END_S
    ]
    by_class = {
        level: [request for request in during if request.importance is level]
        for level in call.Importance
    }
    greedy_team = next(iter(described.text.teams))
    of_other_teams = [request for request in during if request.team and request.team != greedy_team]
    wasted_service_s = sum(request.wasted_service_s for request in requests)
    good_service_s = sum(request.good_service_s for request in requests)
    return Measures(
        goodput=sum(request.good for request in during)
        / _count_servable(described, scenario, during),
        critical=_good_fraction(by_class[call.Importance.CRITICAL]),
        standard=_good_fraction(by_class[call.Importance.STANDARD]),
        sheddable=_good_fraction(by_class[call.Importance.SHEDDABLE]),
        recovery_s=_recovery_s(requests),
        worst_team=_worst_team(described, during),
        wrongful=1.0 - _good_fraction(of_other_teams),
        wasted=wasted_service_s / max(1e-9, wasted_service_s + good_service_s),
        attempts=max(request.attempts for request in requests),
    )
