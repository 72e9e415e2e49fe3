"""In-memory client of the platform's object API, one per host, with injected faults."""

from collections.abc import Callable

import attrs

from bergamotridge import errors
from bergamotridge.store import client
from standins import store


@attrs.define
class Faults:
    """Faults between one host and the platform.

    Attributes:
        outage: Every request fails and has no effect.
        lose_answers: Number of next writes that take effect but raise an error.
        hold_writes: Number of next writes that raise an error and are applied only when `release`
            is called, if their version is still current then.
        before_write: Called once at the start of the next write, before it is applied.
    """

    outage: bool = False
    lose_answers: int = 0
    hold_writes: int = 0
    before_write: Callable[[], None] | None = None


class FakeObjects:
    """One host's client of a shared store; implements `objects.Objects`.

    A read that allows stale data returns what the previous such read would have found.
    """

    def __init__(self, shared: store.Store) -> None:
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
        self._shared = shared
        self._delayed_writes: list[tuple[str, str, object, int]] = []
        self._found_before: dict[tuple[str, str], store.Item | None] = {}

    def get(self, kind, name, *, eventual=False):
        self._count_read()
        item = self._shared.get(kind, name)
        if eventual:
            found, item = item, self._found_before.get((kind, name), item)
            self._found_before[kind, name] = found
        if item is None:
            raise errors.NotFoundError(f"no {kind}/{name}")
        return _stored(item)

    def list(self, kind, *, eventual=False):
        self._count_read()
        listing = self._shared.list(kind)
        return client.Listing(tuple(map(_stored, listing.items)), listing.version)

    def put(self, kind, name, value, version):
        self.writes += 1
        before_write_hook, self.faults.before_write = self.faults.before_write, None
        if before_write_hook is not None:
            before_write_hook()
        if self.faults.outage:
            raise errors.PlatformUnavailableError("outage")
        if self.faults.hold_writes:
            self.faults.hold_writes -= 1
            self._delayed_writes.append((kind, name, value, version))
            raise errors.PlatformUnavailableError("write delayed")
        written = self._write(kind, name, value, version)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise errors.PlatformUnavailableError("response lost")
        return written

    def delete(self, kind, name, version):
        self.writes += 1
        if self.faults.outage:
            raise errors.PlatformUnavailableError("outage")
        try:
            self._shared.delete(kind, name, version)
        except KeyError as error:
            raise errors.NotFoundError(f"no {kind}/{name}") from error
        except store.VersionConflict as error:
            raise errors.ConflictError(str(error), error.version) from error

    def release(self):
        """Applies the delayed writes; those whose version is no longer current have no effect."""
        delayed_writes, self._delayed_writes = self._delayed_writes, []
        for kind, name, value, version in delayed_writes:
            try:
                self._write(kind, name, value, version)
            except errors.ConflictError:
                continue

    def _count_read(self):
        self.reads += 1
        if self.faults.outage:
            raise errors.PlatformUnavailableError("outage")

    def _write(self, kind, name, value, version):
        try:
            return self._shared.put(kind, name, version, value)
        except store.VersionConflict as error:
            raise errors.ConflictError(str(error), error.version) from error


def _stored(item):
    return client.StoredObject(item.kind, item.name, item.version, item.value)
