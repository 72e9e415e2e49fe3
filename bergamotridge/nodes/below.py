"""Thresholds of the services below a call: what answers tell and what is learned from them."""

from collections.abc import Collection
from typing import Protocol

from bergamotridge.nodes import call_graph, load


class ThresholdTable(Protocol):
    """Knows the latest thresholds by service."""

    def observe(self, service: str, observed: load.Threshold, now: float, host: str) -> None:
        """Takes over the threshold of a service on a host."""

    def encode(self, services: Collection[str], now: float) -> str:
        """Returns the thresholds of services, for a header."""

    def merge(self, text: str | None, services: Collection[str], now: float) -> None:
        """Takes over what `encode` of another node wrote."""

    def named(self, text: str) -> Collection[str]:
        """Returns the services of which such a text speaks."""


class Below:
    """Joins the table of thresholds with the call graph, which answers teach too."""

    def __init__(self, table: ThresholdTable, graph: call_graph.CallGraph) -> None:
        """Creates the view.

        Args:
            table: The thresholds that this node knows.
            graph: The services below each service.
        """
        self._table = table
        self._graph = graph

    def encode(self, service: str, now: float) -> str:
        """Returns the thresholds below `service` for the answer of a call to it."""
        services = self._graph.below(service)
        return self._table.encode(services, now) if services else ""

    def learn(self, service: str, host: str, own: load.Threshold, told: str, now: float) -> None:
        """Takes over the threshold of `service` on `host` and those that its answer told of."""
        self._table.observe(service, own, now, host)
        if told:
            for name in self._table.named(told):
                self._graph.learn(service, name)
            self._table.merge(told, self._graph.below(service), now)
