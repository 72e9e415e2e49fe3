"""Copies of a kind of platform objects, fed by the platform and by peers in any order."""

from typing import Protocol

from bergamotridge.store import client


class Replica(Protocol):
    """A node's copy of all objects of one kind, complete up to `version`.

    A listing may come from the platform or from another replica, late or repeated; taking it in
    never lowers the version of any object.
    """

    @property
    def kind(self) -> str:
        """Kind of the objects."""

    @property
    def version(self) -> int:
        """Highest version of an object taken in, 0 if there is none."""

    def newer(self, since: int) -> client.Listing:
        """Returns the objects with a version above `since`, lowest first, perhaps not all."""

    def take(self, listing: client.Listing) -> bool:
        """Takes in objects; returns True if any was news."""
