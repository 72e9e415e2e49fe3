"""In-memory object store of the platform stand-in: versions, conditional writes and watches."""

import json
import threading
import time
import typing
from collections.abc import Iterable

import attrs


@attrs.frozen
class Item:
    """One object; a deleted one stays as a tombstone whose value is None.

    Attributes:
        kind: Kind of the object.
        name: Name within the kind.
        version: Version of the last change; one counter numbers the changes of all objects.
        value: JSON value, or None if the object was deleted.
    """

    kind: str
    name: str
    version: int
    value: object


@attrs.frozen
class Listing:
    """Objects of one kind and the version of the store at the time of reading."""

    items: list[Item]
    version: int


class VersionConflict(Exception):  # noqa: N818 - named after HTTP status 409 Conflict
    """A conditional write was based on a version that is not the current one."""

    def __init__(self, version: int) -> None:
        super().__init__(f"the current version is {version}")
        self.version = version


@attrs.frozen
class _View:
    """Objects and store version from which reads are answered."""

    items: dict[tuple[str, str], Item]
    version: int


def read_journal(text: str) -> list[Item]:
    """Returns the changes in a journal, in the order of their versions.

    The last line may be incomplete, if its process was killed; that change was not acknowledged.
    """
    complete_lines, _, _ = text.rpartition("\n")
    return [Item(**json.loads(line)) for line in complete_lines.splitlines()]


class Store:
    """All objects, guarded by one lock; each change wakes the waiting watches."""

    def __init__(self, changes: Iterable[Item] = (), journal: typing.TextIO | None = None) -> None:
        """Creates a store with the objects of an earlier process.

        Args:
            changes: Changes of the earlier process, in the order of their versions.
            journal: File to which each change is appended before it is acknowledged, line by line.
        """
        self._changed = threading.Condition()
        self._items: dict[tuple[str, str], Item] = {}
        self._version = 0
        self._change_log: list[Item] = []
        self._past_view: _View | None = None
        self._epoch = 0
        for item in changes:
            self._keep(item)
        self._journal = journal

    @property
    def epoch(self) -> int:
        """Number of restorations from a copy."""
        return self._epoch

    @property
    def version(self) -> int:
        """Version of the latest change."""
        return self._version

    def read_as_of(self, version: int | None) -> None:
        """Makes reads and watches return the objects as of `version`, the current ones if None."""
        with self._changed:
            self._past_view = None
            if version is not None:
                past = (item for item in self._change_log if item.version <= version)
                self._past_view = _View({(item.kind, item.name): item for item in past}, version)
            self._changed.notify_all()

    def restore(self, version: int) -> None:
        """Brings back the objects and the counter as of `version`; all later changes are lost."""
        with self._changed:
            self._change_log = [item for item in self._change_log if item.version <= version]
            self._items = {(item.kind, item.name): item for item in self._change_log}
            self._version = version
            self._past_view = None
            self._epoch += 1
            self._changed.notify_all()

    def wake_watches(self) -> None:
        """Wakes all watches so that they evaluate their `is_interrupted` again."""
        with self._changed:
            self._changed.notify_all()

    def get(self, kind: str, name: str) -> Item | None:
        """Returns one object, or None if it does not exist or was deleted."""
        with self._changed:
            item = self._view().items.get((kind, name))
        return item if item is not None and item.value is not None else None

    def list(self, kind: str, since: int = -1) -> Listing:
        """Returns the objects of a kind, or those changed after version `since` with tombstones."""
        with self._changed:
            return self._list(kind, since)

    def put(self, kind: str, name: str, version: int, value: object) -> int:
        """Writes one object if its current version is `version`; returns the new version.

        A version of 0 stands for an object that does not exist.

        Raises:
            VersionConflict: The current version is another one.
        """
        with self._changed:
            return self._write(kind, name, version, value)

    def delete(self, kind: str, name: str, version: int) -> int:
        """Deletes one object under the same condition as `put`; raises KeyError if it is absent."""
        with self._changed:
            if self._current_version(kind, name) == 0:
                raise KeyError(name)
            return self._write(kind, name, version, None)

    def watch(self, kind: str, since: int, wait_s: float, is_interrupted) -> Listing:
        """Waits up to `wait_s` seconds for changes of a kind after version `since`.

        Returns an empty listing when the time is up, or earlier once `is_interrupted()` is true,
        which is evaluated again at each change and at each call of `wake_watches`.
        """
        deadline = time.monotonic() + wait_s
        with self._changed:
            while True:
                listing = self._list(kind, since)
                remaining_s = deadline - time.monotonic()
                if listing.items or remaining_s <= 0 or is_interrupted():
                    return listing
                self._changed.wait(remaining_s)

    def _view(self) -> _View:
        return self._past_view or _View(self._items, self._version)

    def _list(self, kind: str, since: int) -> Listing:
        view = self._view()
        matching = [
            item
            for item in view.items.values()
            if item.kind == kind and item.version > since and (since >= 0 or item.value is not None)
        ]
        return Listing(sorted(matching, key=lambda item: item.version), view.version)

    def _current_version(self, kind: str, name: str) -> int:
        item = self._items.get((kind, name))
        return item.version if item is not None and item.value is not None else 0

    def _write(self, kind: str, name: str, version: int, value: object) -> int:
        current = self._current_version(kind, name)
        if current != version:
            raise VersionConflict(current)
        item = Item(kind, name, self._version + 1, value)
        if self._journal is not None:
            self._journal.write(json.dumps(attrs.asdict(item)) + "\n")
        self._keep(item)
        self._changed.notify_all()
        return self._version

    def _keep(self, item: Item) -> None:
        self._version = item.version
        self._items[item.kind, item.name] = item
        self._change_log.append(item)
