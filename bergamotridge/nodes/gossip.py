"""Gossip between nodes: the gRPC service and the tasks that talk to a few peers."""

import queue
import random
import threading
import time
from collections.abc import Sequence
from concurrent import futures

import attrs
import grpc
import logbook
import orjson

from bergamotridge.nodes import (
    control,
    exchange,
    gossip_pb2,
    gossip_pb2_grpc,
    link,
    membership,
    peers,
    record,
)
from bergamotridge.store import client, replica

_log = logbook.Logger(__name__)

TICK_S = 0.1
RETURN_HOLD_S = 5.0
FETCH_TIMEOUT_S = 3.0
URGENT_STATES = (record.State.DRAINING, record.State.LOST)


@attrs.frozen
class GossipTimings:
    """Pace of gossip.

    Attributes:
        interval_s: Mean seconds between two messages on a link.
        gap_s: Least seconds between two messages on a link when there is urgent news.
        hold_s: Mean seconds that a link keeps its peer.
        timeout_s: Time limit of one message in seconds.
        links: Peers that this node talks to at once.
    """

    interval_s: float = 1.0
    gap_s: float = 0.2
    hold_s: float = 60.0
    timeout_s: float = 1.0
    links: int = 3


@attrs.frozen
class _Fetch:
    address: str
    behind: exchange.Behind


class Gossip:
    """Spreads news between `start` and `stop`, and is a service of the control port."""

    def __init__(
        self,
        members: membership.Membership,
        chooser: peers.PeerChooser,
        news: exchange.Exchange,
        replicas: Sequence[replica.Replica],
        channels: control.ChannelPool,
        timings: GossipTimings,
        rng: random.Random,
    ) -> None:
        """Prepares the tasks.

        Args:
            members: Membership whose time-driven decisions are made here.
            chooser: Choice of peers.
            news: Builds and takes in messages.
            replicas: Replicas that are fetched from peers which are ahead.
            channels: Channels to peers.
            timings: Pace of gossip.
            rng: Source of jitter.
        """
        self._members = members
        self._chooser = chooser
        self._exchange = news
        self._replicas = {copy.kind: copy for copy in replicas}
        self._channels = channels
        self._timings = timings
        self._rng = rng
        self._urgent = threading.Condition()
        self._round = 0
        self._stopping = False
        self._fetches: queue.SimpleQueue[_Fetch] = queue.SimpleQueue()
        self._executor = futures.ThreadPoolExecutor(timings.links + 3, "gossip")
        members.listen(self._on_change)

    def register(self, server: grpc.Server) -> None:
        """Adds the service to a server."""
        gossip_pb2_grpc.add_GossipServicer_to_server(_Servicer(self), server)

    def start(self) -> None:
        """Starts a task for each link, and one each for lost hosts, fetches and time."""
        for number in range(self._timings.links):
            self._executor.submit(self._guard, self._run_link, number)
        self._executor.submit(self._guard, self._run_return)
        self._executor.submit(self._guard, self._run_fetches)
        self._executor.submit(self._guard, self._run_clock)

    def stop(self) -> None:
        """Ends the tasks; returns when the last has ended."""
        with self._urgent:
            self._stopping = True
            self._urgent.notify_all()
        self._executor.shutdown(wait=True)

    def nudge(self) -> None:
        """Starts a round on all links at once, because there is urgent news."""
        with self._urgent:
            self._round += 1
            self._urgent.notify_all()

    def answer(self, message: gossip_pb2.GossipMessage) -> gossip_pb2.GossipMessage:
        """Takes in the message of a peer and returns the one for it."""
        now = time.monotonic()
        received = self._exchange.receive(message, now)
        self._chooser.answered(peers.Peer(message.control_address, message.host), now)
        self._ask_for(message.control_address, received.behind)
        return self._exchange.build(received.session, _wall_ms())

    def newer(self, kind: str, since: int) -> client.Listing | None:
        """Returns a replica's objects above a version, None for an unknown kind."""
        copy = self._replicas.get(kind)
        return None if copy is None else copy.newer(since)

    def _on_change(self, found: record.UpstreamRecord, change: membership.Change) -> None:
        if change is membership.Change.CHANGED and found.state in URGENT_STATES:
            self.nudge()

    def _guard(self, task, *arguments: object) -> None:
        while not self._stopping:
            try:
                task(*arguments)
            except Exception:
                _log.exception("a task of gossip failed and starts again")
                time.sleep(self._timings.interval_s)

    def _run_link(self, number: int) -> None:
        """Talks to one peer after another."""
        talk = link.Link(number, self._chooser, self._exchange, self._timings.hold_s, self._rng)
        while not self._stopping:
            seen = self._round
            if not self._talk(talk):
                self._pause(seen, self._timings.interval_s)

    def _run_return(self) -> None:
        """Tries lost hosts and first addresses, and talks for a while to one that answers."""
        talk = link.Link(None, self._chooser, self._exchange, RETURN_HOLD_S, self._rng)
        while not self._stopping:
            seen = self._round
            if not self._talk(talk):
                if talk.answers:
                    self._pause(seen, self._timings.interval_s)
                else:
                    self._pause(None, self._chooser.return_interval_s())

    def _talk(self, talk: link.Link) -> bool:
        """Exchanges one pair of messages; returns True if the next should follow at once."""
        peer = talk.peer(time.monotonic())
        if peer is None:
            return False
        reply = self._send(peer, talk.message(_wall_ms()))
        if reply is None:
            talk.unanswered(time.monotonic())
            return False
        received = talk.answered(reply, time.monotonic())
        self._ask_for(peer.address, received.behind)
        return received.more

    def _send(
        self, peer: peers.Peer, message: gossip_pb2.GossipMessage
    ) -> gossip_pb2.GossipMessage | None:
        stub = gossip_pb2_grpc.GossipStub(self._channels.channel(peer.address))
        try:
            return stub.Exchange(message, timeout=self._timings.timeout_s)
        except grpc.RpcError as error:
            _log.debug("no answer from {}: {}", peer.address, error)
            return None

    def _pause(self, seen: int | None, mean_s: float) -> None:
        """Waits until the next message is due, at once for news since round `seen` if given."""
        wait_s = self._rng.uniform(0.5, 1.5) * mean_s
        with self._urgent:
            self._urgent.wait_for(lambda: self._stopping, self._timings.gap_s)
            self._urgent.wait_for(
                lambda: self._stopping or seen not in (None, self._round),
                wait_s - self._timings.gap_s,
            )

    def _ask_for(self, address: str, behind: Sequence[exchange.Behind]) -> None:
        for item in behind:
            self._fetches.put(_Fetch(address, item))

    def _run_clock(self) -> None:
        """Lets time pass for the membership, and notices news that came from elsewhere."""
        versions = self._versions()
        while not self._stopping:
            time.sleep(TICK_S)
            self._members.tick(time.monotonic())
            current = self._versions()
            if current != versions:
                versions = current
                self.nudge()

    def _versions(self) -> tuple[object, ...]:
        own = tuple(copy.version for copy in self._replicas.values())
        return (*own, self._exchange.withdrawn)

    def _run_fetches(self) -> None:
        """Fetches what peers have and this node lacks; what fails is asked for again later."""
        while not self._stopping:
            try:
                self._fetch(self._fetches.get(timeout=self._timings.interval_s))
            except queue.Empty:
                continue
            except grpc.RpcError as error:
                _log.debug("fetch from a peer failed: {}", error)

    def _fetch(self, wanted: _Fetch) -> None:
        """Brings a replica up to a peer's version, page by page."""
        kind = wanted.behind.kind
        copy = self._replicas[kind]
        stub = gossip_pb2_grpc.GossipStub(self._channels.channel(wanted.address))
        before = -1
        while not self._stopping and before < copy.version < wanted.behind.version:
            before = copy.version
            request = gossip_pb2.FetchRequest(kind=kind, since=before)
            response = stub.Fetch(request, timeout=FETCH_TIMEOUT_S)
            copy.take(_decode(kind, response))


class _Servicer(gossip_pb2_grpc.GossipServicer):
    """The service as grpc wants it."""

    def __init__(self, gossip: Gossip) -> None:
        self._gossip = gossip

    def Exchange(  # noqa: N802
        self, request: gossip_pb2.GossipMessage, context: grpc.ServicerContext
    ) -> gossip_pb2.GossipMessage:
        return self._gossip.answer(request)

    def Fetch(  # noqa: N802
        self, request: gossip_pb2.FetchRequest, context: grpc.ServicerContext
    ) -> gossip_pb2.FetchResponse:
        listing = self._gossip.newer(request.kind, request.since)
        if listing is None:
            context.abort(grpc.StatusCode.NOT_FOUND, f"no replica of {request.kind}")
        return _encode(listing)


def _encode(listing: client.Listing) -> gossip_pb2.FetchResponse:
    response = gossip_pb2.FetchResponse(version=listing.version)
    for item in listing.items:
        value = b"" if item.value is None else orjson.dumps(item.value)
        response.objects.add(name=item.name, version=item.version, value=value)
    return response


def _decode(kind: str, response: gossip_pb2.FetchResponse) -> client.Listing:
    items = tuple(
        client.StoredObject(
            kind, item.name, item.version, orjson.loads(item.value) if item.value else None
        )
        for item in response.objects
    )
    return client.Listing(items, response.version)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
