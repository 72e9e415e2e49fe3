"""Choice of the peers that a node gossips with: nearby ones first, but never only those."""

import random
import threading
from collections.abc import Sequence

import attrs

from bergamotridge.nodes import membership, record

FAILURES_TO_SUSPECT = 3
RECENT_ANSWER_S = 5.0
RECONNECT_ATTEMPTS_PER_S = 16.0  # Over the whole fleet, while some host is lost.
MIN_RECONNECT_INTERVAL_S = 1.0


@attrs.frozen
class Peer:
    """Another node, as a link reaches it.

    Attributes:
        address: Address of its control port.
        host: Its host, "" if only the address is known.
        is_kept: Whether a link keeps it while it answers; else one exchange with it is enough.
    """

    address: str
    host: str = ""
    is_kept: bool = True


class PeerChooser:
    """Chooses the peer of each link, and marks hosts that do not answer as suspected.

    A link is a regular exchange of gossip messages with one peer at a time.

    Link 0 prefers peers in this node's failure domain, link 1 peers in its region but outside its
    failure domain; further links use any peer. If the preferred set has no free peer, a wider one
    is used. One more link tries lost hosts and seed addresses, so that two parts of the fleet
    merge again after a network partition. It also tries hosts that are suspected or whose node has
    stopped, or that a call has not reached: the next process there knows of no other node while the
    platform is silent.
    """

    def __init__(
        self, members: membership.Membership, seed_addresses: Sequence[str], rng: random.Random
    ) -> None:
        """Starts with no peer chosen.

        Args:
            members: Membership of this node.
            seed_addresses: Control addresses of a few nodes, from the setting `peers.first`.
            rng: Source of randomness for the choices.
        """
        self._members = members
        self._seed_addresses = list(seed_addresses)
        self._rng = rng
        self._lock = threading.Lock()
        self._peer_of_link: dict[int, Peer] = {}
        self._answered_at: dict[str, float] = {}
        self._unreached: set[str] = set()

    def add_seed_addresses(self, addresses: Sequence[str]) -> None:
        """Adds seed addresses that were read from the platform."""
        with self._lock:
            self._seed_addresses += [
                address for address in addresses if address not in self._seed_addresses
            ]

    def choose(self, link: int) -> Peer | None:
        """Returns a new peer for a link, None if there is none."""
        with self._lock:
            self._peer_of_link.pop(link, None)
            peer = self._choose(link)
            if peer is not None:
                self._peer_of_link[link] = peer
            return peer

    def choose_reconnect_peer(self) -> Peer | None:
        """Returns a host that is out of touch or a seed address to try, None if there is none."""
        with self._lock:
            live = {item.control_address for item in self._members.members()}
            # A node that stops still answers, and must not keep the link from the next host.
            tried = [
                Peer(item.control_address, item.host, is_kept=False)
                for item in (*self._members.out_of_touch(), *self._unreached_members())
            ]
            lost = self._random_reconnect_peer(live)
            # Many upstreams that are lost beside live nodes must not keep lost hosts from a try.
            choices = [peer for peer in (lost, self._rng.choice(tried) if tried else None) if peer]
            return self._rng.choice(choices) if choices else None

    def record_unreached(self, host: str) -> None:
        """Records that a call got no answer of a host's node, which is tried until it answers.

        No link may have that host as its peer, so that none would find it out of touch.
        """
        with self._lock:
            self._unreached.add(host)

    def _unreached_members(self) -> list[record.UpstreamRecord]:
        members = [item for item in self._members.members() if item.host in self._unreached]
        self._unreached &= {item.host for item in members}
        return members

    def reconnect_interval_s(self) -> float:
        """Returns the seconds between two attempts of this node to reach a lost host.

        The interval grows with the fleet, so that the fleet as a whole makes attempts at a fixed
        rate.
        """
        return max(
            MIN_RECONNECT_INTERVAL_S, len(self._members.members()) / RECONNECT_ATTEMPTS_PER_S
        )

    def record_answer(self, peer: Peer, now: float) -> None:
        """Records that a peer answered or sent a message."""
        with self._lock:
            self._answered_at[peer.address] = now
            self._unreached.discard(peer.host)

    def has_recent_answer(self, now: float) -> bool:
        """Returns True if any peer answered or sent a message in the last `RECENT_ANSWER_S`."""
        with self._lock:
            return any(now - at <= RECENT_ANSWER_S for at in self._answered_at.values())

    def record_failure(self, peer: Peer, failures: int, now: float) -> bool:
        """Records a message without an answer, and suspects the peer after too many in a row.

        A node that has other peers and gets no answer from any of them may itself be cut off from
        the network, so it suspects no host.

        Args:
            peer: Peer that did not answer.
            failures: Consecutive failures of this peer, this one included.
            now: Monotonic time in seconds.

        Returns:
            True if the link should give the peer up.
        """
        if failures < FAILURES_TO_SUSPECT:
            return False
        with self._lock:
            is_only_peer = all(item == peer for item in self._peer_of_link.values())
            other_answers_at = [
                at for address, at in self._answered_at.items() if address != peer.address
            ]
        if peer.host and (
            is_only_peer or (other_answers_at and now - max(other_answers_at) <= RECENT_ANSWER_S)
        ):
            self._members.suspect(peer.host, now)
        return True

    def _choose(self, link: int) -> Peer | None:
        own = self._members.own
        addresses_in_use = {peer.address for peer in self._peer_of_link.values()} | {
            own.control_address
        }
        live = [
            item for item in self._members.members() if item.control_address not in addresses_in_use
        ]
        self._answered_at = {
            address: at for address, at in self._answered_at.items() if address in addresses_in_use
        }
        for candidates in _candidates_by_preference(link, own, live):
            if candidates:
                chosen = self._rng.choice(candidates)
                return Peer(chosen.control_address, chosen.host)
        return self._random_reconnect_peer(addresses_in_use)

    def _random_reconnect_peer(self, excluded: set[str]) -> Peer | None:
        candidates = [Peer(item.control_address, item.host) for item in self._members.lost()]
        candidates += [Peer(address) for address in self._seed_addresses]
        candidates = [peer for peer in candidates if peer.address not in excluded]
        return self._rng.choice(candidates) if candidates else None


def _candidates_by_preference(
    link: int, own: record.UpstreamRecord, live: Sequence[record.UpstreamRecord]
) -> list[list[record.UpstreamRecord]]:
    """Returns sets of candidates for a link, the preferred set first."""
    anywhere = list(live)
    same_region = [item for item in live if item.region == own.region]
    same_domain = [item for item in same_region if item.failure_domain == own.failure_domain]
    other_domains = [item for item in same_region if item.failure_domain != own.failure_domain]
    if link == 0:
        return [same_domain, same_region, anywhere]
    if link == 1:
        return [other_domains, same_region, anywhere]
    return [anywhere]
