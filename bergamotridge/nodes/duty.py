"""Which few nodes of a failure domain talk to the platform for the others."""

from collections.abc import Sequence

import xxhash

from bergamotridge.nodes import membership, peers, record


class Duty:
    """Tells whether this node is one of the few of its failure domain that ask the platform.

    The choice is a rank by hash among the live members. Views that differ for a moment give a few
    nodes more or less, which costs reads but breaks no promise.
    """

    def __init__(
        self, members: membership.Membership, chooser: peers.PeerChooser, places: int
    ) -> None:
        """Prepares the choice; `places` is the number of nodes on duty per failure domain."""
        self._members = members
        self._chooser = chooser
        self._places = places

    def place(self) -> int | None:
        """Returns this node's place among those on duty, None if it is not one of them."""
        own_rank = rank(self._members.own, self._members.members())
        return own_rank if own_rank < self._places else None

    def holds(self, now: float) -> bool:
        """Returns True if this node asks the platform itself; so does one that hears no peer."""
        return self.place() is not None or not self._chooser.hears(now)


def rank(own: record.UpstreamRecord, members: Sequence[record.UpstreamRecord]) -> int:
    """Returns this host's place in its failure domain in an order that all nodes agree on."""
    hosts = {item.host for item in members if item.failure_domain == own.failure_domain}
    mine = _weight(own.host)
    return sum(_weight(host) < mine for host in hosts - {own.host})


def _weight(host: str) -> int:
    return xxhash.xxh64_intdigest(host.encode())
