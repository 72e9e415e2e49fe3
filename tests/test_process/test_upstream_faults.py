"""Upstreams that answer late, cut answers, shed or lie."""

import collections

RETRIES = 2


def test_cut_answer_is_never_passed_on(rig):
    rig.control("back", cut_answers=1)
    tag = rig.tag()
    reply = rig.call("front-1", "POST", "/payments", tag)
    assert (reply.status, reply.verdict) == (502, "may-have-run")
    assert len(rig.runs(tag)) == 1


def test_late_answers_reach_nobody_else(rig):
    rig.control("back", late_ms=1300)
    rows = rig.stream("large", "glance", 20, 1, ("front-1",))
    attempts = rig.send(rows)
    assert all(attempt.status >= 500 for attempt in attempts)
    rig.control("back", late_ms=0)
    attempts += rig.send(rows, seed=2)
    assert rig.faults(attempts) == []
    rig.until("front-1", "GET", "/glances", lambda reply: reply.status == 200)


def test_retries_stay_within_the_allowance_of_the_whole_tree(rig):
    rig.control("back", shed_rate=1.0)
    replies = {}
    for _ in range(20):
        tag = rig.tag()
        replies[tag] = rig.call("front-1", "GET", "/reads/1", tag)
    assert all(reply.status >= 500 for reply in replies.values())
    tried = collections.Counter(
        (line["tag"], line["service"])
        for line in rig.fleet.records()
        if line["event"] in ("start", "shed") and line["tag"] in replies
    )
    for tag in replies:
        front, back = tried[tag, "front"], tried[tag, "back"]
        # Each front run makes one first attempt at back; all others are retries.
        assert (front - 1) + (back - front) <= RETRIES


def test_lying_load_and_health_start_nothing_twice(rig):
    rig.control("back", load=0.0, state="ready", shed_rate=0.5)
    attempts = rig.send(rig.stream("large", "pay", 40, 1.5, ("front-1", "front-2")))
    assert rig.faults(attempts) == []
    assert any(attempt.status == 200 for attempt in attempts)


def test_payments_are_shed_last(rig):
    rig.control("back", service_ms=300)
    hosts = ("front-1", "front-2")
    demand = [
        rig.stream("large", "glance", 300, 2.5, hosts),
        rig.stream("large", "pay", 40, 2.5, hosts),
    ]
    attempts = rig.send(*demand)
    good = collections.Counter(one.route for one in attempts if one.status == 200)
    sent = collections.Counter(one.route for one in attempts)
    assert good["glance"] < sent["glance"] / 2
    assert good["pay"] / sent["pay"] > good["glance"] / sent["glance"]
