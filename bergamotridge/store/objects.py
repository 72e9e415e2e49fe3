"""What the parts that keep state in the platform need of its object API."""

from collections.abc import Sequence
from typing import Protocol


class StoredObject(Protocol):
    """One version of an object."""

    name: str
    version: int
    value: object


class Listing(Protocol):
    """Objects of one kind."""

    items: Sequence[StoredObject]


class Objects(Protocol):
    """Conditional access to the platform's objects.

    Every method raises PlatformUnavailableError when no whole answer came; after a write that
    leaves its outcome unknown.
    """

    def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object; raises NotFoundError if there is none."""

    def list(self, kind: str) -> Listing:
        """Returns all objects of a kind."""

    def put(self, kind: str, name: str, value: object, version: int) -> int:
        """Writes if `version` is current (0: none exists) or raises ConflictError."""

    def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes if `version` is current or raises ConflictError or NotFoundError."""
