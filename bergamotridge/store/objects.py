"""Protocols of the platform's object API, for modules that store state in it."""

from collections.abc import Sequence
from typing import Protocol

from bergamotridge.store import position


class StoredObject(Protocol):
    """One version of an object."""

    name: str
    version: position.Position
    value: object


class Listing(Protocol):
    """The objects of one kind that a request returned."""

    items: Sequence[StoredObject]


class Objects(Protocol):
    """Access to the platform's objects with conditional writes.

    Every method raises PlatformUnavailableError if no complete response arrived. A write that
    raises it may or may not have taken effect.
    """

    def get(self, kind: str, name: str, *, eventual: bool = False) -> StoredObject:
        """Returns an object; raises NotFoundError if there is none.

        With `eventual`, the read is eventually consistent: the object may be one that was current
        some seconds ago, which some platforms serve at a lower cost.
        """

    def list(self, kind: str, *, eventual: bool = False) -> Listing:
        """Returns all objects of a kind; `eventual` is as for `get`."""

    def put(
        self, kind: str, name: str, value: object, version: position.Position
    ) -> position.Position:
        """Writes an object if `version` is its current version, and returns the new version.

        A `version` that stands for a missing object means that it must not exist yet. Raises
        ConflictError if another version is current.
        """

    def delete(self, kind: str, name: str, version: position.Position) -> None:
        """Deletes an object if `version` is its current version.

        Raises ConflictError if another version is current, NotFoundError if there is no object.
        """
