"""Choice by expected time: room first, own host and domain unless clearly slower."""

import collections
import random

import attrs
import pytest

from bergamotridge import settings
from bergamotridge.balancing import expected_wait, methods, strategy
from bergamotridge.nodes import load
from bergamotridge.upstreams import start_rates
from tests.test_balancing import records

OWN = records.make_upstream("own")
DOMAIN = [records.make_upstream(f"domain-{number}") for number in range(3)]
OTHERS = [records.make_upstream(f"other-{number}", "b") for number in range(20)]
ALL = [OWN, *DOMAIN, *OTHERS]


def count_choices(loads, latencies_s=None, calls=400):
    """Returns the choices by host, after some seconds of answers with the same loads and times."""
    chosen, now = expected_wait.ExpectedWait(random.Random(5)), 0.0
    usable = strategy.Split(ALL, [OWN], DOMAIN, OTHERS, ALL[1:])

    def answer_all():
        for item in ALL:
            chosen.record_sent(item, now - 0.1)
            gate_load = loads.get(item.host, 0.3)
            latency_s = (latencies_s or {}).get(item.host, 0.1) * max(1.0, gate_load)
            chosen.record_answer(item.host, records.make_answer(gate_load, latency_s), now)

    while now < 5.0:
        now += 0.1
        answer_all()
    picked = collections.Counter()
    for _ in range(calls):
        answer_all()
        picked[chosen.choose(usable, now).host] += 1
    return picked


def test_the_own_host_is_chosen_but_for_the_few_calls_that_learn_the_speed_of_others():
    picked = count_choices({})
    assert 0.95 * 400 < picked["own"] < 400


# Relayed calls cost processor time and traffic, so a small difference is no reason for them.
@pytest.mark.parametrize(("latency_s", "low", "high"), [(0.13, 360, 400), (0.3, 0, 140)])
def test_the_own_host_is_left_only_if_it_is_clearly_slower(latency_s, low, high):
    assert low <= count_choices({}, {"own": latency_s})["own"] <= high


def test_calls_stay_in_the_own_failure_domain_while_it_has_room():
    picked = count_choices({"own": 1.2})
    assert sum(picked[item.host] for item in DOMAIN) > 0.95 * 400


# With samples of eight, the one upstream that has room isn't compared each time.
def test_an_upstream_at_full_load_is_never_drawn_while_another_has_room():
    loads = {item.host: 1.0 + 0.1 * (number % 3) for number, item in enumerate(ALL)}
    assert count_choices(loads | {"other-13": 0.5}) == {"other-13": 400}


def test_if_all_are_full_the_own_host_is_kept_unless_its_queue_is_clearly_longer():
    loads = {item.host: 1.2 for item in ALL}
    assert count_choices(loads)["own"] == 400
    assert count_choices(loads | {"own": 3.0})["own"] == 0


def test_the_draw_is_in_proportion_to_free_slots_and_speed():
    loads = {"own": 1.2, "domain-0": 0.0, "domain-1": 0.5}
    picked = count_choices(loads, {"domain-2": 0.2}, calls=1200)
    ratios = [picked["domain-0"] / picked[host] for host in ("domain-1", "domain-2")]
    assert ratios == [pytest.approx(2.0, rel=0.3), pytest.approx(2.0 / 0.7, rel=0.3)]


def test_the_setting_accepts_the_methods_that_exist():
    for name in methods.METHODS:
        assert attrs.fields(settings.Balancing).method.metadata["check"](name)


# An upstream whose limit has fallen to one call has room for less than half a call by the mean load
# of a busy service. It counted as full, so no call raised its limit again while others had room.
def test_an_upstream_with_a_limit_of_one_call_is_found_again_while_the_service_is_busy():
    chosen = expected_wait.ExpectedWait(random.Random(5))
    usable = strategy.Split(DOMAIN, [], DOMAIN, [], [])
    limited = DOMAIN[0]
    chosen.record_sent(limited, 0.0)
    chosen.record_answer(limited.host, records.make_answer(0.0, limit=1), 0.1)
    for item in DOMAIN[1:]:
        chosen.record_sent(item, 0.0)
    picked = collections.Counter()
    for number in range(5000):
        now = 2.0 + 0.002 * number
        for item in DOMAIN[1:]:
            chosen.record_answer(item.host, records.make_answer(0.7, limit=39), now)
        picked[chosen.choose(usable, now).host] += 1
    assert 0 < picked[limited.host] < 0.1 * 5000


# The gate beside a cold upstream reports a load of 2 without a queue. The time of each call there
# was divided by that, so that the upstream counted as twice as fast as the others.
def test_the_load_that_a_cold_gate_reports_is_not_taken_for_a_queue():
    chosen = expected_wait.ExpectedWait(random.Random(5))
    cold_report = load.LoadReport(start_rates.COLD_LOAD, 39, 1, 0)
    for number in range(400):
        now = 0.01 * number
        for item in DOMAIN:
            chosen.record_sent(item, now)
            answered = records.make_answer(0.5, limit=39)
            if item is DOMAIN[0]:
                answered = attrs.evolve(answered, report=cold_report)
            chosen.record_answer(item.host, answered, now + 0.005)
    slowness = chosen.slowness_by_host(now)
    assert slowness[DOMAIN[0].host] == pytest.approx(slowness[DOMAIN[1].host], rel=0.05)
