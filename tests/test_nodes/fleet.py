"""Several nodes without the call path in one process, connected by real gRPC on loopback."""

import contextlib
import random
import time

import attrs

from bench import control_node
from bergamotridge.callers import keys
from bergamotridge.nodes import control, exchange, gossip, membership, peers, record
from bergamotridge.store import configuration

SECRET = "fleet-secret"
TIMINGS = gossip.GossipTimings(interval_s=0.1, gap_s=0.02, hold_s=1.0, timeout_s=1.0)
WAIT_TIMEOUT_S = 30.0


def own_record(host: str, port: int, incarnation: int = 1, domain: str = "a", region: str = "r"):
    return record.UpstreamRecord(
        host=host,
        incarnation=incarnation,
        version=1,
        failure_domain=domain,
        region=region,
        service="",
        state=record.State.STARTING,
        slots=0,
        load=0.0,
        relay_address=f"127.0.0.1:{port}",
        control_address=f"127.0.0.1:{port}",
    )


@attrs.define
class Node:
    members: membership.Membership
    configuration: configuration.ConfigurationStore
    ring: keys.KeyRing
    gossip: gossip.Gossip
    server: control.ControlServer
    channels: control.ChannelPool

    def kill(self):
        self.server.stop(0)
        self.gossip.stop()
        self.channels.close()


def start(
    number: int, seed_addresses=(), suspect_s: float = 0.5, address: str = "", **record_fields
):
    address = address or control_node.free_addresses(1)[0]
    own = own_record(f"h{number}", int(address.rpartition(":")[2]), **record_fields)
    members = membership.Membership(own, membership.MembershipTimings(suspect_s=suspect_s))
    store, ring = configuration.ConfigurationStore(), keys.KeyRing(SECRET)
    rng = random.Random(number)
    gossip_exchange = exchange.Exchange(members, (store, ring), ring, rng.getrandbits(63) + 1)
    channels = control.ChannelPool(SECRET)
    chooser = peers.PeerChooser(members, seed_addresses, rng)
    node_gossip = gossip.Gossip(
        members, chooser, gossip_exchange, (store, ring), channels, TIMINGS, rng
    )
    server = control.ControlServer(address, SECRET, (node_gossip,))
    server.start()
    node_gossip.start()
    return Node(members, store, ring, node_gossip, server, channels)


@contextlib.contextmanager
def fleet(size: int):
    nodes: list[Node] = []
    try:
        for number in range(size):
            seed_addresses = (nodes[0].members.own.control_address,) if nodes else ()
            nodes.append(start(number, seed_addresses))
        yield nodes
    finally:
        for node in nodes:
            node.kill()


def wait_for(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the fleet did not reach the expected state in time"
        time.sleep(0.01)
