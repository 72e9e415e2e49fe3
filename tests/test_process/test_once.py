"""Calls that must not be repeated run at most once, even if their callers repeat them."""

from standins import processes
from tests import fleet


def repeat_concurrently(rig, tag, hosts):
    rig.inject_faults("back", service_ms=300)
    futures = [
        rig.start_call(host, "POST", "/payments", tag, idempotency_key=tag) for host in hosts
    ]
    return [future.result() for future in futures]


def repeat_until_admitted(rig, host, tag):
    replies = []

    def is_admitted():
        replies.append(rig.call(host, "POST", "/payments", tag, idempotency_key=tag))
        return replies[-1].status != 429

    processes.wait_until(is_admitted, "the call is no longer refused for the rate")
    return replies[-1]


def test_repeats_at_the_same_node_share_one_run(rig):
    tag = rig.tag()
    replies = repeat_concurrently(rig, tag, ["front-1"] * 4)
    assert len(rig.runs(tag)) == 1
    assert any(reply.status == 200 for reply in replies)
    later_reply = rig.call("front-1", "POST", "/payments", tag, idempotency_key=tag)
    assert later_reply.status in (200, 409)
    assert len(rig.runs(tag)) == 1


def test_repeats_at_different_nodes_run_at_most_once(rig):
    tag = rig.tag()
    repeat_concurrently(rig, tag, list(rig.fleet.members))
    assert len(rig.runs(tag)) <= 1


def test_repeat_after_the_first_node_was_killed_does_not_run(rig):
    rig.inject_faults("back", service_ms=fleet.SLOW_SERVICE_MS)
    tag = rig.tag()
    reply_future = rig.start_call("front-1", "POST", "/payments", tag, idempotency_key=tag)
    rig.wait_for_run(tag, "back")
    node = rig.fleet.members["front-1"].node
    node.kill()
    node.start()
    reply_future.result()
    rig.fleet.wait_ready()
    for host in rig.fleet.members:
        reply = repeat_until_admitted(rig, host, tag)
        assert reply.status == 200 or reply.verdict != "not-run"
    assert len(rig.runs(tag)) == 1


# What was said is taken back: the platform's object of the claim doesn't tell that it hasn't run.
def test_repeats_of_a_call_that_has_not_run_run_once_at_most_after_a_kill_of_its_home(rig):
    upstreams = [member.upstream for member in rig.members("back")]
    for upstream in upstreams:
        upstream.kill()
    tag, replies = rig.tag(), []

    def has_not_run():
        replies.append(rig.call("front-1", "POST", "/payments", tag, idempotency_key=tag))
        return replies[-1].verdict == "not-run"

    processes.wait_until(has_not_run, "the call is refused as not run")
    home = rig.fleet.members["front-1"].node
    home.kill()
    home.start()
    for upstream in upstreams:
        upstream.start()
    rig.fleet.wait_ready()
    for host in rig.fleet.members:
        rig.call_until_served(host)
        reply = repeat_until_admitted(rig, host, tag)
        ran = len(rig.runs(tag, "back"))
        assert ran <= 1
        assert reply.verdict != "not-run"
        assert reply.status != 200 or ran == 1


def test_caller_that_disconnects_causes_no_second_run(rig):
    rig.inject_faults("back", service_ms=fleet.SLOW_SERVICE_MS)
    tag = rig.tag()
    reply = rig.call("front-1", "POST", "/orders", tag, timeout_s=0.3)
    assert reply == fleet.NO_RESPONSE
    processes.wait_until(lambda: all(run.outcome for run in rig.runs(tag)), "all runs end")
    assert len(rig.runs(tag, "back")) <= 1
