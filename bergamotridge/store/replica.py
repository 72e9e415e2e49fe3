"""Protocol of local copies of platform objects, updated by the platform and by peers."""

from typing import Protocol

from bergamotridge.store import client


class Replica(Protocol):
    """A node's copy of all objects of one kind, complete up to `version`.

    A listing may come from the platform or from another node's replica, and may arrive late, out
    of order or repeatedly. Applying it never lowers the version of any object.
    """

    @property
    def kind(self) -> str:
        """Kind of the objects."""

    @property
    def version(self) -> int:
        """Highest version of all objects applied so far, 0 if there is none."""

    def listing_since(self, since: int) -> client.Listing:
        """Returns objects with a version above `since`, lowest version first.

        The listing may leave out the objects with the highest versions.
        """

    def apply_listing(self, listing: client.Listing) -> bool:
        """Applies the objects of a listing; returns True if that changed the replica."""
