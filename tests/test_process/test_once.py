"""Calls that may not be repeated run at most once, whatever their callers repeat."""

from standins import processes
from tests import fleet


def repeat(rig, tag, hosts):
    rig.control("back", service_ms=300)
    pending = [rig.begin(host, "POST", "/payments", tag, idempotency_key=tag) for host in hosts]
    return [one.result() for one in pending]


def repeat_until_admitted(rig, host, tag):
    replies = []

    def is_admitted():
        replies.append(rig.call(host, "POST", "/payments", tag, idempotency_key=tag))
        return replies[-1].status != 429

    processes.wait_until(is_admitted, "no longer refused for rate")
    return replies[-1]


def test_repeat_at_the_same_node_joins(rig):
    tag = rig.tag()
    replies = repeat(rig, tag, ["front-1"] * 4)
    assert len(rig.runs(tag)) == 1
    assert any(reply.status == 200 for reply in replies)
    again = rig.call("front-1", "POST", "/payments", tag, idempotency_key=tag)
    assert again.status in (200, 409)
    assert len(rig.runs(tag)) == 1


def test_repeat_at_another_node_never_runs_beside_the_first(rig):
    tag = rig.tag()
    repeat(rig, tag, list(rig.fleet.members))
    assert len(rig.runs(tag)) <= 1


def test_repeat_after_the_first_node_was_killed(rig):
    rig.control("back", service_ms=fleet.SLOW_MS)
    tag = rig.tag()
    pending = rig.begin("front-1", "POST", "/payments", tag, idempotency_key=tag)
    rig.await_run(tag, "back")
    node = rig.fleet.members["front-1"].node
    node.kill()
    node.start()
    pending.result()
    rig.fleet.wait_ready()
    for host in rig.fleet.members:
        reply = repeat_until_admitted(rig, host, tag)
        assert reply.status == 200 or reply.verdict != "not-run"
    assert len(rig.runs(tag)) == 1


def test_caller_that_leaves_does_not_cause_a_second_run(rig):
    rig.control("back", service_ms=fleet.SLOW_MS)
    tag = rig.tag()
    reply = rig.call("front-1", "POST", "/orders", tag, timeout_s=0.3)
    assert reply == fleet.NO_ANSWER
    processes.wait_until(lambda: all(run.outcome for run in rig.runs(tag)), "the runs end")
    assert len(rig.runs(tag, "back")) <= 1
