"""A failure domain cut off from the others and the platform serves on, and comes back whole."""

import pytest

from standins import fleet as standin_fleet
from standins import history, processes
from tests import fleet

EAST = ("front-1", "back-1")


@pytest.fixture(scope="module")
def cut_rig(tmp_path_factory):
    directory = tmp_path_factory.mktemp("cut")
    with standin_fleet.Fleet(directory, fleet.HOSTS, fleet.TEXT, network=True) as running:
        keys = {team: running.grant(team) for team in ("large", "small")}
        running.wait_ready()
        rig = fleet.Rig(running, directory, keys)
        yield rig
        rig.stop()


@pytest.fixture
def rig(cut_rig):
    cut_rig.fleet.cut()
    cut_rig.restore()
    yield cut_rig
    cut_rig.fleet.cut()


def version(rig, host):
    return rig.fleet.members[host].status()["configuration_version"]


def test_both_sides_serve_through_a_cut_and_lose_or_cross_nothing(rig):
    hosts = tuple(rig.fleet.members)
    streams = [rig.stream("large", route, 20, 3, hosts) for route in ("read", "pay")]
    pending = rig.begin_send(*streams)
    processes.wait_until(lambda: rig.runs(service="back"), "load runs")
    rig.fleet.cut("east")
    for host in ("front-1", "front-2"):
        rig.until_served(host)
    rig.fleet.cut()
    assert rig.faults(pending.result()) == []


def test_greedy_team_stays_within_its_rate_on_both_sides_together(rig):
    stream = rig.stream("small", "rows", 80, 3, tuple(rig.fleet.members))
    before = len(rig.runs())
    pending = rig.begin_send(stream, seed=5)
    processes.wait_until(lambda: len(rig.runs()) > before + 2, "calls run")
    rig.fleet.cut("east")
    attempts = pending.result()
    admitted = history.admitted_intervals(attempts, rig.runs(), "small")
    assert history.above_rate(admitted, history.Limit(rate=10, burst=10)) == []


def test_change_and_withdrawal_reach_a_failure_domain_once_it_is_back(rig):
    key = rig.fleet.grant("large")
    for host in EAST:
        rig.until(host, "GET", "/rows", lambda reply: reply.status == 200, key=key.secret)
    old = version(rig, "front-1")
    rig.fleet.cut("east")
    rig.fleet.apply(fleet.TEXT + "\n# changed during the cut\n")
    rig.fleet.withdraw(key)
    processes.wait_until(lambda: version(rig, "front-2") > old, "in force in the west")
    new = version(rig, "front-2")
    assert version(rig, "front-1") == old
    rig.fleet.cut()
    for host in EAST:
        processes.wait_until(lambda host=host: version(rig, host) == new, "in force in the east")
        rig.until(host, "GET", "/rows", lambda reply: reply.status == 401, key=key.secret)
