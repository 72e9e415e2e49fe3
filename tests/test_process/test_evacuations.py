"""An evacuated failure domain in a fleet of real processes: over an outage and a restart."""

import pytest

from bergamotridge.store import client, evacuations, position
from standins import fleet as standin_fleet
from standins import processes
from tests import fleet

CALLS = 20
ON = "evacuations = true"
HOSTS = tuple(
    standin_fleet.Host(name, domain, service, slots=20, platform_settings=ON)
    for name, domain, service in (
        ("back-1", "east", "back"),
        ("back-2", "west", "back"),
        ("front-1", "east", "front"),
    )
)


@pytest.fixture
def rig(tmp_path):
    with standin_fleet.Fleet(tmp_path, HOSTS, fleet.TEXT) as running:
        keys = {"large": running.grant("large")}
        running.wait_ready()
        made = fleet.Rig(running, tmp_path, keys)
        yield made
        made.stop()


def find_runs(rig, name, since):
    address = rig.fleet.members[name].addresses.server
    return [run for run in rig.runs()[since:] if run.address == address]


# Guards against calls to an evacuated domain: from its own hosts, in an outage, after a restart.
def test_an_evacuated_domain_gets_no_calls_until_it_is_taken_back(rig):
    store = client.ObjectClient(rig.fleet.platform_address, 5.0)
    rig.call_until_served("back-1", path="/rows")
    rig.call_until_served("front-1", path="/reads/1")
    version = store.put(evacuations.KIND, "east", {}, position.START)
    processes.wait_until(
        lambda: sum("evacuation.begun" in line for line in rig.fleet.timeline()) == len(HOSTS),
        "all nodes know of the evacuation",
    )
    rig.call_until("front-1", "GET", "/reads/1", lambda reply: reply.status == 503)
    since = len(rig.runs())
    statuses = [rig.call("back-1", "GET", "/rows", rig.tag()).status for _ in range(CALLS)]
    assert statuses == [200] * CALLS
    rig.fleet.inject_platform_faults(outage=True)
    node = rig.fleet.members["back-1"].node
    node.kill()
    node.start()
    rig.call_until_served("back-1", path="/rows")
    rig.call_until_served("back-2", path="/rows")
    assert len(find_runs(rig, "back-2", since)) >= CALLS + 2
    assert not find_runs(rig, "back-1", since)
    assert not find_runs(rig, "front-1", since)
    rig.fleet.inject_platform_faults(outage=False)
    store.delete(evacuations.KIND, "east", version)
    store.close()
    rig.call_until_served("front-1", path="/reads/1")
    assert rig.call("back-1", "GET", "/rows", rig.tag()).status == 200
    processes.wait_until(lambda: find_runs(rig, "front-1", since), "its run is recorded")
