"""Processes of the membership benchmark: each runs the control parts of some nodes."""

import multiprocessing
import multiprocessing.connection
import random
import resource
import socket
import threading
import time

import attrs

from bergamotridge.callers import keys
from bergamotridge.nodes import control, exchange, gossip, membership, peers, record
from bergamotridge.store import configuration

SECRET = "fleet-secret"
FAILURE_DOMAINS = 8
REGIONS = 2
GHOST_PREFIX = "ghost"
CHURN_STEP_S = 0.5
START_TIMEOUT_S = 60.0


@attrs.frozen
class Layout:
    """What one process of the benchmark runs.

    Attributes:
        first_number: Number of its first node.
        addresses: Control addresses of its nodes.
        first: Control addresses that its nodes contact first.
        ghosts: Hosts without a process whose records this process publishes.
        load_changes_s: Seconds between two load changes of a ghost, 0 for none.
        interval_s: Mean seconds between two messages on a link.
    """

    first_number: int
    addresses: tuple[str, ...]
    first: tuple[str, ...]
    ghosts: tuple[str, ...] = ()
    load_changes_s: float = 0.0
    interval_s: float = 1.0


@attrs.frozen
class Usage:
    """Use of resources by one process since its start.

    Attributes:
        cpu_s: Processor time in seconds.
        memory_mb: Resident memory at its peak, in megabytes.
        sent_bytes: Bytes of gossip messages sent, without framing.
        received_bytes: Bytes of gossip messages received, without framing.
        messages: Messages sent.
        members: Members that its first node knows.
    """

    cpu_s: float
    memory_mb: float
    sent_bytes: int
    received_bytes: int
    messages: int
    members: int


class CountingExchange(exchange.Exchange):
    """Counts the bytes of messages."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.sent_bytes = self.received_bytes = self.messages = 0

    def build_message(self, session, now_ms):
        """Builds and counts a message."""
        message = super().build_message(session, now_ms)
        self.sent_bytes += message.ByteSize()
        self.messages += 1
        return message

    def process_message(self, message, now):
        """Counts and takes in a message."""
        self.received_bytes += message.ByteSize()
        return super().process_message(message, now)


class _WithoutGhosts(membership.Membership):
    """Hides hosts without a process from the choice of peers."""

    def real(self):
        """Returns the members that can be talked to."""
        return [item for item in self.members() if not item.host.startswith(GHOST_PREFIX)]


class _Chooser(peers.PeerChooser):
    def _choose(self, link):
        members, self._members = self._members, _View(self._members)
        try:
            return super()._choose(link)
        finally:
            self._members = members


@attrs.frozen
class _View:
    """Membership as the choice of peers sees it."""

    _whole: _WithoutGhosts

    @property
    def own(self):
        return self._whole.own

    def members(self):
        return self._whole.real()

    def lost(self):
        return ()


def own_record(host: str, number: int, address: str) -> record.UpstreamRecord:
    """Returns a record with names and addresses of usual length."""
    domain = number % FAILURE_DOMAINS
    return record.UpstreamRecord(
        host=host,
        incarnation=time.time_ns() // 1_000_000,
        version=1,
        failure_domain=f"domain-{domain}",
        region=f"region-{domain % REGIONS}",
        service=f"service-{number % 24}",
        state=record.State.READY,
        slots=50,
        load=0.0,
        relay_address="10.100.100.100:8002",
        control_address=address,
        operators_address="10.100.100.100:8004",
    )


class BenchNode:
    """The control parts of one node, and when news reached it."""

    def __init__(self, layout: Layout, place: int) -> None:
        number = layout.first_number + place
        own = own_record(f"node-{number:04d}", number, layout.addresses[place])
        self.members = _WithoutGhosts(own, membership.Timings())
        self.store = configuration.ConfigurationStore()
        self.ring = keys.KeyRing(SECRET)
        self.ghosts: _Ghosts | None = None
        self.arrivals: dict[str, float] = {}
        rng = random.Random(number)
        self.exchange = CountingExchange(
            self.members, (self.store, self.ring), self.ring, rng.getrandbits(63) | 1
        )
        self.channels = control.ChannelPool(SECRET)
        self.gossip = gossip.Gossip(
            self.members,
            _Chooser(self.members, layout.first, rng),
            self.exchange,
            (self.store, self.ring),
            self.channels,
            gossip.GossipTimings(interval_s=layout.interval_s),
            rng,
        )
        self.server = control.ControlServer(layout.addresses[place], SECRET, (self.gossip,))
        self.store.add_listener(lambda current: self._arrived(f"configuration {current.version}"))
        self.members.add_listener(self._changed)
        self._note_withdrawals()

    def start(self) -> None:
        """Starts the server and the tasks."""
        self.server.start()
        self.gossip.start()

    def _changed(self, found, change) -> None:
        if found.state is record.State.DRAINING:
            self._arrived(f"drain {found.host}")

    def _note_withdrawals(self) -> None:
        take = self.ring.withdraw_all

        def noted(key_ids):
            for key_id in key_ids:
                self._arrived(f"withdrawn {key_id}")
            return take(key_ids)

        self.ring.withdraw_all = noted

    def _arrived(self, news: str) -> None:
        self.arrivals.setdefault(news, time.time())


class _Ghosts:
    """Publishes records of hosts without a process, as if they had just told this node."""

    def __init__(self, members: membership.Membership, layout: Layout) -> None:
        self._members = members
        self._interval_s = layout.load_changes_s
        self._rng = random.Random(layout.first_number)
        self._records = [
            own_record(host, number, "10.100.100.100:8003")
            for number, host in enumerate(layout.ghosts)
        ]
        news = [membership.RecordUpdate(item, 1, False) for item in self._records]
        members.merge(news, "", time.monotonic())

    def run(self) -> None:
        """Changes loads at the given pace for ever."""
        due = 0.0
        while self._records and self._interval_s:
            time.sleep(CHURN_STEP_S)
            due += len(self._records) * CHURN_STEP_S / self._interval_s
            for _ in range(int(due)):
                self._change(self._rng.randrange(len(self._records)))
            due -= int(due)

    def restart_all(self) -> None:
        """Replaces all hosts at once by successors."""
        self._records = [
            attrs.evolve(item, incarnation=item.incarnation + 1, version=1)
            for item in self._records
        ]
        news = [membership.RecordUpdate(item, 1, False) for item in self._records]
        self._members.merge(news, "", time.monotonic())

    def _change(self, number: int) -> None:
        old = self._records[number]
        new = attrs.evolve(old, version=old.version + 1, load=self._rng.randrange(5) / 4)
        self._records[number] = new
        brief = membership.BriefUpdate(new.host, new.incarnation, new.version, 1, new.load, False)
        self._members.merge([brief], "", time.monotonic())


def serve(pipe: multiprocessing.connection.Connection, layout: Layout) -> None:
    """Runs the nodes of one process and obeys commands until told to end."""
    nodes = [BenchNode(layout, place) for place in range(len(layout.addresses))]
    ghosts = nodes[0].ghosts = _Ghosts(nodes[0].members, layout)
    for node in nodes:
        node.start()
    threading.Thread(target=ghosts.run, daemon=True).start()
    while True:
        command, *arguments = pipe.recv()
        if command == "end":
            break
        pipe.send(_COMMANDS[command](nodes, *arguments))
    for node in nodes:
        node.server.stop(0)
        node.gossip.stop()


def _usage(nodes: list[BenchNode]) -> Usage:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return Usage(
        used.ru_utime + used.ru_stime,
        used.ru_maxrss / 1024,
        sum(node.exchange.sent_bytes for node in nodes),
        sum(node.exchange.received_bytes for node in nodes),
        sum(node.exchange.messages for node in nodes),
        min(len(node.members.members()) for node in nodes),
    )


def _arrivals(nodes: list[BenchNode], news: str) -> list[float | None]:
    return [node.arrivals.get(news) for node in nodes]


def _configure(nodes: list[BenchNode], version: int, source: str) -> float:
    began = time.time()
    nodes[0].store.apply_version(version, source)
    return began


def _withdraw(nodes: list[BenchNode], key_id: str) -> float:
    began = time.time()
    nodes[0].ring.withdraw(key_id)
    return began


def _restart_ghosts(nodes: list[BenchNode]) -> None:
    nodes[0].ghosts.restart_all()


def _drain(nodes: list[BenchNode]) -> tuple[float, str]:
    own = nodes[-1].members.own
    began = time.time()
    nodes[-1].members.announce(
        own.service, record.State.DRAINING, own.slots, own.load, time.monotonic()
    )
    return began, own.host


_COMMANDS = {
    "usage": _usage,
    "arrivals": _arrivals,
    "configure": _configure,
    "withdraw": _withdraw,
    "drain": _drain,
    "restart ghosts": _restart_ghosts,
}


class Process:
    """One process of the benchmark, seen from its parent."""

    def __init__(self, layout: Layout) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, other = context.Pipe()
        self._process = context.Process(target=serve, args=(other, layout), daemon=True)
        self._process.start()

    def ask(self, *command: object):
        """Sends a command and returns its answer."""
        self._pipe.send(command)
        if not self._pipe.poll(START_TIMEOUT_S):
            raise TimeoutError(f"no answer to {command[0]}")
        return self._pipe.recv()

    def end(self) -> None:
        """Ends the process."""
        self._pipe.send(("end",))
        self._process.join(10)
        if self._process.is_alive():
            self._process.kill()


def free_addresses(count: int) -> list[str]:
    """Returns free loopback addresses."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    finally:
        for item in sockets:
            item.close()
