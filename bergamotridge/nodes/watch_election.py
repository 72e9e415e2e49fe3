"""Election of the few nodes that read the platform on behalf of the others."""

import functools
from collections.abc import Sequence

import xxhash

from bergamotridge.nodes import membership, peers, record

# Age of a replica at which a node reads the platform itself, as a fraction of the longest age that
# is allowed. The leader does not wait for an age but always watches. The first standby nodes act
# before the nodes that rely on them have to.
STANDBY_AGE_FRACTIONS = (0.55, 0.65)
HEAD_AGE_FRACTION = 0.75
DEPUTY_AGE_FRACTION = 0.9
HASH_CACHE_ENTRIES = 4096


class WatchElection:
    """Determines how much this node relies on others to read the platform.

    The live members of a failure domain are ranked by a hash of the host, and the lowest rank is
    the head of the domain. The head with the lowest hash of all is the leader, which watches the
    platform. The other heads ask the leader how current it is, and all other nodes ask their head.
    A node whose replica is too old nevertheless reads the platform itself, so the election decides
    about cost only. While nodes differ in their view of the membership, a few nodes more read.
    """

    def __init__(
        self, members: membership.Membership, chooser: peers.PeerChooser, nodes_per_domain: int
    ) -> None:
        """Stores what the choice depends on.

        Args:
            members: Membership of this node.
            chooser: Records which peers answered lately.
            nodes_per_domain: Number of elected nodes in each failure domain.
        """
        self._members = members
        self._chooser = chooser
        self._nodes_per_domain = nodes_per_domain

    @property
    def nodes_per_domain(self) -> int:
        """Number of elected nodes in each failure domain."""
        return self._nodes_per_domain

    def place(self) -> int | None:
        """Returns this node's rank, from 0, among those elected, None if it is not elected."""
        own = self._members.own
        own_rank = _position(own.host, self._ranked_by_domain()[own.failure_domain])
        return own_rank if own_rank < self._nodes_per_domain else None

    def is_elected(self, now: float) -> bool:
        """Returns True if this node is one of a few in its domain that write for the others.

        A node to which no peer has answered lately counts as elected, too.
        """
        return self.place() is not None or not self._chooser.has_recent_answer(now)

    def read_age_fraction(self) -> float:
        """Returns the age at which this node reads the platform itself.

        The age is given as a fraction of the longest allowed age: 0.0 for the leader, 1.0 for a
        node that relies on its head.
        """
        own, ranked = self._members.own, self._ranked_by_domain()
        own_rank = _position(own.host, ranked[own.failure_domain])
        if own_rank == 0:
            place = _position(own.host, _heads(ranked))
            if place == 0:
                return 0.0
            standby = STANDBY_AGE_FRACTIONS[place - 1 : place]
            return standby[0] if standby else HEAD_AGE_FRACTION
        return DEPUTY_AGE_FRACTION if own_rank == 1 else 1.0

    def sources(self) -> Sequence[record.UpstreamRecord]:
        """Returns the nodes to ask how current their replicas are, the preferred one first."""
        own, ranked = self._members.own, self._ranked_by_domain()
        heads = _heads(ranked)[: 1 + len(STANDBY_AGE_FRACTIONS)]
        nearby = ranked[own.failure_domain]
        preferred = heads if nearby[0].host == own.host else [*nearby[:2], *heads]
        by_host = {item.host: item for item in preferred if item.host != own.host}
        return list(by_host.values())

    def _ranked_by_domain(self) -> dict[str, list[record.UpstreamRecord]]:
        """Returns the hosts of each failure domain by rank; hosts that are leaving have none."""
        own_host = self._members.own.host
        domains: dict[str, list[record.UpstreamRecord]] = {}
        for item in self._members.members():
            if item.state is not record.State.LOST or item.host == own_host:
                domains.setdefault(item.failure_domain, []).append(item)
        for hosts in domains.values():
            hosts.sort(key=lambda item: _hash_host(item.host))
        return domains


def _heads(
    ranked: dict[str, list[record.UpstreamRecord]],
) -> list[record.UpstreamRecord]:
    """Returns the heads of all failure domains; the first one is the leader."""
    return sorted((hosts[0] for hosts in ranked.values()), key=lambda item: _hash_host(item.host))


def _position(host: str, items: Sequence[record.UpstreamRecord]) -> int:
    return next(number for number, item in enumerate(items) if item.host == host)


@functools.lru_cache(maxsize=HASH_CACHE_ENTRIES)
def _hash_host(host: str) -> int:
    return xxhash.xxh64_intdigest(host.encode())
