"""The port that asks other nodes how current they are, over real sockets."""

import random
import socket
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
    exchange: freshness_exchange.FreshnessExchange
    known: store_freshness.Freshness
    port: freshness.FreshnessPort


def _start(address, sources):
    known = store_freshness.Freshness()
    exchange = freshness_exchange.FreshnessExchange(known, [Replica()], 0.05, random.Random(1))
    port = freshness.FreshnessPort(
        address,
        fleet.SECRET,
        exchange,
        lambda: sources,
        lambda source, kind, version: None,
        event_loop.SHARED,
        TIMINGS,
    )
    known.add_listener(port.notify_progress)
    port.start()
    return Node(exchange, known, port)


@pytest.fixture
def odd_sources():
    """Nodes that the asking node asks before the other one."""
    return []


@pytest.fixture
def nodes(monkeypatch, odd_sources):
    """A node that asks another one."""
    monkeypatch.setattr(clock, "boot_time", lambda: time.monotonic() + SUSPENDED_S)
    addresses = control_node.free_addresses(2)
    source_record = fleet.own_record("source", int(addresses[1].rpartition(":")[2]))
    nodes = _start(addresses[0], [*odd_sources, source_record]), _start(addresses[1], [])
    yield nodes
    for node in nodes:
        node.port.stop()


def _with_address(address):
    return attrs.evolve(fleet.own_record("odd", 1), control_address=address)


# The age that a node told did not count the time for which its machine had been suspended.
def test_a_node_learns_from_another_how_current_its_replica_is(nodes):
    asking, source = nodes
    current_as_of = clock.boot_time() - 3.0
    source.known.confirm(KIND, current_as_of)
    fleet.wait_for(lambda: asking.known.as_of(KIND) > store_freshness.NEVER)
    # An answer may be as old as its request, which waits no longer than this.
    waited_s = TIMINGS.wait_s + TIMINGS.answer_grace_s
    assert current_as_of - waited_s <= asking.known.as_of(KIND) <= current_as_of + 0.001


class TestOddSources:
    """Among the nodes to ask are some with addresses to which no datagram can be sent."""

    @pytest.fixture
    def other_port(self):
        """A socket that would get what is sent to a port beyond 65,535."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(("127.0.0.1", 0))
            other.setblocking(False)
            yield other

    @pytest.fixture
    def odd_sources(self, other_port):
        beyond_range = other_port.getsockname()[1] + 65_536
        addresses = (f"127.0.0.1:{10**30}", "[::1]:80", f"127.0.0.1:{beyond_range}")
        return [_with_address(address) for address in addresses]

    # A request to such an address stayed registered for good, one a try, and one for port 99,999
    # went to port 34,463.
    def test_they_are_passed_over_and_leave_nothing_behind(self, nodes, other_port):
        asking, source = nodes
        source.known.confirm(KIND, clock.boot_time())
        fleet.wait_for(lambda: asking.known.as_of(KIND) > store_freshness.NEVER)
        fleet.wait_for(lambda: asking.exchange.waiting_requests <= 1)
        with pytest.raises(BlockingIOError):
            other_port.recv(1)
