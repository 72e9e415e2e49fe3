"""Slowness of upstreams, learned from calls of several kinds, with queues and noise."""

import random

import pytest

from bergamotridge.balancing import speed

SPEEDS = {"slow": 0.5, "usual": 1.0, "quick": 1.7}
WORK_S = {"view": 0.23, "lookup": 0.015}


def learn(slowness, seconds, factor=1.0, start=0.0, hosts=SPEEDS, queue_load=0.5):
    """Records twenty calls a second to each host; those to "usual" take `factor` times as long."""
    rng, now = random.Random(3), start
    while now < start + seconds:
        for host in hosts:
            # The slow upstream gets other work than the quick one.
            kind = "view" if rng.random() < SPEEDS[host] / 2 else "lookup"
            latency_s = WORK_S[kind] * rng.uniform(0.7, 1.3) / SPEEDS[host]
            latency_s *= factor if host == "usual" else max(1.0, queue_load)
            slowness.record(host, "depot", kind, latency_s, queue_load, now)
        now += 0.05
    return now


# Nothing told that of two upstreams with the same slots one is three times as fast. A queue and
# the mix of calls are no sign of it.
@pytest.mark.parametrize("queue_load", [0.5, 1.5])
def test_lasting_differences_are_learned_whatever_the_mix_and_the_queue(queue_load):
    slowness = speed.Slowness()
    now = learn(slowness, 20.0, queue_load=queue_load, hosts=("slow", "quick"))
    assert slowness.of("slow", now) / slowness.of("quick", now) == pytest.approx(3.4, rel=0.15)
    assert slowness.passing_of("slow", now) == 1.0


def test_a_slowness_of_some_tenths_of_a_second_is_seen_at_once_and_forgotten_within_a_second():
    slowness = speed.Slowness()
    now = learn(slowness, 10.0)
    before = slowness.of("usual", now)
    now = learn(slowness, 0.3, factor=2.5, start=now)
    assert slowness.passing_of("usual", now) > 1.8
    assert slowness.of("usual", now) == pytest.approx(before, rel=0.1)
    # No call is sent there, so no answer says that it is over.
    assert slowness.passing_of("usual", now + 1.0) == 1.0


def test_an_upstream_without_answers_counts_as_usual_again_and_is_no_longer_shown():
    slowness = speed.Slowness()
    now = learn(slowness, 10.0)
    assert slowness.of("slow", now + 10 * speed.FORGET_LASTING_S) == pytest.approx(1.0, abs=0.01)
    assert set(slowness.by_host(now)) == set(SPEEDS)
    assert slowness.by_host(now + speed.SHOWN_S + 1) == {}


# Hosts are replaced all the time, and what was known of those that are gone was kept.
def test_upstreams_without_answers_for_long_are_forgotten():
    slowness = speed.Slowness()
    for number in range(1000):
        for host in (f"replaced-{number}", "usual"):
            slowness.record(host, "depot", "lookup", 0.1, 0.5, float(number))
    assert len(slowness._hosts) <= speed.FORGET_HOST_S + 10
