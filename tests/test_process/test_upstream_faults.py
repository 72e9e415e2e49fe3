"""Upstreams that respond late, cut responses, shed calls or announce a false load."""

import collections

import pytest

from standins import processes
from tests import fleet, process_usage

MAX_RETRIES = 2
MAX_GROWTH_BYTES = 64 << 20
CROWD = 24


def test_cut_response_is_not_passed_on(rig):
    rig.inject_faults("back", cut_answers=1)
    tag = rig.tag()
    reply = rig.call("front-1", "POST", "/payments", tag)
    assert (reply.status, reply.verdict) == (502, "may-have-run")
    assert len(rig.runs(tag)) == 1


# A head without end was kept in memory until the call's deadline.
@pytest.mark.parametrize("part", ["head", "body"])
def test_a_response_without_end_is_cut_off_and_the_node_goes_on(rig, part):
    members = rig.members("back")
    before = [process_usage.read_resident_bytes(member.node.pid) for member in members]
    rig.inject_faults("back", endless=part)
    tag = rig.tag()
    reply = rig.call("front-1", "POST", "/payments", tag)
    assert (reply.status, reply.verdict) == (502, "may-have-run")
    assert len(rig.runs(tag)) == 1
    processes.wait_until(
        lambda: any(line["event"] == "poured" for line in rig.fleet.records()),
        "the node closes the connection",
    )
    after = [process_usage.read_resident_bytes(member.node.pid) for member in members]
    growth = max(now - was for now, was in zip(after, before, strict=True))
    assert growth <= MAX_GROWTH_BYTES
    rig.inject_faults("back", endless="")
    rig.call_until("front-1", "POST", "/payments", lambda reply: reply.status == 200)


# An upstream's status above 599, which is none of HTTP, was the answer that its caller got.
@pytest.mark.parametrize("status", [600, 999])
@pytest.mark.parametrize(("method", "path"), [("GET", "/rows"), ("POST", "/payments")])
@pytest.mark.parametrize("host", ["back-1", "front-1"])
def test_a_status_that_is_none_of_http_is_not_passed_on(rig, host, method, path, status):
    rig.inject_faults("back", status=status)
    tag = rig.tag()
    reply = rig.call(host, method, path, tag)
    assert (reply.status, reply.verdict) == (502, "may-have-run")
    assert len(rig.runs(tag)) == 1 or method == "GET"


def count_muted(rig):
    return sum(line["event"] == "muted" for line in rig.fleet.records())


# A call that an upstream neither runs nor refuses would keep its caller waiting for its whole time.
def test_a_crowd_never_reaches_an_upstream_that_answers_nothing_when_it_is_full(rig):
    rig.inject_faults("back", mute_when_full=True, service_ms=50.0)
    hosts = tuple(rig.fleet.members)
    crowd = rig.send_load(rig.stream("large", "rows", 1000.0, 2.0, hosts))
    assert {attempt.status for attempt in crowd} <= {200, 503}
    assert any(attempt.status == 503 for attempt in crowd)
    assert not count_muted(rig)


# The calls that a node had under way when it was killed take slots for which its next run knows no
# call, so that it sends more than there is room for.
def test_calls_are_answered_after_a_node_was_killed_beside_a_full_mute_upstream(rig):
    rig.inject_faults("back", mute_when_full=True, service_ms=fleet.SLOW_SERVICE_MS)
    tags = [rig.tag() for _ in range(CROWD)]
    waiting = [rig.start_call("back-1", "GET", "/rows", tag) for tag in tags]
    processes.wait_until(lambda: sum(run.tag in tags for run in rig.runs()) >= 2, "calls run")
    node = rig.fleet.members["back-1"].node
    node.kill()
    node.start()
    for call in waiting:
        call.result()
    rig.inject_faults("back", service_ms=fleet.FAST_SERVICE_MS)
    for host in rig.fleet.members:
        assert rig.call_until_served(host, path="/rows").status == 200
    assert not count_muted(rig)


def test_late_responses_reach_no_other_caller(rig):
    rig.inject_faults("back", late_ms=1300)
    glances = rig.stream("large", "glance", 20, 1, ("front-1",))
    attempts = rig.send_load(glances)
    assert all(attempt.status >= 500 for attempt in attempts)
    rig.inject_faults("back", late_ms=0)
    attempts += rig.send_load(glances, seed=2)
    assert rig.find_violations(attempts) == []
    rig.call_until("front-1", "GET", "/glances", lambda reply: reply.status == 200)


def test_retries_of_all_services_share_one_allowance(rig):
    rig.inject_faults("back", shed_rate=1.0)
    replies = {}
    for _ in range(20):
        tag = rig.tag()
        replies[tag] = rig.call("front-1", "GET", "/reads/1", tag)
    assert all(reply.status >= 500 for reply in replies.values())
    attempt_counts = collections.Counter(
        (line["tag"], line["service"])
        for line in rig.fleet.records()
        if line["event"] in ("start", "shed") and line["tag"] in replies
    )
    for tag in replies:
        front_attempts, back_attempts = attempt_counts[tag, "front"], attempt_counts[tag, "back"]
        # Each run at front makes one first attempt at back; all other attempts are retries.
        assert (front_attempts - 1) + (back_attempts - front_attempts) <= MAX_RETRIES


def test_false_load_and_state_cause_no_second_run(rig):
    rig.inject_faults("back", load=0.0, state="ready", shed_rate=0.5)
    attempts = rig.send_load(rig.stream("large", "pay", 40, 1.5, ("front-1", "front-2")))
    assert rig.find_violations(attempts) == []
    assert any(attempt.status == 200 for attempt in attempts)


def test_critical_payments_are_shed_after_sheddable_calls(rig):
    rig.inject_faults("back", service_ms=300)
    hosts = ("front-1", "front-2")
    streams = [
        rig.stream("large", "glance", 300, 2.5, hosts),
        rig.stream("large", "pay", 40, 2.5, hosts),
    ]
    attempts = rig.send_load(*streams)
    succeeded = collections.Counter(attempt.route for attempt in attempts if attempt.status == 200)
    sent = collections.Counter(attempt.route for attempt in attempts)
    assert succeeded["glance"] < sent["glance"] / 2
    assert succeeded["pay"] / sent["pay"] > succeeded["glance"] / sent["glance"]
