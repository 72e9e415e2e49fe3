"""The model on a fleet of a fifth of the size: failures that only the baseline shows."""

import functools

import attrs

from bench.policy import clients, deployment, measures, scenarios, world
from bergamotridge.nodes import choice

SCALE = 5
TIME_TO_RECOVER_S = 5.0


def small():
    described = deployment.cooperatie()
    services = {
        name: attrs.evolve(item, slots=item.slots // SCALE, connections=item.connections // SCALE)
        for name, item in described.text.services.items()
    }
    return attrs.evolve(described, text=attrs.evolve(described.text, services=services))


@functools.cache
def measured(scenario, policy, seed=7):
    described, chosen = small(), scenarios.ALL[scenario]
    return measures.measure(described, chosen, clients.run(described, chosen, policy, seed))


def test_overload_ends_soon_after_its_cause_and_lasts_with_the_baseline():
    assert measured("hard-clients", world.OURS).recovery_s <= TIME_TO_RECOVER_S
    assert measured("hard-clients", world.BASELINE).recovery_s > TIME_TO_RECOVER_S


def test_critical_requests_finish_in_a_surge_and_not_with_the_baseline():
    assert measured("surge-5x", world.OURS).critical > 0.93
    assert measured("surge-5x", world.BASELINE).critical < 0.6


def test_work_is_not_wasted_below_shed_requests():
    assert measured("surge-5x", world.OURS).wasted < 0.04
    without = attrs.evolve(world.OURS, thresholds=False)
    assert measured("surge-5x", without).wasted > 2 * measured("surge-5x", world.OURS).wasted
    assert measured("surge-5x", world.BASELINE).wasted > 0.3


def test_a_greedy_team_takes_no_more_than_its_share():
    blind = attrs.evolve(world.OURS, fairness=False)
    assert measured("greedy-team", world.OURS).worst_team > 0.8
    assert measured("greedy-team", world.OURS).wrongful < measured("greedy-team", blind).wrongful


def test_attempts_stay_within_the_allowance_and_multiply_with_the_baseline():
    for scenario in ("surge-5x", "hard-clients", "killed", "lying-health"):
        assert measured(scenario, world.OURS).attempts <= 1 + world.RETRIES
    assert measured("hard-clients", world.BASELINE).attempts > 1 + world.RETRIES


def test_a_failing_upstream_that_says_it_is_ready_is_left(monkeypatch):
    with_ejection = measured("lying-health", world.OURS).goodput
    assert with_ejection > 0.9
    monkeypatch.setattr(choice, "FAILURES_TO_EJECT", 10**6)
    measured.cache_clear()
    assert measured("lying-health", world.OURS).goodput < with_ejection - 0.05
    measured.cache_clear()


def test_the_same_seed_gives_the_same_measures():
    described, chosen = small(), scenarios.ALL["killed"]
    runs = [clients.run(described, chosen, world.OURS, 3) for _ in range(2)]
    assert measures.measure(described, chosen, runs[0]) == measures.measure(
        described, chosen, runs[1]
    )
