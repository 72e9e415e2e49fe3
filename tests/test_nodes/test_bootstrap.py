"""Seed addresses: written by the elected nodes, read by a node that knows no other."""

import heapq
import random

import pytest

from bergamotridge import errors, malformed
from bergamotridge.nodes import bootstrap, change_log, membership, peers, watch_election
from bergamotridge.store import client, position, restorations
from tests import positions
from tests.test_nodes import fleet

FAST = bootstrap.BootstrapTimings(
    check_s=0.01, alone_s=0.01, stable_s=0.0, backoff_base_s=0.01, backoff_cap_s=0.05
)
HOSTS = 12


def _create_task(
    server, host: str, port: int, on_addresses, nodes_per_domain: int, on_malformed=malformed.ignore
):
    members = membership.Membership(fleet.own_record(host, port), membership.MembershipTimings())
    rng = random.Random(port)
    chooser = peers.PeerChooser(members, (), rng)
    known = restorations.Restorations()
    platform_client = client.ObjectClient("{}:{}".format(*server.server_address), 5.0, known)
    election = watch_election.WatchElection(members, chooser, nodes_per_domain)
    return (
        bootstrap.Bootstrap(
            platform_client,
            members,
            on_addresses,
            election,
            FAST,
            rng,
            on_malformed,
            lambda: known.epoch,
        ),
        platform_client,
    )


def _addresses(server):
    reader = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    try:
        return {item.name: item.value["address"] for item in reader.list("nodes").items}
    finally:
        reader.close()


def test_a_node_that_knows_no_other_reads_the_address_of_an_elected_one(server):
    change_faults = server.RequestHandlerClass.platform.change_faults
    change_faults({"outage": True})
    found = set()
    first, first_client = _create_task(server, "h1", 1, lambda addresses: None, nodes_per_domain=1)
    second, second_client = _create_task(server, "h2", 2, found.update, nodes_per_domain=1)
    first.start()
    change_faults({"outage": False})
    fleet.wait_for(lambda: _addresses(server) == {"a.0": "127.0.0.1:1"})
    second.start()
    fleet.wait_for(lambda: found == {"127.0.0.1:1"})
    for task, task_client in ((first, first_client), (second, second_client)):
        task.stop()
        task_client.close()


# Seed addresses written in the seconds that the platform lost were gone for good.
def test_a_seed_address_that_a_restored_platform_lost_is_written_again(server):
    task, task_client = _create_task(server, "h1", 1, lambda addresses: None, nodes_per_domain=1)
    other = change_log.RecordUpdate(fleet.own_record("h2", 2, domain="b"), 1, suspected=False)
    task._members.merge([other], "h2", 0.0)  # A node that knows another reads no addresses.
    task.start()
    fleet.wait_for(lambda: _addresses(server) == {"a.0": "127.0.0.1:1"})
    server.RequestHandlerClass.platform.store.restore(0)
    task_client.list("configuration")  # By its other reads the node notices the restoration.
    fleet.wait_for(lambda: _addresses(server) == {"a.0": "127.0.0.1:1"})
    task.stop()
    task_client.close()


def test_of_many_nodes_that_boot_together_all_find_others_and_few_write(server):
    found = {f"h{number}": set() for number in range(HOSTS)}
    tasks = [
        _create_task(server, host, number, addresses.update, nodes_per_domain=2)
        for number, (host, addresses) in enumerate(found.items(), 1)
    ]
    for task, _ in tasks:
        task.start()
    fleet.wait_for(lambda: sum(bool(addresses) for addresses in found.values()) == HOSTS)
    assert len(_addresses(server)) <= 2
    for task, task_client in tasks:
        task.stop()
        task_client.close()


# Such an address was dialled again and again among the others, without a word to operators.
@pytest.mark.parametrize(
    "odd",
    [
        {"host": "x"},
        {"address": "127.0.0.1:99999"},
        {"address": f"127.0.0.1:{10**30}"},
        {"address": "127.0.0.1:-5"},
        {"address": ["127.0.0.1:5"]},
        {"address": "\0"},
        {"address": None},
        "127.0.0.1:5",
        ["address"],
        7,
    ],
)
def test_an_odd_seed_address_is_left_out_and_the_others_hold(server, odd):
    writer = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    writer.put("nodes", "odd", odd, position.START)
    writer.put("nodes", "a.0", {"address": "127.0.0.1:1"}, position.START)
    writer.close()
    found, reports = set(), []
    task, task_client = _create_task(server, "h2", 2, found.update, 1, reports.append)
    task.start()
    fleet.wait_for(lambda: found)
    task.stop()
    task_client.close()
    assert found == {"127.0.0.1:1"}
    assert {(report.source, report.name) for report in reports} == {("nodes", "odd")}


class OutdatedReads:
    """Objects of the platform in virtual time, whose eventual reads are `lag_s` seconds old."""

    def __init__(self, lag_s):
        self.now = 0.0
        self.lag_s = lag_s
        self.written = {}
        self.writes = self.reads = 0

    def list(self, kind, *, eventual=False):
        self.reads += not eventual
        as_of = self.now - (self.lag_s if eventual else 0.0)
        found = [item for item, written_at in self.written.values() if written_at <= as_of]
        return client.Listing(tuple(found), positions.at(len(self.written)))

    def get(self, kind, name, *, eventual=False):
        self.reads += 1
        if name not in self.written:
            raise errors.NotFoundError(name, position.START)
        return self.written[name][0]

    def put(self, kind, name, value, version):
        self.writes += 1
        current = self.written[name][0].version if name in self.written else position.START
        if version != current:
            raise errors.ConflictError(name, current)
        written = positions.at(current.revision + 1)
        self.written[name] = client.StoredObject(kind, name, written, value), self.now
        return written


# Nodes that had booted together wrote their addresses one after the other, as the reads by which
# they looked for others were some seconds old.
@pytest.mark.parametrize("seed", range(8))
def test_few_of_the_nodes_that_boot_together_write_though_reads_are_outdated(seed):
    platform, rng = OutdatedReads(lag_s=2.0), random.Random(seed)
    found = {f"h{number}": set() for number in range(HOSTS)}
    due = []
    for number, (host, addresses) in enumerate(found.items(), 1):
        members = membership.Membership(
            fleet.own_record(host, number), membership.MembershipTimings()
        )
        chooser = peers.PeerChooser(members, (), rng)
        election = watch_election.WatchElection(members, chooser, 2)
        timings = bootstrap.BootstrapTimings()
        task = bootstrap.Bootstrap(platform, members, addresses.update, election, timings, rng)
        heapq.heappush(due, (rng.uniform(0.0, 0.2), host, task))
    while due:
        platform.now, host, task = heapq.heappop(due)
        task._update(None)
        if not found[host]:
            heapq.heappush(due, (platform.now + rng.uniform(0.2, 0.6), host, task))
    assert platform.writes < HOSTS / 2
    assert platform.reads + platform.writes <= 2 * HOSTS


def make_elected_task(platform):
    """Returns the task of a node that knows another one."""
    members = membership.Membership(fleet.own_record("h1", 1), membership.MembershipTimings())
    other = change_log.RecordUpdate(fleet.own_record("h2", 2), 1, suspected=False)
    members.merge([other], change_log.LOCAL_SESSION, 0.0)
    chooser = peers.PeerChooser(members, (), random.Random(1))
    election = watch_election.WatchElection(members, chooser, 1)
    timings = bootstrap.BootstrapTimings()
    return bootstrap.Bootstrap(platform, members, list, election, timings, random.Random(1))


# Each elected node of a fleet that booted for the first time read that no address was stored.
def test_an_address_is_written_with_one_request_where_none_is_stored():
    platform = OutdatedReads(lag_s=0.0)
    make_elected_task(platform)._update("a.0")
    assert (platform.writes, platform.reads) == (1, 0)


def test_the_address_of_another_node_is_replaced():
    platform = OutdatedReads(lag_s=0.0)
    platform.put(bootstrap.KIND, "a.0", {"host": "h9", "address": "127.0.0.1:9"}, position.START)
    make_elected_task(platform)._update("a.0")
    assert platform.get(bootstrap.KIND, "a.0").value["address"] == "127.0.0.1:1"
