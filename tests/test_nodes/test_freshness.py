"""A node in touch with platform and peers never relies on a configuration older than the bound.

Virtual time, random cuts, frozen nodes, watches that go deaf, outages and delayed messages, with
the real decisions. At rest the requests to the platform must not grow with the fleet.
"""

import heapq
import itertools
import random

import attrs
import pytest

from bergamotridge.nodes import change_log, freshness_exchange, membership, peers, watch_election
from bergamotridge.store import freshness, read_policy, replica
from tests import positions
from tests.test_nodes import fleet

KIND = "configuration"
MAX_AGE_S = 1.5
WAIT_S = 0.4 * MAX_AGE_S
ANSWER_GRACE_S = 0.25
CONTACT_S = 3.0  # For so long a node must have been undisturbed before the bound holds for it.
RETRY_S = 0.5
DOMAINS = "abcd"
# Reading the platform takes a few milliseconds, and messages between nodes as long.
BOUND_S = MAX_AGE_S + 0.1


@attrs.define(eq=False)
class FakeReplica:
    """A replica of which only the version matters."""

    kind: str = KIND
    version: replica.ReplicaVersion = replica.EMPTY
    history: list = attrs.field(factory=list)

    def accept(self, version):
        if version > self.version:
            self.version = version
        self.history.append(self.version)


@attrs.define(eq=False)
class Node:
    """One simulated node.

    Attributes:
        platform_cut: True while nothing passes between the node and the platform.
        deaf: True while the platform gets no answer through to the node, without an error.
        disturbed_at: Time at which the latest disturbance of the node itself ended.
    """

    host: str
    domain: str
    election: watch_election.WatchElection
    known: freshness.Freshness = attrs.field(factory=freshness.Freshness)
    replica: FakeReplica = attrs.field(factory=FakeReplica)
    rotation: freshness_exchange.SourceRotation = attrs.field(
        factory=lambda: freshness_exchange.SourceRotation(2.0)
    )
    exchange: freshness_exchange.FreshnessExchange | None = None
    waiting: dict = attrs.field(factory=dict)
    request_id: int | None = None
    reading: int = 0
    frozen: bool = False
    platform_cut: bool = False
    deaf: bool = False
    disturbed_at: float = float("-inf")

    @property
    def is_disturbed(self):
        return self.frozen or self.platform_cut or self.deaf


class Simulation:
    """A fleet and its platform in virtual time."""

    def __init__(self, size, seed, loss=0.01):
        self.loss = loss
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count(1)
        self.changes = [(0.0, 1)]
        self.platform_calls = 0
        self.platform_down = False
        self.platform_disturbed_at = float("-inf")
        self.cut_domain = ""
        self.watches = {}
        self.nodes = {}
        records = [
            fleet.own_record(f"h{number}", number + 1, domain=DOMAINS[number % len(DOMAINS)])
            for number in range(size)
        ]
        for own in records:
            members = membership.Membership(own, membership.MembershipTimings())
            updates = [change_log.RecordUpdate(item, 1, suspected=False) for item in records]
            members.merge(updates, change_log.LOCAL_SESSION, 0.0)
            chooser = peers.PeerChooser(members, (), self.rng)
            election = watch_election.WatchElection(members, chooser, 2)
            node = Node(own.host, own.failure_domain, election)
            node.exchange = freshness_exchange.FreshnessExchange(
                node.known, [node.replica], 0.05 * MAX_AGE_S, self.rng
            )
            self.nodes[own.host] = node
            self.at(self.rng.uniform(0.0, 0.3), self.check_read, node)
            self.at(self.rng.uniform(0.0, 0.3), self.poll, node)

    @property
    def version(self):
        return self.changes[-1][1]

    def at(self, delay_s, function, *arguments):
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), function, arguments))

    def run(self, duration_s):
        end = self.now + duration_s
        while self.events and self.events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            node = next((item for item in arguments if isinstance(item, Node)), None)
            if node is not None and node.frozen:
                self.at(0.1, function, *arguments)  # Delivered once the node runs again.
                continue
            function(*arguments)
            self.check_all()
        self.now = end

    # Reading the platform.

    def check_read(self, node):
        if node.reading:
            return
        duty = read_policy.ReadDuty(node.election.read_age_fraction())
        now = self.now
        due_at = read_policy.read_due_at(duty, node.known.as_of(KIND), 0.0, MAX_AGE_S)
        if due_at > now:
            self.at(min(max(due_at - now, 0.001), 1.0), self.check_read, node)
            return
        node.reading = next(self.numbers)
        wait_s = WAIT_S if duty.watches else 0.0
        self.platform_calls += 1
        self.at(wait_s + 1.0, self.fail_read, node, node.reading)
        if not node.platform_cut and not self.platform_down:
            seen = node.replica.version.seen.revision
            self.watches[node.reading] = (node, seen, now, wait_s)
            self.at(0.002, self.answer_watch, node.reading, self.version > seen or not wait_s)
            self.at(0.002 + wait_s, self.answer_watch, node.reading, True)

    def answer_watch(self, number, is_due):
        if not is_due or number not in self.watches:
            return
        node, seen, sent_at, wait_s = self.watches.pop(number)
        if not node.deaf and not node.platform_cut and not self.platform_down:
            self.at(0.002, self.end_read, node, number, self.version, seen, sent_at, wait_s)

    def end_read(self, node, number, version, seen, sent_at, wait_s):
        if node.reading != number:
            return
        node.reading = 0
        node.replica.accept(positions.version(version))
        now = self.now
        as_of = read_policy.as_of_response(sent_at, wait_s, version > seen, now)
        node.known.confirm(KIND, as_of)
        self.answer_waiting(node)
        self.at(0.0, self.check_read, node)

    def fail_read(self, node, number):
        if node.reading == number:
            node.reading = 0
            self.at(self.rng.uniform(0.0, RETRY_S), self.check_read, node)

    # Messages between nodes.

    def send(self, sender, receiver, function, *arguments):
        is_cut = sender.domain != receiver.domain and self.cut_domain in (
            sender.domain,
            receiver.domain,
        )
        if not is_cut and self.rng.random() >= self.loss:
            self.at(self.rng.uniform(0.0005, 0.004), function, receiver, sender, *arguments)

    def poll(self, node):
        now = self.now
        source = node.rotation.choose(node.election.sources(), now)
        if source is None:
            return
        message = node.exchange.build_request(WAIT_S, now)
        node.request_id = message.request_id
        self.send(node, self.nodes[source.host], self.receive_request, message)
        self.at(WAIT_S + ANSWER_GRACE_S, self.end_poll, node, message.request_id, False)

    def receive_request(self, node, sender, message):
        request = node.exchange.receive_request(message, self.now)
        node.waiting[sender.host] = request
        self.at(WAIT_S, self.answer, node, sender, request)
        self.answer_waiting(node)

    def answer_waiting(self, node):
        for host, request in list(node.waiting.items()):
            if node.exchange.has_news(request):
                self.answer(node, self.nodes[host], request)

    def answer(self, node, receiver, request):
        if node.waiting.get(receiver.host) is request:
            del node.waiting[receiver.host]
            message = node.exchange.build_answer(request, self.now)
            self.send(node, receiver, self.receive_answer, message)

    def receive_answer(self, node, sender, message):
        result = node.exchange.apply_answer(message, self.now)
        if result is None:
            return
        for _ in result.newer_replicas:
            self.at(0.005, self.fetch, node, sender)
        self.answer_waiting(node)
        self.end_poll(node, message.request_id, result.progressed)

    def end_poll(self, node, request_id, progressed):
        if node.request_id == request_id:
            node.request_id = None
            node.exchange.end_request(request_id)
            node.rotation.record_result(progressed, self.now)
            self.at(0.05, self.poll, node)

    def fetch(self, node, source):
        if not source.frozen and self.cut_domain not in (node.domain, source.domain):
            node.replica.accept(source.replica.version)
            self.answer_waiting(node)

    # Disturbances and checks.

    def change(self):
        self.changes.append((self.now, self.version + 1))
        for number in list(self.watches):
            self.answer_watch(number, True)

    def disturb(self):
        node = self.rng.choice(list(self.nodes.values()))
        kind = self.rng.choice(["deaf", "cut", "freeze", "domain", "outage", "heal", "heal"])
        leader = next(item for item in self.nodes.values() if not item.election.read_age_fraction())
        node = leader if self.rng.random() < 0.5 else node
        if kind == "deaf":
            node.deaf = True
        elif kind == "cut":
            node.platform_cut = True
        elif kind == "freeze" and not node.frozen:
            node.frozen = True
            self.at(self.rng.uniform(0.5, 6.0), self.thaw, node.host)
        elif kind == "domain":
            self.cut_domain = self.rng.choice(DOMAINS)
        elif kind == "outage":
            self.platform_down = True
            self.platform_disturbed_at = float("inf")
        else:
            self.heal()

    def thaw(self, host):
        node = self.nodes[host]
        node.frozen = False
        node.disturbed_at = self.now

    def heal(self):
        for node in self.nodes.values():
            if node.deaf or node.platform_cut:
                node.deaf = node.platform_cut = False
                node.disturbed_at = self.now
        if self.platform_down:
            self.platform_down = False
            self.platform_disturbed_at = self.now
        self.cut_domain = ""

    def check_all(self):
        if self.now - self.platform_disturbed_at < CONTACT_S:
            return
        due_version = max(
            (version for at, version in self.changes if at <= self.now - BOUND_S), default=0
        )
        for node in self.nodes.values():
            in_touch = not node.is_disturbed and self.now - node.disturbed_at >= CONTACT_S
            if in_touch and self.now > CONTACT_S:
                assert node.replica.version >= positions.version(due_version), (self.now, node.host)


@pytest.mark.parametrize("seed", range(6))
def test_a_node_in_touch_is_never_older_than_the_bound_and_never_goes_back(seed):
    simulation = Simulation(12, seed)
    simulation.run(5.0)
    for _ in range(25):
        simulation.disturb()
        simulation.run(simulation.rng.uniform(0.2, 3.0))
        simulation.change()
        simulation.run(simulation.rng.uniform(0.2, 3.0))
    for node in simulation.nodes.values():
        assert node.replica.history == sorted(node.replica.history)


@pytest.mark.parametrize("size", [8, 80])
def test_at_rest_only_one_node_reads_the_platform(size):
    simulation = Simulation(size, 1, loss=0.0)
    simulation.run(5.0)
    calls_before = simulation.platform_calls
    simulation.run(20.0)
    assert simulation.platform_calls - calls_before <= 20.0 / WAIT_S + 2


def test_without_the_check_of_its_own_age_a_node_stays_behind(monkeypatch):
    monkeypatch.setattr(
        read_policy,
        "read_due_at",
        lambda duty, *_: float("-inf") if duty.watches else float("inf"),
    )
    simulation = Simulation(12, 1)
    simulation.run(5.0)
    leader = next(
        item for item in simulation.nodes.values() if not item.election.read_age_fraction()
    )
    leader.platform_cut = True
    simulation.run(1.0)
    simulation.change()
    with pytest.raises(AssertionError):
        simulation.run(10.0)
