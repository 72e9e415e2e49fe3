"""The simulation on a fleet of a fifth of the size: failures that only the baseline shows."""

import functools

import attrs

from bench.policy import clients, deployment, measures, scenarios, world
from bergamotridge.nodes import choice

SCALE_DIVISOR = 5
MAX_RECOVERY_S = 5.0


def scaled_down_deployment():
    described = deployment.cooperatie()
    services = {
        name: attrs.evolve(
            item, slots=item.slots // SCALE_DIVISOR, connections=item.connections // SCALE_DIVISOR
        )
        for name, item in described.text.services.items()
    }
    return attrs.evolve(described, text=attrs.evolve(described.text, services=services))


@functools.cache
def measure_scenario(scenario, policy, seed=7):
    described, chosen_scenario = scaled_down_deployment(), scenarios.SCENARIOS[scenario]
    return measures.measure(
        described, chosen_scenario, clients.run(described, chosen_scenario, policy, seed)
    )


def test_overload_ends_soon_after_its_cause_and_lasts_with_the_baseline():
    assert measure_scenario("hard-clients", world.OURS).recovery_s <= MAX_RECOVERY_S
    assert measure_scenario("hard-clients", world.BASELINE).recovery_s > MAX_RECOVERY_S


def test_critical_requests_finish_in_a_surge_and_not_with_the_baseline():
    assert measure_scenario("surge-5x", world.OURS).critical > 0.93
    assert measure_scenario("surge-5x", world.BASELINE).critical < 0.6


def test_work_is_not_wasted_below_shed_requests():
    assert measure_scenario("surge-5x", world.OURS).wasted < 0.04
    without_thresholds = attrs.evolve(world.OURS, thresholds=False)
    assert (
        measure_scenario("surge-5x", without_thresholds).wasted
        > 2 * measure_scenario("surge-5x", world.OURS).wasted
    )
    assert measure_scenario("surge-5x", world.BASELINE).wasted > 0.3


def test_a_greedy_team_takes_no_more_than_its_share():
    without_fairness = attrs.evolve(world.OURS, fairness=False)
    assert measure_scenario("greedy-team", world.OURS).worst_team > 0.8
    assert (
        measure_scenario("greedy-team", world.OURS).wrongful
        < measure_scenario("greedy-team", without_fairness).wrongful
    )


def test_attempts_stay_within_the_allowance_and_multiply_with_the_baseline():
    for scenario in ("surge-5x", "hard-clients", "killed", "lying-health"):
        assert measure_scenario(scenario, world.OURS).attempts <= 1 + world.MAX_RETRIES
    assert measure_scenario("hard-clients", world.BASELINE).attempts > 1 + world.MAX_RETRIES


def test_a_failing_upstream_that_announces_ready_is_ejected(monkeypatch):
    goodput_with_ejection = measure_scenario("lying-health", world.OURS).goodput
    assert goodput_with_ejection > 0.9
    monkeypatch.setattr(choice, "FAILURES_TO_EJECT", 10**6)
    measure_scenario.cache_clear()
    assert measure_scenario("lying-health", world.OURS).goodput < goodput_with_ejection - 0.05
    measure_scenario.cache_clear()


def test_the_same_seed_gives_the_same_measures():
    described, chosen_scenario = scaled_down_deployment(), scenarios.SCENARIOS["killed"]
    runs = [clients.run(described, chosen_scenario, world.OURS, 3) for _ in range(2)]
    assert measures.measure(described, chosen_scenario, runs[0]) == measures.measure(
        described, chosen_scenario, runs[1]
    )
