"""Which peers a node gossips with: near ones first, but never only those."""

import random
import threading
from collections.abc import Sequence

import attrs

from bergamotridge.nodes import membership, record

FAILURES_TO_SUSPECT = 3
HEALTHY_S = 5.0
RETURN_TRIES_S = 16.0  # Over the whole fleet, while some host is lost.
LEAST_RETURN_S = 1.0


@attrs.frozen
class Peer:
    """A node to talk to; its host is "" if only the address is known."""

    address: str
    host: str = ""


class PeerChooser:
    """Chooses the peer of each link, and judges peers that do not answer.

    Link 0 stays in the own failure domain, link 1 in the own region but outside the failure
    domain, further links go anywhere. A scope without a free peer gives way to a wider one. One
    more link tries lost hosts and first addresses, so that two parts of the fleet that were cut
    off find each other again.
    """

    def __init__(
        self, members: membership.Membership, first: Sequence[str], rng: random.Random
    ) -> None:
        """Prepares the choice.

        Args:
            members: Membership of this node.
            first: Control addresses from the settings.
            rng: Source of the choices.
        """
        self._members = members
        self._first = list(first)
        self._rng = rng
        self._lock = threading.Lock()
        self._taken: dict[int, Peer] = {}
        self._answered_at: dict[str, float] = {}

    def add_first(self, addresses: Sequence[str]) -> None:
        """Adds addresses that were found in the platform."""
        with self._lock:
            self._first += [address for address in addresses if address not in self._first]

    def choose(self, link: int) -> Peer | None:
        """Returns a new peer for a link, None if there is nobody."""
        with self._lock:
            self._taken.pop(link, None)
            peer = self._choose(link)
            if peer is not None:
                self._taken[link] = peer
            return peer

    def choose_returning(self) -> Peer | None:
        """Returns a lost host or a first address to try, None if all are members."""
        with self._lock:
            live = {item.control_address for item in self._members.members()}
            return self._returning(live)

    def return_interval_s(self) -> float:
        """Returns the seconds between two tries to find a lost host.

        The larger the fleet, the less each node tries: the fleet as a whole tries at a fixed rate.
        """
        return max(LEAST_RETURN_S, len(self._members.members()) / RETURN_TRIES_S)

    def answered(self, peer: Peer, now: float) -> None:
        """Notes that a peer is heard."""
        with self._lock:
            self._answered_at[peer.address] = now

    def hears(self, now: float) -> bool:
        """Returns True if a peer was heard within the last few seconds."""
        with self._lock:
            return any(now - at <= HEALTHY_S for at in self._answered_at.values())

    def unanswered(self, peer: Peer, failures: int, now: float) -> bool:
        """Notes a failed message, the `failures`-th in a row; returns True to give the peer up.

        A node that talks to others too and hears from none may itself be cut off, and suspects
        nobody.
        """
        if failures < FAILURES_TO_SUSPECT:
            return False
        with self._lock:
            alone = all(item == peer for item in self._taken.values())
            heard = [at for address, at in self._answered_at.items() if address != peer.address]
        if peer.host and (alone or (heard and now - max(heard) <= HEALTHY_S)):
            self._members.suspect(peer.host, now)
        return True

    def _choose(self, link: int) -> Peer | None:
        own = self._members.own
        taken = {peer.address for peer in self._taken.values()} | {own.control_address}
        live = [item for item in self._members.members() if item.control_address not in taken]
        self._answered_at = {
            address: at for address, at in self._answered_at.items() if address in taken
        }
        for scope in _scopes(link, own, live):
            if scope:
                chosen = self._rng.choice(scope)
                return Peer(chosen.control_address, chosen.host)
        return self._returning(taken)

    def _returning(self, excluded: set[str]) -> Peer | None:
        found = [Peer(item.control_address, item.host) for item in self._members.lost()]
        found += [Peer(address) for address in self._first]
        found = [peer for peer in found if peer.address not in excluded]
        return self._rng.choice(found) if found else None


def _scopes(
    link: int, own: record.UpstreamRecord, live: Sequence[record.UpstreamRecord]
) -> list[list[record.UpstreamRecord]]:
    """Returns the choices of a link, the preferred ones first."""
    anywhere = list(live)
    region = [item for item in live if item.region == own.region]
    near = [item for item in region if item.failure_domain == own.failure_domain]
    outside = [item for item in region if item.failure_domain != own.failure_domain]
    if link == 0:
        return [near, region, anywhere]
    if link == 1:
        return [outside, region, anywhere]
    return [anywhere]
