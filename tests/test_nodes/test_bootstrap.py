"""First addresses: written by the nodes on duty, found by a node that knows nobody."""

import random

from bergamotridge.nodes import bootstrap, duty, membership, peers
from bergamotridge.store import client
from tests.test_nodes import fleet

FAST = bootstrap.BootstrapTimings(
    check_s=0.01, alone_s=0.01, stable_s=0.0, backoff_base_s=0.01, backoff_cap_s=0.05
)


def _task(server, host: str, port: int, found, places: int):
    members = membership.Membership(fleet.own_record(host, port), membership.Timings())
    rng = random.Random(port)
    chooser = peers.PeerChooser(members, (), rng)
    store = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    on_duty = duty.Duty(members, chooser, places)
    return bootstrap.Bootstrap(store, members, found, on_duty, FAST, rng), store


def test_a_node_that_knows_nobody_finds_the_one_on_duty(server):
    faults = server.RequestHandlerClass.platform.change_faults
    faults({"outage": True})
    found = set()
    first, first_store = _task(server, "h1", 1, lambda addresses: None, places=1)
    second, second_store = _task(server, "h2", 2, found.update, places=0)
    for task in (first, second):
        task.start()
    faults({"outage": False})
    stored = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    expected = {"a.0": "127.0.0.1:1", "h1": "127.0.0.1:1", "h2": "127.0.0.1:2"}
    fleet.wait_for(lambda: found == {"127.0.0.1:1"})
    fleet.wait_for(
        lambda: {item.name: item.value["address"] for item in stored.list("nodes").items}
        == expected
    )
    for task, store in ((first, first_store), (second, second_store)):
        task.stop()
        store.close()
    stored.close()
