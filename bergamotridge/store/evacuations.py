"""Failure domains that the operator has evacuated: one object of the platform's store for each."""

import threading
from collections.abc import Callable, Iterable

import attrs

from bergamotridge.store import client, position, replica

KIND = "evacuations"
PAGE_ITEMS = 1000  # Objects that one page for another node holds.
# Deletions that are remembered. One that was forgotten could be undone only by a listing that is
# older than as many later deletions.
MAX_DELETIONS = 1000


@attrs.frozen
class _Entry:
    """What is known of one object.

    Attributes:
        version: Version of the object, or one as of which it is known not to exist.
        exists: False if the object was deleted.
    """

    version: position.Position
    exists: bool


class Evacuations:
    """Replica of the evacuations; safe to use from any thread.

    The name of an object is a failure domain, which is evacuated while the object exists; its value
    doesn't matter. What the store holds counts, also after it was restored from an earlier copy:
    an evacuation that the copy lacks has ended, as nobody could delete its object any more.
    """

    def __init__(self) -> None:
        """Starts without any evacuation."""
        self._lock = threading.Lock()
        self._entries: dict[str, _Entry] = {}
        self._position = position.START
        self._domains: frozenset[str] = frozenset()
        self._listeners: list[Callable[[frozenset[str]], None]] = []

    @property
    def kind(self) -> str:
        """Kind of the objects in the platform."""
        return KIND

    @property
    def version(self) -> replica.ReplicaVersion:
        """Highest position that changed this replica."""
        return replica.ReplicaVersion(seen=self._position)

    @property
    def domains(self) -> frozenset[str]:
        """Evacuated failure domains; another object after each change."""
        return self._domains

    def add_listener(self, callback: Callable[[frozenset[str]], None]) -> None:
        """Registers a callback that takes the evacuated domains at each change, and calls it now.

        It runs in the thread that makes the change, with the lock held.
        """
        with self._lock:
            self._listeners.append(callback)
            callback(self._domains)

    def listing_since(self, since: replica.ReplicaVersion) -> client.Listing:
        """Returns one page of the objects, deleted ones included, that changed after `since`."""
        with self._lock:
            newer = [item for item in self._entries.items() if item[1].version > since.seen]
            version = self._position
        newer.sort(key=lambda item: item[1].version)
        if len(newer) > PAGE_ITEMS:
            # Deletions that were found by one complete listing have the same version, and must not
            # be divided between pages. A page may therefore hold more.
            version = newer[PAGE_ITEMS - 1][1].version
            newer = [item for item in newer if item[1].version <= version]
        items = tuple(
            client.StoredObject(KIND, name, entry.version, {} if entry.exists else None)
            for name, entry in newer
        )
        return client.Listing(items, version)

    def apply_listing(self, listing: client.Listing) -> bool:
        """Applies the objects of a listing; returns True if that changed the replica."""
        with self._lock:
            before = self._position
            for item in _last_of_each(listing.items):
                self._apply_object(item, listing)
            # An earlier listing tells nothing: this replica is complete up to its position.
            if listing.is_complete and listing.version >= self._position:
                self._apply_missing(listing)
            # A replica without a position is listed whole each time, also if there is no object.
            if not self._position.exists or listing.version.epoch > self._position.epoch:
                self._position = max(self._position, listing.version)
            self._forget_old_deletions()
            domains = frozenset(name for name, entry in self._entries.items() if entry.exists)
            if domains != self._domains:
                self._domains = domains
                for callback in self._listeners:
                    callback(domains)
            return self._position > before

    def _apply_object(self, item: client.StoredObject, listing: client.Listing) -> None:
        known = self._entries.get(item.name)
        # An object whose value can't be read exists, too.
        if item.value is not None or item.fault:
            if known is None or item.version > known.version:
                self._store(item.name, _Entry(item.version, exists=True))
        elif known is None or item.version >= known.version:
            # The deletion may be reported with the object's last version.
            version = max(item.version, listing.version)
            if known is None or known.exists or version > known.version:
                self._store(item.name, _Entry(version, exists=False))

    def _apply_missing(self, listing: client.Listing) -> None:
        """Ends evacuations whose objects a listing of all objects lacks."""
        named = {item.name for item in listing.items} | {item.name for item in listing.reports}
        for name, entry in list(self._entries.items()):
            if entry.exists and name not in named:
                self._store(name, _Entry(listing.version, exists=False))

    def _store(self, name: str, entry: _Entry) -> None:
        self._entries[name] = entry
        self._position = max(self._position, entry.version)

    def _forget_old_deletions(self) -> None:
        deleted = [item for item in self._entries.items() if not item[1].exists]
        deleted.sort(key=lambda item: item[1].version)
        for name, _ in deleted[: max(0, len(deleted) - MAX_DELETIONS)]:
            del self._entries[name]


def _last_of_each(items: Iterable[client.StoredObject]) -> Iterable[client.StoredObject]:
    """Returns the last change of each object; of two with one version, the later in the listing."""
    last: dict[str, client.StoredObject] = {}
    for item in items:
        known = last.get(item.name)
        if known is None or item.version >= known.version:
            last[item.name] = item
    return last.values()
