"""Calls under way: their age, and a report for each that is overdue."""

from bergamotridge import events
from bergamotridge.callers import running_calls


def make_calls():
    log = events.EventLog("h1", 1, "zone-a")
    return running_calls.RunningCalls(log), log


def list_overdue(log):
    return [event.request_id for event in log.recent() if event.kind == "call.overdue"]


# A call that never ends was logged nowhere, and no metric told of it.
def test_a_call_that_never_ends_is_reported_once_and_seen_in_the_age():
    calls, log = make_calls()
    stuck = calls.begin("a", "/a", 10.0, 10.0)
    stuck.deadline = 12.0
    calls.end(calls.begin("b", "/b", 12.4, 12.4))
    assert list_overdue(log) == []
    for at in (12.5, 13.0):
        calls.end(calls.begin("c", "/c", at, at))
    assert list_overdue(log) == ["a"]
    assert calls.oldest_age_s(20.0) == 10.0
    calls.end(stuck)
    assert calls.oldest_age_s(20.0) == 0.0


def test_a_stuck_call_hides_no_later_one():
    calls, log = make_calls()
    for request_id in ("a", "b"):
        calls.begin(request_id, "/", 10.0, 10.0).deadline = 11.0
    calls.begin("c", "/", 11.0, 11.0).deadline = 30.0
    calls.begin("d", "/", 12.0, 12.0)
    assert list_overdue(log) == ["a", "b"]


def test_a_call_that_is_not_admitted_has_a_limit_too():
    calls, log = make_calls()
    calls.begin("a", "/", 10.0, 10.0)
    calls.begin("b", "/", 20.6, 20.6)
    assert list_overdue(log) == ["a"]
