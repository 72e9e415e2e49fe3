"""Objects with versions, conditional updates and watches, kept in memory by the platform."""

import threading
import time

import attrs


@attrs.frozen
class Item:
    """One object; a deleted one stays as a tombstone whose value is None.

    Attributes:
        kind: Kind of the object.
        name: Name within the kind.
        version: Version of the last change; one counter for all objects.
        value: JSON value, or None if the object was deleted.
    """

    kind: str
    name: str
    version: int
    value: object


@attrs.frozen
class Listing:
    """Objects of one kind and the store's version at the moment they were read."""

    items: list[Item]
    version: int


class VersionConflict(Exception):  # noqa: N818 - named after the HTTP status it becomes
    """A conditional change named a version that is not the current one."""

    def __init__(self, version: int) -> None:
        super().__init__(f"the current version is {version}")
        self.version = version


@attrs.frozen
class _View:
    items: dict[tuple[str, str], Item]
    version: int


class Store:
    """All objects, guarded by one lock; changes wake waiting watches."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._items: dict[tuple[str, str], Item] = {}
        self._version = 0
        self._log: list[Item] = []
        self._old: _View | None = None

    @property
    def version(self) -> int:
        """Version of the latest change."""
        return self._version

    def read_as_of(self, version: int | None) -> None:
        """Makes reads answer as the objects were at `version`, or as they are if it is None."""
        with self._changed:
            self._old = None
            if version is not None:
                past = (item for item in self._log if item.version <= version)
                self._old = _View({(item.kind, item.name): item for item in past}, version)
            self._changed.notify_all()

    def wake(self) -> None:
        """Wakes all watches so that they look at the faults again."""
        with self._changed:
            self._changed.notify_all()

    def get(self, kind: str, name: str) -> Item | None:
        """Returns one object, or None if it does not exist."""
        with self._changed:
            item = self._view().items.get((kind, name))
        return item if item is not None and item.value is not None else None

    def list(self, kind: str, since: int = -1) -> Listing:
        """Returns the objects of a kind, or what changed after version `since`."""
        with self._changed:
            return self._list(kind, since)

    def put(self, kind: str, name: str, version: int, value: object) -> int:
        """Writes one object if its current version is `version` and returns the new one."""
        with self._changed:
            return self._write(kind, name, version, value)

    def delete(self, kind: str, name: str, version: int) -> int:
        """Deletes one object under the same condition as `put`; raises KeyError if absent."""
        with self._changed:
            if self._current_version(kind, name) == 0:
                raise KeyError(name)
            return self._write(kind, name, version, None)

    def watch(self, kind: str, since: int, wait_s: float, cut_off) -> Listing:
        """Waits for changes after `since`; ends early and empty once `cut_off()` is true."""
        deadline = time.monotonic() + wait_s
        with self._changed:
            while True:
                listing = self._list(kind, since)
                left = deadline - time.monotonic()
                if listing.items or left <= 0 or cut_off():
                    return listing
                self._changed.wait(left)

    def _view(self) -> _View:
        return self._old or _View(self._items, self._version)

    def _list(self, kind: str, since: int) -> Listing:
        view = self._view()
        wanted = [
            item
            for item in view.items.values()
            if item.kind == kind and item.version > since and (since >= 0 or item.value is not None)
        ]
        return Listing(sorted(wanted, key=lambda item: item.version), view.version)

    def _current_version(self, kind: str, name: str) -> int:
        item = self._items.get((kind, name))
        return item.version if item is not None and item.value is not None else 0

    def _write(self, kind: str, name: str, version: int, value: object) -> int:
        current = self._current_version(kind, name)
        if current != version:
            raise VersionConflict(current)
        self._version += 1
        item = Item(kind, name, self._version, value)
        self._items[kind, name] = item
        self._log.append(item)
        self._changed.notify_all()
        return self._version
