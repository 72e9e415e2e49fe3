"""Upstreams that reject a part of the calls, whatever their load."""

import random

import pytest

from bench import even_load
from bergamotridge.balancing import acceptance, expected_wait, least_loaded, strategy
from bergamotridge.nodes import choice
from bergamotridge.upstreams import outcome
from tests.test_balancing import records


def learn(learned, fraction, seconds, start=0.0, per_s=80):
    """Records calls of which an upstream rejects a fraction; returns the time of the end."""
    rng = random.Random(4)
    for number in range(int(seconds * per_s)):
        now = start + number / per_s
        learned.record("a", accepted=rng.random() >= fraction, now=now)
    return start + seconds


@pytest.mark.parametrize("fraction", [0.35, 0.55])
def test_the_accepted_fraction_is_learned_within_half_a_second(fraction):
    learned = acceptance.Acceptance()
    now = learn(learned, fraction, 0.5)
    assert learned.of("a", now) == pytest.approx(1.0 - fraction, abs=0.15)
    assert learned.of("b", now) == 1.0


# An upstream that is avoided gets few calls, which must not keep it from being found again.
@pytest.mark.parametrize("per_s", [80, 2])
def test_an_upstream_counts_as_accepting_calls_again_soon_after_it_does(per_s):
    learned = acceptance.Acceptance()
    now = learn(learned, 0.55, 5.0)
    now = learn(learned, 0.0, 2.0, now, per_s)
    assert learned.of("a", now) > 0.9


def test_one_rejection_has_little_effect():
    learned = acceptance.Acceptance()
    learned.record("a", accepted=False, now=1.0)
    assert learned.of("a", 1.0) > 0.6


# Each start of a host has a name of its own in a fleet that is replaced all the time.
def test_hosts_without_calls_are_forgotten():
    learned = acceptance.Acceptance()
    for number in range(1000):
        learned.record(f"host-{number}", accepted=False, now=float(number))
    assert len(learned._hosts) <= acceptance.FORGET_S + 1


# An upstream that rejects calls seems idle, so that it got more of them than the others.
@pytest.mark.parametrize(
    ("case", "least"),
    [("11 nodes, 4 of 5 upstreams reject 0.55", 0.64), ("2 of 20 upstreams reject 0.35", 0.97)],
)
def test_calls_go_where_they_are_accepted_and_back_once_all_accept_them(case, least):
    before, after = (
        even_load.run(even_load.CASES[case], name, seed=3)
        for name in ("least-loaded", "expected-wait")
    )
    assert after.accepted > max(least, before.accepted)
    assert after.returned == pytest.approx(1.0, abs=0.15)


# Where all upstreams reject alike, avoiding them must not put the calls on one of them.
def test_upstreams_that_all_reject_share_the_calls_as_before():
    case = even_load.CASES["all of 5 upstreams reject 0.55"]
    before, after = (
        even_load.run(case, name, seed=3) for name in ("least-loaded", "expected-wait")
    )
    assert after.accepted == pytest.approx(before.accepted, abs=0.03)
    assert after.spread < before.spread


# A refusal by the gate of a node is no rejection by its upstream, and tells of load alone.
@pytest.mark.parametrize(("accepted", "is_avoided"), [(False, True), (None, False)])
def test_only_rejections_by_the_upstream_count(accepted, is_avoided):
    items = [records.make_upstream("own"), records.make_upstream("other")]
    chooser = choice.UpstreamChooser(
        "own", "a", "r", random.Random(2), expected_wait.ExpectedWait(random.Random(2))
    )
    report = records.make_answer(0.2).report
    for number in range(100):
        now = 0.01 * number
        for item in items:
            is_own = item.host == "own"
            result = outcome.Outcome.SHED if is_own else outcome.Outcome.OK
            chooser.record_outcome(
                item.host, result, report, 0.1, now, accepted=accepted if is_own else True
            )
    chosen = [chooser.choose(items, (), now).host for _ in range(200)]
    assert (chosen.count("own") < 20) is is_avoided


def test_a_strategy_that_learns_nothing_reports_nothing():
    chosen = least_loaded.LeastLoaded(random.Random(1))
    chosen.record_answer("a", strategy.Answered("k", False, None, 0.1, accepted=False), 1.0)
    assert not chosen.accepted_by_host(1.0)
