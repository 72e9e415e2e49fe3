"""The platform's store comes back from a copy and all nodes end: no call with a key runs twice."""

import json
import random
import time

import pytest

from bergamotridge.callers import claims
from bergamotridge.store import restoration_record, restorations
from standins import client, processes
from standins import fleet as standin_fleet
from tests import fleet

# Longer than a new process waits for news of its peers before it claims chosen keys.
REPEATS_S = restorations.ALONE_AFTER_S + 3.0
MAX_KILL_DELAY_S = 1.5
# The homes can't have written all claims again when they are killed.
CALLS = 60


@pytest.fixture
def rig(tmp_path):
    """A fleet of its own: for ten minutes after a restoration chosen keys are refused."""
    with standin_fleet.Fleet(tmp_path, fleet.HOSTS, fleet.TEXT) as running:
        own = fleet.Rig(running, tmp_path, {"large": running.grant("large")})
        running.wait_ready()
        for host in running.members:
            own.call_until_served(host)
        yield own
        own.stop()


def store_version(rig):
    reply = client.send_request(rig.fleet.platform_address, "GET", "/objects/configuration")
    return json.loads(reply.body)["version"]


def pay(rig, host, tag):
    return rig.call(host, "POST", "/payments", tag, idempotency_key=tag)


def restore_store(rig, version):
    request = json.dumps({"version": version})
    client.send_request(rig.fleet.platform_address, "POST", "/restore", request)


def kill_and_start_all_nodes(rig, rng):
    nodes = [member.node for member in rig.fleet.members.values()]
    rng.shuffle(nodes)
    for node in nodes:
        node.kill()
    for node in nodes:
        node.start()
    rig.fleet.wait_ready()


# The restoration was known to the memories of nodes only: calls ran once more.
@pytest.mark.parametrize("seed", range(3))
def test_repeats_after_a_restoration_and_a_kill_of_all_nodes_do_not_run(rig, seed):
    rng = random.Random(seed)
    hosts = list(rig.fleet.members)
    tags = [rig.tag() for _ in range(CALLS)]
    version = store_version(rig)
    served = {tag for tag in tags if pay(rig, rng.choice(hosts), tag).status == 200}
    assert len(served) > len(hosts) * claims.CLAIMS_PER_S
    restore_store(rig, version)
    time.sleep(rng.uniform(0.0, MAX_KILL_DELAY_S))  # A moment of the seed, waits for nothing.
    kill_and_start_all_nodes(rig, rng)
    end = time.monotonic() + REPEATS_S
    while time.monotonic() < end:
        tag = rng.choice(tags)
        reply = pay(rig, rng.choice(hosts), tag)
        assert tag not in served or reply.verdict != "not-run"
    assert {tag: len(rig.runs(tag)) for tag in served} == dict.fromkeys(served, 1)


def test_a_restoration_is_written_to_the_store_without_any_call(rig):
    restore_store(rig, store_version(rig))
    path = f"/objects/{restoration_record.KIND}/{restoration_record.NAME}"

    def is_written():
        reply = client.send_request(rig.fleet.platform_address, "GET", path)
        return reply.status == 200 and json.loads(reply.body)["value"] == {
            restoration_record.EPOCH_KEY: 1,
            restoration_record.RESERVED_KEY: True,
        }

    processes.wait_until(is_written, "the store has a record of the restoration")
