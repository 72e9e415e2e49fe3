"""The port that asks other nodes how current they are, over real sockets."""

import random
import time

import attrs
import pytest

from bench import control_node
from bergamotridge.nodes import freshness, freshness_exchange
from bergamotridge.store import freshness as store_freshness
from bergamotridge.store import replica
from bergamotridge.util import clock
from tests import event_loop, positions
from tests.test_nodes import fleet

KIND = "configuration"
VERSION = positions.version(5)
TIMINGS = freshness.FreshnessTimings(wait_s=0.1)
SUSPENDED_S = 1000.0  # Time for which the machine was suspended before.


@attrs.define(eq=False)
class Replica:
    kind: str = KIND
    version: replica.ReplicaVersion = VERSION


@attrs.define
class Node:
    known: store_freshness.Freshness
    port: freshness.FreshnessPort


def _start(address, sources):
    known = store_freshness.Freshness()
    port = freshness.FreshnessPort(
        address,
        fleet.SECRET,
        freshness_exchange.FreshnessExchange(known, [Replica()], 0.05, random.Random(1)),
        lambda: sources,
        lambda source, kind, version: None,
        event_loop.SHARED,
        TIMINGS,
    )
    known.add_listener(port.notify_progress)
    port.start()
    return Node(known, port)


@pytest.fixture
def nodes(monkeypatch):
    """A node that asks another one."""
    monkeypatch.setattr(clock, "boot_time", lambda: time.monotonic() + SUSPENDED_S)
    addresses = control_node.free_addresses(2)
    source_record = fleet.own_record("source", int(addresses[1].rpartition(":")[2]))
    nodes = _start(addresses[0], [source_record]), _start(addresses[1], [])
    yield nodes
    for node in nodes:
        node.port.stop()


# The age that a node told did not count the time for which its machine had been suspended.
def test_a_node_learns_from_another_how_current_its_replica_is(nodes):
    asking, source = nodes
    current_as_of = clock.boot_time() - 3.0
    source.known.confirm(KIND, current_as_of)
    fleet.wait_for(lambda: asking.known.as_of(KIND) > store_freshness.NEVER)
    # An answer may be as old as its request, which waits no longer than this.
    waited_s = TIMINGS.wait_s + TIMINGS.answer_grace_s
    assert current_as_of - waited_s <= asking.known.as_of(KIND) <= current_as_of + 0.001
