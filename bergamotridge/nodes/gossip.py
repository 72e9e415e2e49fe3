"""Gossip between nodes: the gRPC service and the tasks that exchange messages with a few peers."""

import queue
import random
import threading
import time
from collections.abc import Sequence
from concurrent import futures

import attrs
import grpc
import logbook

from bergamotridge import malformed
from bergamotridge.nodes import (
    control,
    exchange,
    gossip_pb2,
    gossip_pb2_grpc,
    link,
    listing_message,
    membership,
    peers,
    record,
    replica_version,
    restoration_news,
    tick_pauses,
    traffic,
)
from bergamotridge.store import client, replica, restorations
from bergamotridge.util import clock

_log = logbook.Logger(__name__)

TICK_S = 0.25
RECONNECT_HOLD_S = 5.0
FETCH_TIMEOUT_S = 3.0
URGENT_STATES = (record.State.DRAINING, record.State.LOST)


@attrs.frozen
class GossipTimings:
    """Intervals and time limits of gossip.

    Attributes:
        interval_s: Mean seconds between two messages on a link.
        gap_s: Minimum seconds between two messages on a link when an update is urgent.
        hold_s: Mean seconds for which a link keeps its peer.
        timeout_s: Seconds to wait for the answer to one message.
        links: Number of peers with which this node exchanges messages concurrently.
    """

    interval_s: float = 1.0
    gap_s: float = 0.2
    hold_s: float = 60.0
    timeout_s: float = 1.0
    links: int = 3


@attrs.frozen
class _Fetch:
    """Request to bring a local replica up to the version of the peer at `address`."""

    address: str
    stale_replica: exchange.StaleReplica


class Gossip:
    """Exchanges updates with peers from `start` to `stop`, and is a service of the control port."""

    def __init__(
        self,
        members: membership.Membership,
        chooser: peers.PeerChooser,
        gossip_exchange: exchange.Exchange,
        replicas: Sequence[replica.Replica],
        channels: control.ChannelPool,
        timings: GossipTimings,
        rng: random.Random,
        count_bytes: traffic.CountBytes = traffic.ignore_bytes,
        on_malformed: malformed.OnMalformed = malformed.ignore,
        known_restorations: restorations.Restorations | None = None,
    ) -> None:
        """Creates the tasks without starting them.

        Args:
            members: Membership whose timeouts are applied by one of the tasks.
            chooser: Chooses the peers.
            gossip_exchange: Builds and processes messages.
            replicas: Replicas that are fetched from peers with a higher version.
            channels: Channels to peers.
            timings: Intervals and time limits.
            rng: Source of jitter.
            count_bytes: Counts the bytes of the messages.
            on_malformed: Called with a report of each fetched object that cannot be read.
            known_restorations: Restorations of the platform's store to tell the peers of, and to
                learn from them; a new record if None.
        """
        self._on_malformed = on_malformed
        self._restorations = known_restorations or restorations.Restorations()
        self._members = members
        self._chooser = chooser
        self._count_bytes = count_bytes
        self._exchange = gossip_exchange
        self._replicas = {local_replica.kind: local_replica for local_replica in replicas}
        self._channels = channels
        self._timings = timings
        self._rng = rng
        self._wake_up = threading.Condition()
        self._urgent_rounds = 0
        self._stopping = False
        self._fetches: queue.SimpleQueue[_Fetch] = queue.SimpleQueue()
        self._executor = futures.ThreadPoolExecutor(timings.links + 3, "gossip")
        members.add_listener(self._on_change)

    def register(self, server: grpc.Server) -> None:
        """Adds the service to a server."""
        gossip_pb2_grpc.add_GossipServicer_to_server(_Servicer(self), server)

    def start(self) -> None:
        """Starts a task for each link, and one each for reconnection, fetches and timeouts."""
        for number in range(self._timings.links):
            self._executor.submit(self._run_with_restart, self._run_link, number)
        self._executor.submit(self._run_with_restart, self._run_reconnect)
        self._executor.submit(self._run_with_restart, self._run_fetches)
        self._executor.submit(self._run_with_restart, self._run_ticks)

    def stop(self, *, wait: bool = True) -> None:
        """Stops the tasks.

        Args:
            wait: Whether to return only when all of them have ended. A task may wait for the answer
                of another node, for `FETCH_TIMEOUT_S` at most.
        """
        with self._wake_up:
            self._stopping = True
            self._wake_up.notify_all()
        self._executor.shutdown(wait=wait)

    def start_urgent_round(self) -> None:
        """Makes all links send a message before their interval is over, for an urgent update."""
        with self._wake_up:
            self._urgent_rounds += 1
            self._wake_up.notify_all()

    def fetch(
        self, peer: record.UpstreamRecord, kind: str, version: replica.ReplicaVersion
    ) -> None:
        """Fetches a replica from a peer that has a higher version than this node, soon."""
        self._fetches.put(_Fetch(peer.control_address, exchange.StaleReplica(kind, version)))

    def tell_withdrawn(self, peer: record.UpstreamRecord, key_id: str) -> bool:
        """Sends a message with the id of a withdrawn key to a peer, outside the intervals.

        Returns:
            True if the process on the peer's host has answered, and so refuses the key.
        """
        message = self._exchange.build_withdrawal(peer.host, key_id, _wall_clock_ms())
        reply = self._send(peers.Peer(peer.control_address, peer.host), message)
        if reply is None:
            return False
        received = self._exchange.process_message(reply, time.monotonic())
        self._enqueue_fetches(peer.control_address, received.stale_replicas)
        return reply.host == peer.host

    def answer(self, message: gossip_pb2.GossipMessage) -> gossip_pb2.GossipMessage:
        """Processes a message from a peer and returns the answer."""
        now = time.monotonic()
        restoration_news.read(message, self._restorations, clock.boot_time())
        received = self._exchange.process_message(message, now)
        self._chooser.record_answer(peers.Peer(message.control_address, message.host), now)
        self._enqueue_fetches(message.control_address, received.stale_replicas)
        reply = self._exchange.build_message(received.session, _wall_clock_ms())
        restoration_news.write(reply, self._restorations, clock.boot_time())
        self._count_bytes("gossip", reply.ByteSize(), message.ByteSize())
        return reply

    def listing_since(self, kind: str, since: replica.ReplicaVersion) -> client.Listing | None:
        """Returns what a replica with the version `since` lacks, None for an unknown kind."""
        local_replica = self._replicas.get(kind)
        return None if local_replica is None else local_replica.listing_since(since)

    def _on_change(self, changed_record: record.UpstreamRecord, change: membership.Change) -> None:
        if change is membership.Change.CHANGED and changed_record.state in URGENT_STATES:
            self.start_urgent_round()

    def _run_with_restart(self, task, *arguments: object) -> None:
        while not self._stopping:
            try:
                task(*arguments)
            except Exception as error:
                if self._stopping:
                    _log.debug("a gossip task ended in the stop of the node: {}", error)
                    return
                _log.exception("a gossip task failed and is restarted")
                time.sleep(self._timings.interval_s)

    def _run_link(self, number: int) -> None:
        """Exchanges messages with one peer after another."""
        peer_link = link.GossipLink(
            number, self._chooser, self._exchange, self._timings.hold_s, self._rng
        )
        while not self._stopping:
            seen_round = self._urgent_rounds
            if not self._exchange_messages(peer_link):
                self._wait_for_next_message(seen_round, self._timings.interval_s)

    def _run_reconnect(self) -> None:
        """Tries lost hosts and seed addresses, and exchanges messages with one that answers.

        The peer is kept for `RECONNECT_HOLD_S` on average.
        """
        peer_link = link.GossipLink(
            None, self._chooser, self._exchange, RECONNECT_HOLD_S, self._rng
        )
        while not self._stopping:
            seen_round = self._urgent_rounds
            if not self._exchange_messages(peer_link):
                if peer_link.is_answering:
                    self._wait_for_next_message(seen_round, self._timings.interval_s)
                else:
                    self._wait_for_next_message(None, self._chooser.reconnect_interval_s())

    def _exchange_messages(self, peer_link: link.GossipLink) -> bool:
        """Sends one message and processes the answer.

        Returns:
            True if the next message should follow without a pause.
        """
        peer = peer_link.current_peer(time.monotonic())
        if peer is None:
            return False
        reply = self._send(peer, peer_link.build_message(_wall_clock_ms()))
        if reply is None:
            peer_link.record_failure(time.monotonic())
            return False
        received = peer_link.process_answer(reply, time.monotonic())
        self._enqueue_fetches(peer.address, received.stale_replicas)
        return received.more

    def _send(
        self, peer: peers.Peer, message: gossip_pb2.GossipMessage
    ) -> gossip_pb2.GossipMessage | None:
        stub = gossip_pb2_grpc.GossipStub(self._channels.channel(peer.address))
        restoration_news.write(message, self._restorations, clock.boot_time())
        try:
            reply = stub.Exchange(message, timeout=self._timings.timeout_s)
        except grpc.RpcError as error:
            _log.debug("peer {} did not answer a gossip message: {}", peer.address, error)
            return None
        self._count_bytes("gossip", message.ByteSize(), reply.ByteSize())
        restoration_news.read(reply, self._restorations, clock.boot_time())
        return reply

    def _wait_for_next_message(self, seen_round: int | None, mean_s: float) -> None:
        """Waits until the next message is due.

        Args:
            seen_round: Number of urgent rounds before the last message; a higher number ends the
                wait after the minimum gap. None if urgent updates do not end it.
            mean_s: Mean seconds to wait; the actual time has a jitter of half of it.
        """
        wait_s = self._rng.uniform(0.5, 1.5) * mean_s
        with self._wake_up:
            self._wake_up.wait_for(lambda: self._stopping, self._timings.gap_s)
            self._wake_up.wait_for(
                lambda: self._stopping or seen_round not in (None, self._urgent_rounds),
                wait_s - self._timings.gap_s,
            )

    def _enqueue_fetches(
        self, address: str, stale_replicas: Sequence[exchange.StaleReplica]
    ) -> None:
        for item in stale_replicas:
            self._fetches.put(_Fetch(address, item))

    def _run_ticks(self) -> None:
        """Applies membership timeouts, and starts an urgent round when a replica has changed.

        Replicas and withdrawn keys also change through other tasks, which do not notify this one.
        """
        versions = self._versions()
        pauses = tick_pauses.TickPauses(TICK_S, time.monotonic())
        while not self._stopping:
            time.sleep(TICK_S)
            now = time.monotonic()
            if pauses.is_due(now):
                self._members.tick(now)
            current = self._versions()
            if current != versions:
                versions = current
                self.start_urgent_round()

    def _versions(self) -> tuple[object, ...]:
        replica_versions = tuple(local_replica.version for local_replica in self._replicas.values())
        return (*replica_versions, self._exchange.withdrawn)

    def _run_fetches(self) -> None:
        """Fetches objects that peers have and this node lacks.

        A failed fetch is not retried here: the next message of a peer with a higher version
        requests it again.
        """
        while not self._stopping:
            try:
                self._fetch(self._fetches.get(timeout=self._timings.interval_s))
            except queue.Empty:
                continue
            except grpc.RpcError as error:
                _log.debug("fetch of a replica from a peer failed: {}", error)

    def _fetch(self, fetch: _Fetch) -> None:
        """Fetches pages from a peer until its version is reached or a page brings nothing new."""
        kind = fetch.stale_replica.kind
        local_replica = self._replicas[kind]
        stub = gossip_pb2_grpc.GossipStub(self._channels.channel(fetch.address))
        previous_version: replica.ReplicaVersion | None = None
        while (
            not self._stopping
            and previous_version != local_replica.version
            and local_replica.version < fetch.stale_replica.version
        ):
            previous_version = local_replica.version
            request = gossip_pb2.FetchRequest(kind=kind)
            replica_version.write(request, previous_version)
            response = stub.Fetch(request, timeout=FETCH_TIMEOUT_S)
            self._count_bytes("fetch", request.ByteSize(), response.ByteSize())
            listing = listing_message.decode(kind, response)
            for entry in listing.reports:
                self._on_malformed(entry)
            local_replica.apply_listing(listing)


class _Servicer(gossip_pb2_grpc.GossipServicer):
    """Adapter between the generated gRPC service and `Gossip`."""

    def __init__(self, gossip: Gossip) -> None:
        self._gossip = gossip

    def Exchange(  # noqa: N802
        self, request: gossip_pb2.GossipMessage, context: grpc.ServicerContext
    ) -> gossip_pb2.GossipMessage:
        return self._gossip.answer(request)

    def Fetch(  # noqa: N802
        self, request: gossip_pb2.FetchRequest, context: grpc.ServicerContext
    ) -> gossip_pb2.FetchResponse:
        listing = self._gossip.listing_since(request.kind, replica_version.read(request))
        if listing is None:
            context.abort(
                grpc.StatusCode.NOT_FOUND,
                f"this node has no replica of kind '{request.kind}'; "
                "fetch only kinds that its gossip messages list",
            )
        return listing_message.encode(listing)


def _wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000
