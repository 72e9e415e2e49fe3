"""What a node takes from its surroundings: the store, the form of the text, header fields."""

from collections.abc import Callable
from typing import Protocol

import attrs

from bergamotridge import settings
from bergamotridge.callers import dialect as caller_dialect
from bergamotridge.operators import text
from bergamotridge.store import client
from bergamotridge.upstreams import announcement
from bergamotridge.upstreams import dialect as upstream_dialect
from bergamotridge.util import httpd

Announced = Callable[[announcement.Announcement, float], None]


class Store(Protocol):
    """The object API as a node uses it; see `store.client.ObjectClient`."""

    def get(self, kind: str, name: str) -> client.StoredObject:
        """Returns an object."""

    def list(self, kind: str) -> client.Listing:
        """Returns all objects of a kind."""

    def put(self, kind: str, name: str, value: object, version: int) -> int:
        """Writes an object if its version is `version`."""

    def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes an object if its version is `version`."""

    def watch(self, kind: str, since: int, wait_s: float) -> client.Listing:
        """Waits for objects above a version."""

    def close(self) -> None:
        """Ends requests in flight."""


def _own_store(node: settings.NodeSettings) -> Store:
    return client.ObjectClient(node.platform.address, node.platform.timeout_s)


def _own_port(handler: httpd.Handler, announced: Announced) -> httpd.Handler:
    del announced
    return handler


@attrs.frozen
class Environment:
    """The product's own surroundings by default; an adapter replaces what differs.

    Attributes:
        store: Makes the client of the store.
        parse: Reads the operator's text.
        keys_in_text: True if the text holds the keys of teams, so that no other object does.
        callers: Header fields between callers and nodes.
        upstreams: Header fields between a node and its upstream.
        upstream_port: Makes the handler of the upstream's port from the product's own and the
            function that takes in announcements.
        close_delimited: True if an upstream's answer may end with its connection.
        service: Service of this host where the settings name it, else "".
    """

    store: Callable[[settings.NodeSettings], Store] = _own_store
    parse: Callable[[str, str], text.Text] = text.parse
    keys_in_text: bool = False
    callers: caller_dialect.CallerDialect = attrs.field(factory=caller_dialect.OwnDialect)
    upstreams: upstream_dialect.UpstreamDialect = attrs.field(factory=upstream_dialect.OwnDialect)
    upstream_port: Callable[[httpd.Handler, Announced], httpd.Handler] = _own_port
    close_delimited: bool = False
    service: str = ""
