"""Counts the requests to the platform's object store by kind of object, operation and result."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from bergamotridge import errors, malformed
from bergamotridge.store import client, objects, position

OK = "ok"
NOT_FOUND = "not-found"
CONFLICT = "conflict"
UNAVAILABLE = "unavailable"
MALFORMED = "malformed"
REFUSED = "refused"

Result = TypeVar("Result")
# Takes the kind of the objects, the operation and its result.
CountRequest = Callable[[str, str, str], None]


class WatchableObjects(objects.Objects, Protocol):
    """Access to the platform's objects, with watches."""

    def watch(self, kind: str, since: position.Position, wait_s: float) -> client.Listing:
        """Waits at most `wait_s` seconds for objects of a kind with a version above `since`."""

    def close(self) -> None:
        """Cancels requests in flight."""


class CountedStore:
    """Passes all requests on to another client and counts them."""

    def __init__(
        self,
        inner: WatchableObjects,
        count_request: CountRequest,
        on_malformed: malformed.OnMalformed = malformed.ignore,
    ) -> None:
        """Wraps a client.

        Args:
            inner: Client that sends the requests.
            count_request: Called with kind, operation and result once a request has ended.
            on_malformed: Called with a report of each object that cannot be read.
        """
        self._inner = inner
        self._count_request = count_request
        self._on_malformed = on_malformed

    def get(self, kind: str, name: str, *, eventual: bool = False) -> client.StoredObject:
        """Returns an object; see `objects.Objects`."""
        operation = "get-stale" if eventual else "get"
        try:
            stored = self._count(
                kind, operation, lambda: self._inner.get(kind, name, eventual=eventual)
            )
        except errors.MalformedObjectError as error:
            self._on_malformed(malformed.MalformedEntry(kind, name, error))
            raise
        if stored.fault:
            self._on_malformed(malformed.MalformedEntry(kind, name, stored.fault))
        return stored

    def list(self, kind: str, *, eventual: bool = False) -> client.Listing:
        """Returns all objects of a kind; see `objects.Objects`."""
        operation = "list-stale" if eventual else "list"
        return self._report(
            self._count(kind, operation, lambda: self._inner.list(kind, eventual=eventual))
        )

    def put(
        self, kind: str, name: str, value: object, version: position.Position
    ) -> position.Position:
        """Writes an object; see `objects.Objects`."""
        return self._count(kind, "put", lambda: self._inner.put(kind, name, value, version))

    def delete(self, kind: str, name: str, version: position.Position) -> None:
        """Deletes an object; see `objects.Objects`."""
        self._count(kind, "delete", lambda: self._inner.delete(kind, name, version))

    def watch(self, kind: str, since: position.Position, wait_s: float) -> client.Listing:
        """Waits for changes of a kind; a watch that does not wait counts as a read."""
        operation = "watch" if wait_s else "read"
        return self._report(
            self._count(kind, operation, lambda: self._inner.watch(kind, since, wait_s))
        )

    def close(self) -> None:
        """Cancels requests in flight."""
        self._inner.close()

    def _report(self, listing: client.Listing) -> client.Listing:
        for entry in listing.reports:
            self._on_malformed(entry)
        return listing

    def _count(self, kind: str, operation: str, send: Callable[[], Result]) -> Result:
        result = REFUSED
        try:
            answer = send()
            result = OK
            return answer
        except errors.NotFoundError:
            result = NOT_FOUND
            raise
        except errors.ConflictError:
            result = CONFLICT
            raise
        except errors.MalformedObjectError:
            result = MALFORMED
            raise
        except errors.PlatformUnavailableError:
            result = UNAVAILABLE
            raise
        finally:
            self._count_request(kind, operation, result)
