"""Simulated network in virtual time between nodes: message loss, partitions, late duplicates."""

import random
from collections.abc import Callable

import attrs

from bergamotridge.callers import keys
from bergamotridge.nodes import exchange, link, membership, peers, record, watch_election
from bergamotridge.store import client, configuration, position
from tests.test_nodes import fleet

LINKS = 3
MAX_UPDATES_PER_MESSAGE = 2
HOLD_S = 20.0
REPEATED_FRACTION = 0.1  # Of the messages and listings that arrive.
MAX_REPEAT_DELAY_S = 15.0
TIMINGS = membership.MembershipTimings(suspect_s=4.0, forget_s=600.0)


@attrs.define
class Node:
    """One simulated process.

    Attributes:
        serial: Position of the process in the order of all boots, from 1.
        in_force: Versions of the configuration that came into force, in order.
        paused: True while the process neither runs nor receives messages.
    """

    serial: int
    members: membership.Membership
    store: configuration.ConfigurationStore
    ring: keys.KeyRing
    exchange: exchange.Exchange
    election: watch_election.WatchElection
    links: list[link.GossipLink]
    in_force: list[position.Position] = attrs.field(factory=list)
    paused: bool = False

    @property
    def host(self):
        return self.members.own.host


class FakePlatform:
    """Objects of two kinds, versioned by one counter; reads may return an outdated state."""

    def __init__(self):
        self.version = position.START
        self.items: dict[tuple[str, str], client.StoredObject] = {}
        self.history: list[client.StoredObject] = []
        self.down = False
        self.stale_at: position.Position | None = None

    def write(self, kind, name, value):
        self.version = attrs.evolve(self.version, revision=self.version.revision + 1)
        item = client.StoredObject(kind, name, self.version, value)
        self.items[kind, name] = item
        self.history.append(item)
        return self.version

    def watch(self, kind, since):
        limit = self.version if self.stale_at is None else self.stale_at
        latest = {item.name: item for item in self.history if item.version <= limit}
        found = [item for item in latest.values() if item.kind == kind and item.version > since]
        return client.Listing(tuple(sorted(found, key=lambda item: item.version)), limit)


class Network:
    """Simulated nodes by host.

    `loss` is the fraction of messages that are lost. Hosts with different numbers in `parts` cannot
    reach each other; hosts in `platform_blocked` cannot reach the platform.
    """

    def __init__(self, size, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.platform = FakePlatform()
        self.parts: dict[str, int] = {}
        self.platform_blocked: set[str] = set()
        self.pending_repeats: list[tuple[float, Callable[[], object]]] = []
        self.nodes: dict[str, Node] = {}
        self.host_by_address: dict[str, str] = {}
        self.boot_count = 0
        for number in range(size):
            self.boot(number, 1)

    def boot(self, number, incarnation):
        own = fleet.own_record(
            f"h{number}", number + 1, incarnation, "abcd"[number % 4], "rs"[number % 4 // 2]
        )
        members = membership.Membership(own, TIMINGS)
        store, ring = configuration.ConfigurationStore(), keys.KeyRing(fleet.SECRET)
        session = self.rng.getrandbits(60) + 1
        gossip_exchange = exchange.Exchange(
            members, (store, ring), ring, session, max_updates=MAX_UPDATES_PER_MESSAGE
        )
        chooser = peers.PeerChooser(members, ("127.0.0.1:1", "127.0.0.1:2"), self.rng)
        self.boot_count += 1
        node = Node(
            self.boot_count,
            members,
            store,
            ring,
            gossip_exchange,
            watch_election.WatchElection(members, chooser, 1),
            [],
        )
        store.add_listener(lambda current: node.in_force.append(current.version))
        numbers = [*range(LINKS), None]
        node.links = [
            link.GossipLink(n, chooser, gossip_exchange, HOLD_S, self.rng) for n in numbers
        ]
        self.nodes[own.host] = node
        self.host_by_address[own.control_address] = own.host
        self.announce(own.host, record.State.READY)

    def announce(self, host, state):
        self.nodes[host].members.announce("booking", state, 50, 0.0, self.now)

    def reaches(self, sender, receiver):
        cut = self.parts.get(sender, 0) != self.parts.get(receiver, 0)
        node = self.nodes.get(receiver)
        return not cut and node is not None and not node.paused and self.rng.random() >= self.loss

    def step(self, seconds=1):
        """Runs every node once per simulated second, in random order."""
        for _ in range(seconds):
            self.now += 1.0
            self._deliver_repeats()
            for host in self.rng.sample(sorted(self.nodes), len(self.nodes)):
                if not self.nodes[host].paused:
                    self._run_node(self.nodes[host])

    def _run_node(self, node):
        state = node.members.own.state
        load = self.rng.random() if node.serial % 2 else 0.0
        node.members.announce("booking", state, 50, load, self.now)
        node.members.tick(self.now)
        for peer_link in node.links:
            self._exchange_messages(node, peer_link)
        available = not self.platform.down and node.host not in self.platform_blocked
        if available and (node.election.is_elected(self.now) or self.rng.random() < 0.02):
            for replica in (node.store, node.ring):
                self._take(replica, self.platform.watch(replica.kind, replica.version.seen))

    def _exchange_messages(self, node, peer_link):
        peer = peer_link.current_peer(self.now)
        if peer is None:
            return
        message = peer_link.build_message(0)
        other = self._send(node.host, self.host_by_address.get(peer.address), message)
        if other is None:
            peer_link.record_failure(self.now)
            return
        received = other.exchange.process_message(message, self.now)
        self._fetch(other, node, received.stale_replicas)
        reply = other.exchange.build_message(received.session, 0)
        if self._send(other.host, node.host, reply) is None:
            peer_link.record_failure(self.now)
            return
        self._fetch(node, other, peer_link.process_answer(reply, self.now).stale_replicas)

    def _send(self, sender, receiver, message):
        """Returns the receiving node, None if the message is lost; some arrive again later."""
        if receiver is None or not self.reaches(sender, receiver):
            return None
        other = self.nodes[receiver]
        if self.rng.random() < REPEATED_FRACTION:
            self._schedule_repeat(lambda: other.exchange.process_message(message, self.now))
        return other

    def _take(self, replica, listing):
        replica.apply_listing(listing)
        if self.rng.random() < REPEATED_FRACTION:
            self._schedule_repeat(lambda: replica.apply_listing(listing))

    def _schedule_repeat(self, deliver):
        self.pending_repeats.append((self.now + self.rng.uniform(1.0, MAX_REPEAT_DELAY_S), deliver))

    def _deliver_repeats(self):
        due = [deliver for at, deliver in self.pending_repeats if at <= self.now]
        self.pending_repeats = [item for item in self.pending_repeats if item[0] > self.now]
        for deliver in due:
            deliver()

    def _fetch(self, node, other, stale_replicas):
        for replica in (node.store, node.ring):
            source = {other.store.kind: other.store, other.ring.kind: other.ring}[replica.kind]
            if replica.kind in {item.kind for item in stale_replicas} and self.reaches(
                other.host, node.host
            ):
                self._take(replica, source.listing_since(replica.version))
