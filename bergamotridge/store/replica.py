"""Protocol of local copies of platform objects, updated by the platform and by peers."""

from typing import Protocol

import attrs

from bergamotridge.store import client, position


@attrs.frozen(order=True)
class ReplicaVersion:
    """State of a replica; of two replicas of one kind, the one with the higher version is newer.

    Attributes:
        text_order: Order of the operator's text that the replica holds (see `configuration`), for
            all other kinds `position.START`. It goes first, as a text stays in force when the
            store comes back with an earlier one.
        seen: Highest position of all objects applied so far.
    """

    text_order: position.Position = position.START
    seen: position.Position = position.START


EMPTY = ReplicaVersion()


class Replica(Protocol):
    """A node's copy of all objects of one kind, complete up to `version.seen`.

    A listing may come from the platform or from another node's replica, and may arrive late, out
    of order or repeatedly. Applying it never lowers the version of any object.
    """

    @property
    def kind(self) -> str:
        """Kind of the objects."""

    @property
    def version(self) -> ReplicaVersion:
        """State of this replica, `EMPTY` before the first object."""

    def listing_since(self, since: ReplicaVersion) -> client.Listing:
        """Returns objects that a replica with the version `since` lacks, lowest version first.

        The listing may leave out the objects with the highest versions.
        """

    def apply_listing(self, listing: client.Listing) -> bool:
        """Applies the objects of a listing; returns True if that changed the replica."""
