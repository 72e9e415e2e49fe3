"""Admission in virtual time: each test brings about the failure that a mechanism is for."""

import pytest

from bergamotridge import call, errors
from bergamotridge.nodes import record
from bergamotridge.upstreams import admission, outcome, queue

CRITICAL, STANDARD, SHEDDABLE = call.Importance


def context(name, importance=STANDARD, team="a", depth=0, deadline=100.0, weight=1.0):
    return call.CallContext(name, team, importance, deadline, depth, True, weight)


def opened(slots, room=20):
    gate = admission.Admission(slots, room)
    gate.announce(record.State.READY, slots, slots, 0.0)
    for number in range(slots):
        entry = gate.offer(context(f"ramp-{number}"), 0.0, lambda _: None)
        gate.finish(entry, outcome.Outcome.OK, 0.0)
    return gate


def fill(gate, slots, now=0.0):
    calls = [context(f"first-{number}", team="first") for number in range(slots)]
    return [gate.offer(item, now, lambda _: None) for item in calls]


def test_critical_calls_take_the_place_of_waiting_lookups():
    gate = opened(2, room=4)
    running = fill(gate, 2)
    lookups = [gate.offer(context(f"l{n}", SHEDDABLE, depth=1), 0, print) for n in range(4)]
    payment = gate.offer(context("p", CRITICAL), 0.0, lambda _: None)
    assert [entry.state for entry in lookups].count(queue.EntryState.REFUSED) == 1
    gate.finish(running[0], outcome.Outcome.OK, 0.0)
    assert payment.state is queue.EntryState.STARTED


def test_a_team_that_floods_does_not_starve_another():
    gate = opened(1, room=40)
    running = fill(gate, 1)[0]
    started = []
    for number in range(19):
        gate.offer(context(f"g{number}", team="greedy", depth=1), 0, started.append)
    for number in range(4):
        gate.offer(context(f"s{number}", team="small", depth=1), 0, started.append)
    for _ in range(8):
        gate.finish(running, outcome.Outcome.OK, 0.0)
        running = started[-1]
    assert [entry.context.team for entry in started[:8]].count("small") == 4


def test_a_team_starts_in_proportion_to_its_weight():
    gate = opened(1, room=60)
    running = fill(gate, 1)[0]
    started = []
    for number in range(20):
        gate.offer(context(f"a{number}", team="a", depth=1, weight=3.0), 0, started.append)
        gate.offer(context(f"b{number}", team="b", depth=1), 0, started.append)
    for _ in range(16):
        gate.finish(running, outcome.Outcome.OK, 0.0)
        running = started[-1]
    assert 11 <= [entry.context.team for entry in started].count("a") <= 13


def test_a_call_that_cannot_end_in_time_does_not_start():
    gate = opened(1)
    for number in range(200):
        entry = gate.offer(context(f"warm-{number}", deadline=1e6), number, lambda _: None)
        gate.finish(entry, outcome.Outcome.OK, number + 1.0)
    first = gate.offer(context("first", deadline=1e6), 300.0, lambda _: None)
    with pytest.raises(errors.CallError) as caught:
        gate.offer(context("late", deadline=300.5), 300.0, lambda _: None)
    assert caught.value.reason == "deadline"
    waiting = gate.offer(context("waits", depth=1, deadline=302.0), 300.1, lambda _: None)
    gate.finish(first, outcome.Outcome.OK, 301.6)
    assert waiting.refusal.reason in ("deadline", "shed")
    assert waiting.state is queue.EntryState.REFUSED


def test_a_cold_upstream_gets_no_more_calls_than_it_answers():
    gate = admission.Admission(100, 0)
    gate.announce(record.State.READY, 100, 100, 0.0)
    with pytest.raises(errors.CallError):
        fill(gate, 100)
    assert gate.in_flight == 30


def test_limit_never_exceeds_the_smaller_of_slots_and_connections():
    gate = admission.Admission(slots=8, room=0, connections=6)
    gate.announce(record.State.READY, 100, 5, 0.0)
    for _ in range(100):
        entry = gate.offer(context("x"), 0.0, lambda _: None)
        gate.finish(entry, outcome.Outcome.OK, 0.0)
    assert gate.report(0.0).limit == 5


def test_a_shedding_upstream_sets_the_limit_and_gets_it_back():
    gate = opened(50)
    running = fill(gate, 50)
    for entry in running[20:]:
        gate.finish(entry, outcome.Outcome.SHED, 0.0)
    assert gate.report(0.0).limit == 25
    for entry in running[:20]:
        gate.finish(entry, outcome.Outcome.OK, 0.0)
    for _ in range(100):
        limit = gate.report(0.0).limit
        for entry in fill(gate, limit):
            gate.finish(entry, outcome.Outcome.OK, 0.0)
    assert gate.report(0.0).limit == 50


def test_slow_answers_alone_leave_the_limit():
    gate = opened(50)
    for entry in fill(gate, 50):
        gate.finish(entry, outcome.Outcome.TIMED_OUT, 2.0)
    assert gate.report(2.0).limit == 50


def test_an_upstream_that_counts_its_own_slots_keeps_its_limit_though_it_sheds():
    gate = admission.Admission(100, 10)
    gate.announce(record.State.READY, 8, 100, 0.0, exact=True)
    assert gate.report(0.0).limit == 8
    for number in range(20):
        entry = gate.offer(context(f"r{number}"), 1.0 + number, lambda _: None)
        gate.finish(entry, outcome.Outcome.SHED, 1.1 + number)
    assert gate.report(30.0).limit == 8
