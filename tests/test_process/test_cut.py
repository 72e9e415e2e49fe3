"""A failure domain that is cut off from the others and the platform continues to serve calls and
rejoins after the cut.
"""

import subprocess

import pytest

from bergamotridge.commands import registry
from standins import fleet as standin_fleet
from standins import history, processes
from tests import fleet

EAST_HOSTS = ("front-1", "back-1")


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


def version_in_force(rig, host):
    return rig.fleet.members[host].status()["configuration_version"]


def test_both_sides_of_a_cut_serve_calls_without_violations(rig):
    hosts = tuple(rig.fleet.members)
    streams = [rig.stream("large", route, 20, 3, hosts) for route in ("read", "pay")]
    attempts_future = rig.start_load(*streams)
    processes.wait_until(lambda: rig.runs(service="back"), "upstreams run calls of the load")
    rig.fleet.cut("east")
    for host in ("front-1", "front-2"):
        rig.call_until_served(host)
    rig.fleet.cut()
    assert rig.find_violations(attempts_future.result()) == []


def test_team_above_its_rate_is_limited_over_both_sides_of_a_cut(rig):
    stream = rig.stream("small", "rows", 80, 3, tuple(rig.fleet.members))
    run_count_before = len(rig.runs())
    attempts_future = rig.start_load(stream, seed=5)
    processes.wait_until(
        lambda: len(rig.runs()) > run_count_before + 2, "upstreams run calls of the load"
    )
    rig.fleet.cut("east")
    attempts = attempts_future.result()
    admitted = history.admitted_intervals(attempts, rig.runs(), "small")
    assert history.find_rate_violations(admitted, history.Limit(rate=10, burst=10)) == []


def test_configuration_and_withdrawal_reach_a_domain_after_the_cut(rig):
    key = rig.fleet.grant("large")
    for host in EAST_HOSTS:
        rig.call_until(host, "GET", "/rows", lambda reply: reply.status == 200, key=key.secret)
    old_version = version_in_force(rig, "front-1")
    rig.fleet.cut("east")
    rig.fleet.apply(fleet.TEXT + "\n# changed during the cut\n")
    rig.fleet.withdraw(key)
    processes.wait_until(
        lambda: version_in_force(rig, "front-2") > old_version,
        "the new version is in force in the west",
    )
    new_version = version_in_force(rig, "front-2")
    assert version_in_force(rig, "front-1") == old_version
    rig.fleet.cut()
    for host in EAST_HOSTS:
        processes.wait_until(
            lambda host=host: version_in_force(rig, host) == new_version,
            "the new version is in force in the east",
        )
        rig.call_until(host, "GET", "/rows", lambda reply: reply.status == 401, key=key.secret)


# A node that was cut off said "told 1 of 1", and kept to itself who else knew of the withdrawal.
def test_a_withdrawal_in_a_domain_that_is_cut_off_names_the_nodes_that_know(rig):
    key = rig.fleet.grant("large")
    for host in EAST_HOSTS:
        rig.call_until(host, "GET", "/rows", lambda reply: reply.status == 200, key=key.secret)
    rig.fleet.cut("east")
    printed = rig.fleet.withdraw(key, "front-1")
    assert "told 2 nodes in 1 failure domains; stored by the platform: no\n" in printed
    for host in EAST_HOSTS:
        assert rig.call(host, "GET", "/rows", rig.tag(), key=key.secret).status == 401
    rig.fleet.members["back-1"].node.pause()
    with pytest.raises(subprocess.CalledProcessError) as caught:
        rig.fleet.withdraw(key, "front-1")
    assert caught.value.returncode == registry.EXIT_KNOWN_TO_ONE_PROCESS
    assert "only the node of host 'front-1' knows" in caught.value.stderr
