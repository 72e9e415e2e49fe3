"""Choice of the few nodes in a failure domain that access the platform on behalf of the others."""

from collections.abc import Sequence

import xxhash

from bergamotridge.nodes import membership, peers, record


class WatchElection:
    """Determines whether this node is one of the few that are elected to access the platform.

    Live members of a failure domain are ranked by a hash of the host, and the lowest ranks are
    elected. While nodes differ in their view of the membership, a few nodes more or less are
    elected, which costs additional reads but violates no guarantee.
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

    def place(self) -> int | None:
        """Returns this node's rank, from 0, among those elected, None if it is not elected."""
        own_rank = rank(self._members.own, self._members.members())
        return own_rank if own_rank < self._nodes_per_domain else None

    def is_elected(self, now: float) -> bool:
        """Returns True if this node accesses the platform itself.

        Elected nodes do, and any node to which no peer has answered lately.
        """
        return self.place() is not None or not self._chooser.has_recent_answer(now)


def rank(own: record.UpstreamRecord, members: Sequence[record.UpstreamRecord]) -> int:
    """Returns this host's rank, from 0, within its failure domain; all nodes compute the same."""
    hosts = {item.host for item in members if item.failure_domain == own.failure_domain}
    own_hash = _hash_host(own.host)
    return sum(_hash_host(host) < own_hash for host in hosts - {own.host})


def _hash_host(host: str) -> int:
    return xxhash.xxh64_intdigest(host.encode())
