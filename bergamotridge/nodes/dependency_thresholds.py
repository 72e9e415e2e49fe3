"""Admission thresholds of the services below a call, as received and sent with answers."""

from collections.abc import Collection
from typing import Protocol

from bergamotridge.nodes import call_graph, load, route_dependencies

# Precedes each service of a statement. A space ends it: "@bookings@progress THRESHOLDS", and
# "@ THRESHOLDS" if no service is below.
_STATEMENT_MARK = "@"


class ThresholdTable(Protocol):
    """Stores the latest admission thresholds of each service."""

    def observe(self, service: str, observed: load.Threshold, now: float, host: str) -> None:
        """Stores the threshold that `host` reported for `service` at `now`."""

    def encode(self, services: Collection[str], now: float) -> str:
        """Returns the thresholds of `services`, encoded as a header value."""

    def merge(self, text: str | None, services: Collection[str], now: float) -> None:
        """Stores the thresholds in `text`, which another node encoded, but only of `services`."""

    def services_in(self, text: str) -> Collection[str]:
        """Returns the services whose thresholds `text`, which another node encoded, contains."""


class DependencyThresholds:
    """Encodes the thresholds below a service for answers, and records those that answers carry."""

    def __init__(
        self,
        table: ThresholdTable,
        graph: call_graph.CallGraph,
        routes: route_dependencies.RouteDependencies | None = None,
    ) -> None:
        """Works on a threshold table and a call graph, which others may share.

        Args:
            table: The thresholds that this node has received.
            graph: The services below each service.
            routes: The services below each route, None if routes are not told apart.
        """
        self._table = table
        self._graph = graph
        self._routes = routes

    def encode(self, service: str, now: float, route: str = "") -> str:
        """Returns the thresholds below a call, encoded for its answer.

        Args:
            service: Service that was called.
            now: Monotonic time in seconds.
            route: Route of the call, "" if it is not known.
        """
        stated = self._routes.statement(service, route, now) if self._routes else None
        services = self._graph.dependencies_of(service) if stated is None else stated
        thresholds = self._table.encode(services, now) if services else ""
        return thresholds if stated is None else f"{_encode_statement(stated)} {thresholds}"

    def encode_statement(self, service: str, now: float, route: str) -> str:
        """Returns what a call to the upstream on this host shows of the services below its route.

        This node's own thresholds are not encoded, as it has them.
        """
        stated = self._routes.statement(service, route, now) if self._routes else None
        return "" if stated is None else _encode_statement(stated)

    def record_answer(
        self,
        service: str,
        host: str,
        threshold: load.Threshold | None,
        encoded_below: str,
        now: float,
        route: str = "",
    ) -> None:
        """Stores the thresholds that came with an answer.

        Args:
            service: Service that was called.
            host: Host that answered.
            threshold: Threshold of `service` on `host`, None if it is not to be counted.
            encoded_below: Thresholds of the services below, as `encode` returned them on `host`.
            now: Monotonic time in seconds.
            route: Route of the call, "" if it is not known.
        """
        if threshold is not None:
            self._table.observe(service, threshold, now, host)
        stated: route_dependencies.Statement = None
        if encoded_below.startswith(_STATEMENT_MARK):
            encoded_statement, _, encoded_below = encoded_below.partition(" ")
            stated = _decode_statement(encoded_statement)
        if self._routes is not None:
            self._routes.record_answer(service, route, stated, now)
        below = set(stated or ())
        if encoded_below:
            below.update(self._table.services_in(encoded_below))
        for name in below:
            self._graph.record_call(service, name)
        if encoded_below:
            self._table.merge(encoded_below, self._graph.dependencies_of(service), now)


def _encode_statement(stated: frozenset[str]) -> str:
    return _STATEMENT_MARK + _STATEMENT_MARK.join(sorted(stated))


def _decode_statement(text: str) -> frozenset[str]:
    return frozenset(name for name in text.split(_STATEMENT_MARK) if name)
