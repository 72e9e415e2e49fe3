"""Admission in virtual time: each test triggers the failure that one mechanism prevents."""

import pytest

from bergamotridge import call, errors
from bergamotridge.nodes import record
from bergamotridge.upstreams import admission, outcome, queue

CRITICAL, STANDARD, SHEDDABLE = call.Importance


def make_context(request_id, importance=STANDARD, team="a", depth=0, deadline=100.0, weight=1.0):
    return call.CallContext(request_id, team, importance, deadline, depth, True, weight)


def make_ramped_admission(slots, queue_capacity=20):
    """Returns the admission of a ready upstream whose limit has grown to its slots."""
    admitter = admission.Admission(slots, queue_capacity)
    admitter.apply_announcement(record.State.READY, slots, slots, 0.0)
    for number in range(slots):
        entry = admitter.offer(make_context(f"ramp-{number}"), 0.0, lambda _: None)
        admitter.finish(entry, outcome.Outcome.OK, 0.0)
    return admitter


def offer_calls(admitter, count, now=0.0):
    """Offers `count` calls of one team and returns their entries."""
    calls = [make_context(f"first-{number}", team="first") for number in range(count)]
    return [admitter.offer(item, now, lambda _: None) for item in calls]


def test_critical_call_evicts_a_waiting_sheddable_call():
    admitter = make_ramped_admission(2, queue_capacity=4)
    running = offer_calls(admitter, 2)
    sheddable_entries = [
        admitter.offer(make_context(f"l{n}", SHEDDABLE, depth=1), 0, print) for n in range(4)
    ]
    critical_entry = admitter.offer(make_context("p", CRITICAL), 0.0, lambda _: None)
    assert [entry.state for entry in sheddable_entries].count(queue.EntryState.REFUSED) == 1
    admitter.finish(running[0], outcome.Outcome.OK, 0.0)
    assert critical_entry.state is queue.EntryState.STARTED


def test_a_flooding_team_does_not_starve_another_team():
    admitter = make_ramped_admission(1, queue_capacity=40)
    running = offer_calls(admitter, 1)[0]
    started = []
    for number in range(19):
        admitter.offer(make_context(f"g{number}", team="greedy", depth=1), 0, started.append)
    for number in range(4):
        admitter.offer(make_context(f"s{number}", team="small", depth=1), 0, started.append)
    for _ in range(8):
        admitter.finish(running, outcome.Outcome.OK, 0.0)
        running = started[-1]
    assert [entry.context.team for entry in started[:8]].count("small") == 4


def test_a_team_starts_in_proportion_to_its_weight():
    admitter = make_ramped_admission(1, queue_capacity=60)
    running = offer_calls(admitter, 1)[0]
    started = []
    for number in range(20):
        admitter.offer(make_context(f"a{number}", team="a", depth=1, weight=3.0), 0, started.append)
        admitter.offer(make_context(f"b{number}", team="b", depth=1), 0, started.append)
    for _ in range(16):
        admitter.finish(running, outcome.Outcome.OK, 0.0)
        running = started[-1]
    assert 11 <= [entry.context.team for entry in started].count("a") <= 13


def test_a_call_that_cannot_finish_before_its_deadline_does_not_start():
    admitter = make_ramped_admission(1)
    for number in range(200):
        entry = admitter.offer(make_context(f"warm-{number}", deadline=1e6), number, lambda _: None)
        admitter.finish(entry, outcome.Outcome.OK, number + 1.0)
    first = admitter.offer(make_context("first", deadline=1e6), 300.0, lambda _: None)
    with pytest.raises(errors.CallError) as error_info:
        admitter.offer(make_context("late", deadline=300.5), 300.0, lambda _: None)
    assert error_info.value.reason == "deadline"
    waiting = admitter.offer(make_context("waits", depth=1, deadline=302.0), 300.1, lambda _: None)
    admitter.finish(first, outcome.Outcome.OK, 301.6)
    assert waiting.refusal.reason in ("deadline", "shed")
    assert waiting.state is queue.EntryState.REFUSED


def test_a_cold_upstream_starts_at_a_fraction_of_its_slots():
    admitter = admission.Admission(100, 0)
    admitter.apply_announcement(record.State.READY, 100, 100, 0.0)
    with pytest.raises(errors.CallError):
        offer_calls(admitter, 100)
    assert admitter.in_flight == 30


def test_limit_never_exceeds_the_smaller_of_slots_and_connections():
    admitter = admission.Admission(slots=8, queue_capacity=0, connections=6)
    admitter.apply_announcement(record.State.READY, 100, 5, 0.0)
    for _ in range(100):
        entry = admitter.offer(make_context("x"), 0.0, lambda _: None)
        admitter.finish(entry, outcome.Outcome.OK, 0.0)
    assert admitter.report(0.0).limit == 5


def test_the_limit_falls_when_the_upstream_sheds_and_recovers_afterwards():
    admitter = make_ramped_admission(50)
    running = offer_calls(admitter, 50)
    for entry in running[20:]:
        admitter.finish(entry, outcome.Outcome.SHED, 0.0)
    assert admitter.report(0.0).limit == 25
    for entry in running[:20]:
        admitter.finish(entry, outcome.Outcome.OK, 0.0)
    for _ in range(100):
        limit = admitter.report(0.0).limit
        for entry in offer_calls(admitter, limit):
            admitter.finish(entry, outcome.Outcome.OK, 0.0)
    assert admitter.report(0.0).limit == 50


def test_timeouts_alone_do_not_change_the_limit():
    admitter = make_ramped_admission(50)
    for entry in offer_calls(admitter, 50):
        admitter.finish(entry, outcome.Outcome.TIMED_OUT, 2.0)
    assert admitter.report(2.0).limit == 50


def test_the_limit_of_an_upstream_with_exact_slots_does_not_fall_when_it_sheds():
    admitter = admission.Admission(100, 10)
    admitter.apply_announcement(record.State.READY, 8, 100, 0.0, exact_slots=True)
    assert admitter.report(0.0).limit == 8
    for number in range(20):
        entry = admitter.offer(make_context(f"r{number}"), 1.0 + number, lambda _: None)
        admitter.finish(entry, outcome.Outcome.SHED, 1.1 + number)
    assert admitter.report(30.0).limit == 8
