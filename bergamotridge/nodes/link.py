"""One gossip link: its current peer, and when to replace that peer by another."""

import random

from bergamotridge.nodes import exchange, gossip_pb2, peers


class GossipLink:
    """Keeps a peer for a limited time or until it fails; not safe to use from several threads."""

    def __init__(
        self,
        number: int | None,
        chooser: peers.PeerChooser,
        gossip_exchange: exchange.Exchange,
        mean_hold_s: float,
        rng: random.Random,
    ) -> None:
        """Starts without a peer.

        Args:
            number: Number of the link at this node, which determines the preferred peers (see
                `PeerChooser`); None for the link that tries lost hosts and seed addresses.
            chooser: Chooses the peers.
            gossip_exchange: Builds and processes messages.
            mean_hold_s: Mean seconds for which a peer is kept.
            rng: Source of jitter.
        """
        self._number = number
        self._chooser = chooser
        self._exchange = gossip_exchange
        self._mean_hold_s = mean_hold_s
        self._rng = rng
        self._peer: peers.Peer | None = None
        self._keep_until = 0.0
        self._session = 0
        self._failures = 0

    @property
    def is_answering(self) -> bool:
        """True if the current peer answered the last message."""
        return self._peer is not None and self._session != 0 and self._failures == 0

    def current_peer(self, now: float) -> peers.Peer | None:
        """Returns the peer for the next message, a new one if there is none or its time is over."""
        if self._peer is None or now >= self._keep_until:
            self._peer = self._choose()
            self._keep_until = now + self._rng.uniform(0.5, 1.5) * self._mean_hold_s
            self._failures = 0
            self._session = self._exchange.session_of(self._peer.host) if self._peer else 0
        return self._peer

    def build_message(self, now_ms: int) -> gossip_pb2.GossipMessage:
        """Returns the next message for the peer; `now_ms` is wall-clock time."""
        return self._exchange.build_message(self._session, now_ms)

    def process_answer(self, reply: gossip_pb2.GossipMessage, now: float) -> exchange.ReceiveResult:
        """Processes the peer's answer; `more` of the result is also true at first contact.

        The answer of another host, which has taken over the peer's address, counts as none.
        """
        received = self._exchange.process_message(reply, now)
        first_contact = self._session != received.session
        self._session = received.session
        if self._peer.host not in ("", reply.host):
            self.record_failure(now)
            return received
        self._chooser.record_answer(self._peer, now)
        self._failures = 0
        more = received.more or first_contact
        if not more and not self._peer.is_kept:
            self._peer = None
        return exchange.ReceiveResult(received.session, received.stale_replicas, more)

    def record_failure(self, now: float) -> None:
        """Counts a message without an answer; after a few in a row the peer is given up.

        The link that tries lost hosts and seed addresses gives up at the first one.
        """
        self._failures += 1
        given_up = self._chooser.record_failure(self._peer, self._failures, now)
        if given_up or self._number is None:
            self._peer = None

    def _choose(self) -> peers.Peer | None:
        if self._number is None:
            return self._chooser.choose_reconnect_peer()
        return self._chooser.choose(self._number)
