"""One link of gossip: its present peer, and when to leave it for another."""

import random

from bergamotridge.nodes import exchange, gossip_pb2, peers


class Link:
    """Keeps a peer for a while, or until it fails; used by one task."""

    def __init__(
        self,
        number: int | None,
        chooser: peers.PeerChooser,
        news: exchange.Exchange,
        hold_s: float,
        rng: random.Random,
    ) -> None:
        """Starts without a peer.

        Args:
            number: Number of the link at this node, which gives its scope; None for the link that
                tries lost hosts.
            chooser: Choice of peers.
            news: Builds and takes in messages.
            hold_s: Mean seconds that a peer is kept.
            rng: Source of jitter.
        """
        self._number = number
        self._chooser = chooser
        self._exchange = news
        self._hold_s = hold_s
        self._rng = rng
        self._peer: peers.Peer | None = None
        self._until = 0.0
        self._session = 0
        self._failures = 0

    @property
    def answers(self) -> bool:
        """True if the present peer answered the last message."""
        return self._peer is not None and self._session != 0 and self._failures == 0

    def peer(self, now: float) -> peers.Peer | None:
        """Returns the peer to talk to now, a new one if the last one's time is over."""
        if self._peer is None or now >= self._until:
            self._peer = self._choose()
            self._until = now + self._rng.uniform(0.5, 1.5) * self._hold_s
            self._failures = 0
            self._session = self._exchange.session_of(self._peer.host) if self._peer else 0
        return self._peer

    def message(self, now_ms: int) -> gossip_pb2.GossipMessage:
        """Returns the next message for the peer; `now_ms` is wall-clock time."""
        return self._exchange.build(self._session, now_ms)

    def answered(self, reply: gossip_pb2.GossipMessage, now: float) -> exchange.Received:
        """Takes in the peer's answer; `more` is also true at first contact."""
        received = self._exchange.receive(reply, now)
        self._chooser.answered(self._peer, now)
        first_contact = self._session != received.session
        self._session, self._failures = received.session, 0
        return exchange.Received(received.session, received.behind, received.more or first_contact)

    def unanswered(self, now: float) -> None:
        """Notes that no answer came; after a few of them the peer is given up."""
        self._failures += 1
        given_up = self._chooser.unanswered(self._peer, self._failures, now)
        if given_up or self._number is None:
            self._peer = None

    def _choose(self) -> peers.Peer | None:
        if self._number is None:
            return self._chooser.choose_returning()
        return self._chooser.choose(self._number)
