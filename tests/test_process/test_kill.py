"""SIGKILL, SIGSTOP and graceful stops of nodes and upstreams in the middle of calls."""

import pytest

from standins import history, processes
from tests import fleet

DOUBT = "may-have-run"
# A stopping node waits 2 s for its news to spread before it closes its ports.
LONGER_THAN_NOTICE_MS = 3000.0


def begin_slow_payment(rig, service_ms=fleet.SLOW_MS):
    rig.control("back", service_ms=service_ms)
    tag = rig.tag()
    pending = rig.begin("front-1", "POST", "/payments", tag)
    return tag, pending, rig.await_run(tag, "back")


@pytest.mark.parametrize("victim", ["node", "upstream"])
def test_killed_between_sending_and_answering(rig, victim):
    tag, pending, member = begin_slow_payment(rig)
    getattr(member, victim).kill()
    reply = pending.result()
    assert (reply.status >= 500, reply.verdict) == (True, DOUBT)
    assert len(rig.runs(tag)) == 1


def test_killed_first_node_leaves_no_second_run(rig):
    tag, pending, _ = begin_slow_payment(rig)
    rig.fleet.members["front-1"].node.kill()
    assert pending.result() == fleet.NO_ANSWER
    processes.wait_until(lambda: rig.runs(tag)[0].outcome, "the run ends")
    assert len(rig.runs(tag)) == 1


def test_reads_go_round_a_killed_node(rig):
    rig.fleet.members["back-1"].node.kill()
    rig.until_served("front-1")
    rig.until_served("front-2")


def test_killed_node_comes_back_at_the_same_address(rig):
    node = rig.fleet.members["front-2"].node
    node.kill()
    node.start()
    rig.fleet.wait_ready()
    rig.until_served("front-2")


def test_paused_node_loses_and_crosses_nothing(rig):
    rig.until_served("front-1")
    node = rig.fleet.members["back-1"].node
    hosts = ("front-1", "front-2")
    streams = [rig.stream("large", route, 20, 3, hosts) for route in ("read", "pay")]
    pending = rig.begin_send(*streams)
    processes.wait_until(lambda: rig.runs(service="back"), "load runs")
    node.pause()
    rig.until_served("front-1")
    node.resume()
    assert rig.faults(pending.result()) == []


@pytest.mark.parametrize("stopped", ["front-1", "back"])
def test_graceful_stop_of_a_node_cuts_no_request(rig, stopped):
    tag, pending, member = begin_slow_payment(rig, LONGER_THAN_NOTICE_MS)
    node = member.node if stopped == "back" else rig.fleet.members[stopped].node
    node.terminate()
    reply = pending.result()
    assert (reply.status, reply.verdict) == (200, "run")
    assert reply.body.startswith(tag.encode())
    assert node.wait() == 0
    assert len(rig.runs(tag)) == 1


def test_draining_upstream_finishes_and_gets_no_new_work(rig):
    _, pending, member = begin_slow_payment(rig)
    rig.control("back", service_ms=fleet.QUICK_MS)
    member.upstream.terminate()
    processes.wait_until(
        lambda: any(line["event"] == "draining" for line in member.record()), "the drain begins"
    )
    drained = max(line["time"] for line in member.record() if line["event"] == "draining")
    while member.upstream.running:
        rig.call("front-1", "GET", "/reads/1", rig.tag())
    assert pending.result().status == 200
    assert history.started_after(rig.runs(), member.addresses.server, drained + 2.0) == []
    rig.until_served("front-1")


@pytest.mark.parametrize("stopped", ["back-1", "front-1"])
def test_graceful_stop_under_load_fails_no_call(rig, stopped):
    routes = ("read", "pay", "order")
    streams = [rig.stream("large", route, 20, 3, ("front-2",)) for route in routes]
    before = len(rig.runs())
    pending = rig.begin_send(*streams)
    processes.wait_until(lambda: len(rig.runs()) > before, "load runs")
    rig.fleet.members[stopped].node.terminate()
    attempts = pending.result()
    assert rig.faults(attempts) == []
    failed = [one for one in attempts if one.status != 200 and one.verdict != "not-run"]
    assert failed == []
