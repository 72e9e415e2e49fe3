"""Processes of the membership benchmark: each runs the control plane of some nodes.

A ghost is a host that has no process: the benchmark only publishes its record, so that the
membership is larger than the number of nodes that run.
"""

import multiprocessing
import multiprocessing.connection
import random
import resource
import socket
import threading
import time

import attrs

from bergamotridge.callers import keys
from bergamotridge.nodes import change_log, control, exchange, gossip, membership, peers, record
from bergamotridge.store import configuration, position

SECRET = "fleet-secret"
FAILURE_DOMAINS = 8
REGIONS = 2
GHOST_PREFIX = "ghost"
LOAD_CHANGE_STEP_S = 0.5
ANSWER_TIMEOUT_S = 60.0


@attrs.frozen
class Layout:
    """What one process of the benchmark runs.

    Attributes:
        first_number: Number of its first node; the others follow.
        addresses: Control addresses of its nodes, IP:PORT.
        seed_addresses: Control addresses that its nodes contact first, IP:PORT.
        ghosts: Names of the ghosts whose records this process publishes.
        load_change_interval_s: Mean seconds between two load changes of a ghost, 0 for none.
        interval_s: Mean seconds between two messages on a link.
    """

    first_number: int
    addresses: tuple[str, ...]
    seed_addresses: tuple[str, ...]
    ghosts: tuple[str, ...] = ()
    load_change_interval_s: float = 0.0
    interval_s: float = 1.0


@attrs.frozen
class Usage:
    """Resources used by one process since its start.

    Attributes:
        cpu_s: Processor time in seconds.
        memory_mb: Peak of the resident memory in MiB.
        sent_bytes: Bytes of gossip messages sent, without framing.
        received_bytes: Bytes of gossip messages received, without framing.
        messages: Number of messages sent.
        members: Smallest number of members that one of its nodes knows.
    """

    cpu_s: float
    memory_mb: float
    sent_bytes: int
    received_bytes: int
    messages: int
    members: int


class CountingExchange(exchange.Exchange):
    """Exchange that counts messages and their bytes."""

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
        """Counts and applies a message."""
        self.received_bytes += message.ByteSize()
        return super().process_message(message, now)


class _GhostAwareMembership(membership.Membership):
    """Membership that can list its members without the ghosts."""

    def real_members(self):
        """Returns the members that have a process and so can be contacted."""
        return [item for item in self.members() if not item.host.startswith(GHOST_PREFIX)]


class _GhostFreeChooser(peers.PeerChooser):
    def _choose(self, link):
        members, self._members = self._members, _RealMembers(self._members)
        try:
            return super()._choose(link)
        finally:
            self._members = members


@attrs.frozen
class _RealMembers:
    """View of a membership without ghosts, from which peers are chosen."""

    _membership: _GhostAwareMembership

    @property
    def own(self):
        return self._membership.own

    def members(self):
        return self._membership.real_members()

    def lost(self):
        return ()


def own_record(host: str, number: int, address: str) -> record.UpstreamRecord:
    """Returns the record of a host, with names and addresses of usual length."""
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
    """The control plane of one node.

    Attributes:
        arrivals: Wall-clock time in seconds at which a change first reached the node, by name
            of the change, such as "configuration 3".
        ghosts: Publisher of the ghosts of the process, or None.
    """

    def __init__(self, layout: Layout, index: int) -> None:
        number = layout.first_number + index
        own = own_record(f"node-{number:04d}", number, layout.addresses[index])
        self.members = _GhostAwareMembership(own, membership.MembershipTimings())
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
            _GhostFreeChooser(self.members, layout.seed_addresses, rng),
            self.exchange,
            (self.store, self.ring),
            self.channels,
            gossip.GossipTimings(interval_s=layout.interval_s),
            rng,
        )
        self.server = control.ControlServer(layout.addresses[index], SECRET, (self.gossip,))
        self.store.add_listener(
            lambda current: self._record_arrival(f"configuration {current.version}")
        )
        self.members.add_listener(self._record_drain)
        self._record_withdrawals()

    def start(self) -> None:
        """Starts the control server and the gossip tasks."""
        self.server.start()
        self.gossip.start()

    def _record_drain(self, found, change) -> None:
        if found.state is record.State.DRAINING:
            self._record_arrival(f"drain {found.host}")

    def _record_withdrawals(self) -> None:
        withdraw_all = self.ring.withdraw_all

        def record_and_withdraw(key_ids):
            for key_id in key_ids:
                self._record_arrival(f"withdrawn {key_id}")
            return withdraw_all(key_ids)

        self.ring.withdraw_all = record_and_withdraw

    def _record_arrival(self, change: str) -> None:
        self.arrivals.setdefault(change, time.time())


class _Ghosts:
    """Publishes records of ghosts, as if this node had just received them from the ghosts."""

    def __init__(self, members: membership.Membership, layout: Layout) -> None:
        self._members = members
        self._interval_s = layout.load_change_interval_s
        self._rng = random.Random(layout.first_number)
        self._records = [
            own_record(host, number, "10.100.100.100:8003")
            for number, host in enumerate(layout.ghosts)
        ]
        updates = [change_log.RecordUpdate(item, 1, False) for item in self._records]
        members.merge(updates, change_log.LOCAL_SESSION, time.monotonic())

    def run(self) -> None:
        """Changes the loads of random ghosts at the interval of the layout, without end."""
        due_changes = 0.0
        while self._records and self._interval_s:
            time.sleep(LOAD_CHANGE_STEP_S)
            due_changes += len(self._records) * LOAD_CHANGE_STEP_S / self._interval_s
            for _ in range(int(due_changes)):
                self._change(self._rng.randrange(len(self._records)))
            due_changes -= int(due_changes)

    def restart_all(self) -> None:
        """Replaces the records of all ghosts at once by those of a later incarnation."""
        self._records = [
            attrs.evolve(item, incarnation=item.incarnation + 1, version=1)
            for item in self._records
        ]
        updates = [change_log.RecordUpdate(item, 1, False) for item in self._records]
        self._members.merge(updates, change_log.LOCAL_SESSION, time.monotonic())

    def _change(self, number: int) -> None:
        old = self._records[number]
        new = attrs.evolve(old, version=old.version + 1, load=self._rng.randrange(5) / 4)
        self._records[number] = new
        load_change = change_log.BriefUpdate(
            new.host, new.incarnation, new.version, 1, new.load, False
        )
        self._members.merge([load_change], change_log.LOCAL_SESSION, time.monotonic())


def serve(pipe: multiprocessing.connection.Connection, layout: Layout) -> None:
    """Runs the nodes of one process and executes commands from the pipe until "end"."""
    nodes = [BenchNode(layout, index) for index in range(len(layout.addresses))]
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


def _arrivals(nodes: list[BenchNode], change: str) -> list[float | None]:
    return [node.arrivals.get(change) for node in nodes]


def _configure(nodes: list[BenchNode], version: int, source: str) -> float:
    started_at = time.time()
    nodes[0].store.apply_version(position.Position(0, version), source)
    return started_at


def _withdraw(nodes: list[BenchNode], key_id: str) -> float:
    started_at = time.time()
    nodes[0].ring.withdraw(key_id)
    return started_at


def _restart_ghosts(nodes: list[BenchNode]) -> None:
    nodes[0].ghosts.restart_all()


def _drain(nodes: list[BenchNode]) -> tuple[float, str]:
    own = nodes[-1].members.own
    started_at = time.time()
    nodes[-1].members.announce(
        own.service, record.State.DRAINING, own.slots, own.load, time.monotonic()
    )
    return started_at, own.host


_COMMANDS = {
    "usage": _usage,
    "arrivals": _arrivals,
    "configure": _configure,
    "withdraw": _withdraw,
    "drain": _drain,
    "restart ghosts": _restart_ghosts,
}


class Process:
    """Handle of the parent process on one process of the benchmark."""

    def __init__(self, layout: Layout) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, other = context.Pipe()
        self._process = context.Process(target=serve, args=(other, layout), daemon=True)
        self._process.start()

    def run_command(self, *command: object):
        """Sends a command to the process and returns its result.

        Raises:
            TimeoutError: The process did not answer within ANSWER_TIMEOUT_S.
        """
        self._pipe.send(command)
        if not self._pipe.poll(ANSWER_TIMEOUT_S):
            raise TimeoutError(
                f"a process of the benchmark did not answer the command '{command[0]}'"
            )
        return self._pipe.recv()

    def end(self) -> None:
        """Stops the process; kills it after 10 seconds."""
        self._pipe.send(("end",))
        self._process.join(10)
        if self._process.is_alive():
            self._process.kill()


def free_addresses(count: int) -> list[str]:
    """Returns `count` free loopback addresses, IP:PORT."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    finally:
        for item in sockets:
            item.close()
