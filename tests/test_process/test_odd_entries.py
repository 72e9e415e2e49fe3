"""Objects and announcements that other software left: all processes go on and follow changes."""

import json

import pytest

from standins import client, processes
from tests import fleet, odd_values

DEEP = json.loads(odd_values.nested(300))
ODD_ITEMS = [
    None,
    [],
    {"name": "x"},
    {"version": 1, "value": {}},
    {"name": "x", "version": True, "value": {}},
    {"name": "x", "version": 10**18, "value": {}},
    {"name": "x", "version": 1, "value": DEEP},
]
ODD_OBJECTS = {
    ("nodes", "odd-port"): {"host": "x", "address": "127.0.0.1:99999"},
    ("nodes", "odd-number"): {"host": "x", "address": f"127.0.0.1:{10**30}"},
    ("nodes", "odd-type"): {"host": "x", "address": [1]},
    ("keys", "odd-digest"): {"team": "large", "digest": "\u00e9", "withdrawn": False},
    ("keys", "odd-team"): {"team": DEEP[0], "digest": "0" * 64, "withdrawn": False},
    ("quota-groups", "odd"): {"teams": {"large": [["x", 1, "x", 10, 1, "much"]]}},
}
ANNOUNCEMENT = {
    "service": "back",
    "address": "127.0.0.1:1",
    "state": "ready",
    "incarnation": 10**15,
    "slots": 5,
    "connections": 5,
    "load": 0.0,
}
ODD_ANNOUNCEMENTS = [
    {**ANNOUNCEMENT, "slots": 10**18},
    {**ANNOUNCEMENT, "slots": 2**32},
    {**ANNOUNCEMENT, "address": "127.0.0.1:99999"},
    {**ANNOUNCEMENT, "address": 5},
    {**ANNOUNCEMENT, "load": 1e300},
    {**ANNOUNCEMENT, "incarnation": True},
    {**ANNOUNCEMENT, "state": DEEP},
    {**ANNOUNCEMENT, "load": DEEP},
]


@pytest.fixture
def odd_rig(rig):
    """A fleet whose platform holds odd objects, and answers with odd items in each listing."""
    address, versions = rig.fleet.platform_address, {}
    for (kind, name), value in ODD_OBJECTS.items():
        path = f"/objects/{kind}/{name}"
        reply = client.send_request(address, "PUT", f"{path}?version=0", json.dumps(value))
        versions[path] = json.loads(reply.body)["version"]
    rig.fleet.inject_platform_faults(odd_items=ODD_ITEMS)
    yield rig
    rig.fleet.inject_platform_faults(odd_items=[])
    for path, version in versions.items():
        client.send_request(address, "DELETE", f"{path}?version={version}")


def _metric(rig, host, name):
    address = rig.fleet.addresses(host).operators
    lines = client.send_request(address, "GET", "/metrics").body.decode().splitlines()
    return [line for line in lines if line.startswith(name)]


def _states(rig, host):
    members = rig.fleet.members[host].status().get("members", ())
    return {member["host"]: member["state"] for member in members}


# One odd entry ended the following of a kind, the gossip or the shares of a node for good.
def test_nodes_that_meet_odd_entries_go_on_and_follow_changes(odd_rig):
    rig = odd_rig
    for announcement in ODD_ANNOUNCEMENTS:
        address = rig.fleet.addresses("back-1").upstream
        reply = client.send_request(
            address, "POST", "/_bergamotridge/announce", json.dumps(announcement)
        )
        assert reply.status == 400
    restarted = rig.fleet.members["back-2"].node
    restarted.kill()
    restarted.start()
    rig.fleet.wait_ready()

    rig.fleet.apply(f"{fleet.TEXT}\n# beside odd entries\n")
    rig.fleet.wait_until_newest_configuration()
    key = rig.fleet.grant("large")
    for host in rig.fleet.members:
        rig.call_until(host, "GET", "/rows", lambda reply: reply.status == 200, key=key.secret)
    rig.fleet.withdraw(key)
    for host in rig.fleet.members:
        rig.call_until(host, "GET", "/rows", lambda reply: reply.status == 401, key=key.secret)
    rig.fleet.wait_rates({"large": fleet.LARGE_TEAM_RATE_PER_S})

    rig.fleet.members["back-1"].inject_faults(state="draining")
    for host in rig.fleet.members:
        processes.wait_until(
            lambda host=host: _states(rig, host).get("back-1") == "draining",
            f"{host} knows that back-1 drains",
        )
    assert all(member.node.running for member in rig.fleet.members.values())
    counted = _metric(rig, "back-1", "bergamotridge_malformed_entries_total")
    assert any('source="announcement"' in line for line in counted)
