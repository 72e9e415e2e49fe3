"""SIGKILL, SIGSTOP and graceful shutdown of nodes and upstreams while calls run."""

import pytest

from standins import history, processes
from tests import fleet

MAY_HAVE_RUN = "may-have-run"
# A stopping node waits 2 s for the news of its stop to spread before it closes its ports.
LONGER_THAN_STOP_NOTICE_MS = 3000.0


def start_slow_payment(rig, service_ms=fleet.SLOW_SERVICE_MS):
    rig.inject_faults("back", service_ms=service_ms)
    tag = rig.tag()
    reply_future = rig.start_call("front-1", "POST", "/payments", tag)
    return tag, reply_future, rig.wait_for_run(tag, "back")


@pytest.mark.parametrize("victim", ["node", "upstream"])
def test_kill_during_a_payment_gives_may_have_run_and_one_run(rig, victim):
    tag, reply_future, member = start_slow_payment(rig)
    getattr(member, victim).kill()
    reply = reply_future.result()
    assert (reply.status >= 500, reply.verdict) == (True, MAY_HAVE_RUN)
    assert len(rig.runs(tag)) == 1


def test_kill_of_the_first_node_causes_no_second_run(rig):
    tag, reply_future, _ = start_slow_payment(rig)
    rig.fleet.members["front-1"].node.kill()
    assert reply_future.result() == fleet.NO_RESPONSE
    processes.wait_until(lambda: rig.runs(tag)[0].outcome, "the run ends")
    assert len(rig.runs(tag)) == 1


def test_reads_are_routed_around_a_killed_node(rig):
    rig.fleet.members["back-1"].node.kill()
    rig.call_until_served("front-1")
    rig.call_until_served("front-2")


def test_killed_node_rejoins_at_the_same_address(rig):
    node = rig.fleet.members["front-2"].node
    node.kill()
    node.start()
    rig.fleet.wait_ready()
    rig.call_until_served("front-2")


def test_paused_node_causes_no_violations(rig):
    rig.call_until_served("front-1")
    node = rig.fleet.members["back-1"].node
    hosts = ("front-1", "front-2")
    streams = [rig.stream("large", route, 20, 3, hosts) for route in ("read", "pay")]
    attempts_future = rig.start_load(*streams)
    processes.wait_until(lambda: rig.runs(service="back"), "upstreams run calls of the load")
    node.pause()
    rig.call_until_served("front-1")
    node.resume()
    assert rig.find_violations(attempts_future.result()) == []


# A repeated SIGTERM, or a SIGHUP, ended the process by the signal if it came at the very end.
@pytest.mark.parametrize("repeat", ["terminate", "reload"])
def test_signals_until_the_end_of_a_planned_stop_leave_its_exit_code(rig, repeat):
    node = rig.fleet.members["front-2"].node
    node.terminate()
    while node.running:
        getattr(node, repeat)()
    assert node.exit_code == 0


@pytest.mark.parametrize("stopped", ["front-1", "back"])
def test_graceful_node_shutdown_lets_the_running_call_finish(rig, stopped):
    tag, reply_future, member = start_slow_payment(rig, LONGER_THAN_STOP_NOTICE_MS)
    node = member.node if stopped == "back" else rig.fleet.members[stopped].node
    node.terminate()
    reply = reply_future.result()
    assert (reply.status, reply.verdict) == (200, "run")
    assert reply.body.startswith(tag.encode())
    assert node.wait() == 0
    assert len(rig.runs(tag)) == 1


def test_draining_upstream_finishes_its_call_and_gets_no_new_calls(rig):
    _, reply_future, member = start_slow_payment(rig)
    rig.inject_faults("back", service_ms=fleet.FAST_SERVICE_MS)
    member.upstream.terminate()
    processes.wait_until(
        lambda: any(line["event"] == "draining" for line in member.record()), "the drain begins"
    )
    drain_time_s = max(line["time"] for line in member.record() if line["event"] == "draining")
    while member.upstream.running:
        rig.call("front-1", "GET", "/reads/1", rig.tag())
    assert reply_future.result().status == 200
    assert (
        history.find_runs_started_after(rig.runs(), member.addresses.server, drain_time_s + 2.0)
        == []
    )
    rig.call_until_served("front-1")


@pytest.mark.parametrize("stopped", ["back-1", "front-1"])
def test_graceful_node_shutdown_under_load_fails_no_call(rig, stopped):
    routes = ("read", "pay", "order")
    streams = [rig.stream("large", route, 20, 3, ("front-2",)) for route in routes]
    run_count_before = len(rig.runs())
    attempts_future = rig.start_load(*streams)
    processes.wait_until(
        lambda: len(rig.runs()) > run_count_before, "upstreams run calls of the load"
    )
    rig.fleet.members[stopped].node.terminate()
    attempts = attempts_future.result()
    assert rig.find_violations(attempts) == []
    failed = [
        attempt for attempt in attempts if attempt.status != 200 and attempt.verdict != "not-run"
    ]
    assert failed == []
