"""The load of an upstream: own calls that a report can't include, and reports that grow old."""

import attrs
import pytest

from bergamotridge.balancing import load_estimate
from tests.test_balancing import records

UPSTREAM, OTHER = records.make_upstream("one"), records.make_upstream("two")


def answer(estimator, item, gate_load, latency_s, now):
    answered = records.make_answer(gate_load)
    estimator.record_answer(item.host, answered.report, latency_s, now)


# Each report set the count of own calls to 0, also of those that were still on their way.
def test_calls_on_their_way_when_a_report_was_made_count_beside_it():
    estimator = load_estimate.LoadEstimator()
    for sent_at in (0.0, 0.1, 0.297, 0.299):
        estimator.record_sent(UPSTREAM, sent_at)
    answer(estimator, UPSTREAM, 0.3, 0.3, 0.3)
    # The shortest round trip is not known below 20 ms, so the last two may not have arrived.
    assert estimator.load_of(UPSTREAM, 0.3) == pytest.approx(0.5)
    answer(estimator, UPSTREAM, 0.3, 0.002, 0.3)
    assert estimator.load_of(UPSTREAM, 0.3) == pytest.approx(0.4)
    estimator.record_sent(UPSTREAM, 0.31)
    assert estimator.load_of(UPSTREAM, 0.31) == pytest.approx(0.5)


def test_an_own_call_that_ended_without_a_report_no_longer_counts():
    estimator = load_estimate.LoadEstimator()
    for sent_at in (0.0, 0.1, 0.2):
        estimator.record_sent(UPSTREAM, sent_at)
    answer(estimator, UPSTREAM, None, 0.14999, 0.25)
    assert estimator.load_of(UPSTREAM, 0.25) == pytest.approx(0.2)


# An upstream that was full once got no calls until its report was over a second old.
def test_old_reports_move_to_the_mean_of_the_service():
    estimator = load_estimate.LoadEstimator()
    for item, gate_load in ((UPSTREAM, 1.2), (OTHER, 0.4)):
        estimator.record_sent(item, 0.0)
        answer(estimator, item, gate_load, 0.01, 0.01)
    assert estimator.load_of(UPSTREAM, 0.1) == 1.2
    answer(estimator, OTHER, 0.4, 0.01, 1.5)
    loads = [estimator.load_of(UPSTREAM, now) for now in (0.1, 0.4, 0.8, 1.5)]
    assert loads == sorted(loads, reverse=True) and loads[-1] == pytest.approx(0.4, abs=0.05)


def test_without_any_report_the_published_load_counts():
    estimator = load_estimate.LoadEstimator()
    item = records.make_upstream("one", published_load=0.7)
    assert estimator.load_of(item, 0.0) == 0.7
    estimator.record_sent(item, 0.0)
    answer(estimator, item, 0.2, 0.01, 0.01)
    assert estimator.load_of(item, load_estimate.MEAN_TTL_S + 0.1) == 0.7


# A new upstream allows few calls at once; all its slots counted as room.
def test_the_limit_of_the_last_report_bounds_the_room():
    estimator = load_estimate.LoadEstimator()
    assert estimator.limit_of(UPSTREAM) == 10
    estimator.record_sent(UPSTREAM, 0.0)
    estimator.record_answer("one", records.make_answer(0.0, limit=3).report, 0.01, 0.01)
    assert estimator.limit_of(UPSTREAM) == 3


# Hosts are replaced all the time. What was known of those that are gone was kept, and each
# computation of the mean of a service went through them.
def test_upstreams_without_reports_for_long_are_forgotten_and_known_ones_are_kept():
    estimator = load_estimate.LoadEstimator()
    for number in range(1000):
        now = float(number)
        for item in (records.make_upstream(f"replaced-{number}"), UPSTREAM):
            estimator.record_sent(item, now)
            answer(estimator, item, 0.5, 0.01, now + 0.01)
    assert len(estimator._hosts) <= load_estimate.FORGET_S + 10
    assert estimator.load_of(UPSTREAM, now + 0.02) == 0.5
    assert estimator.load_of(records.make_upstream("new"), now + 0.1) == pytest.approx(0.5)


# The upstream of the service that a host served before counted in its mean for ever.
def test_a_host_that_serves_another_service_counts_in_the_mean_of_that_one_only():
    estimator = load_estimate.LoadEstimator()
    moved = attrs.evolve(UPSTREAM, service="port")
    for now in range(100):
        for item in (UPSTREAM, moved):
            estimator.record_sent(item, float(now))
            answer(estimator, item, 0.5, 0.01, now + 0.01)
    assert len(estimator._means["depot"].hosts) + len(estimator._means["port"].hosts) == 1
