"""Creates the parts of a node that tell operators and load balancers about it."""

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import attrs

from bergamotridge import events, http_ports, metrics, shared_parts
from bergamotridge.operators import (
    malformed_entries,
    node_metrics,
    port,
    readiness,
    route_preview,
    status,
)
from bergamotridge.util import httpd

if TYPE_CHECKING:
    from bergamotridge.nodes import confirmation
    from bergamotridge.operators import page_server


@attrs.frozen
class Recorders:
    """Parts that record what the other parts do; they are created first.

    Attributes:
        registry: Registry of all metrics.
        metrics: The metrics.
        malformed_entries: Tells of entries of other processes that cannot be read.
    """

    registry: metrics.Metrics
    metrics: node_metrics.NodeMetrics
    malformed_entries: malformed_entries.MalformedEntries


@attrs.frozen
class PageSources:
    """What the pages for operators show and do.

    Attributes:
        registry: Registry of all metrics.
        read_status: Returns the status of the node.
        withdraw_key: Withdraws a key and returns who knows of it.
        preview: Tells where a request would go now.
    """

    registry: metrics.Metrics
    read_status: Callable[[], status.Status]
    withdraw_key: "Callable[[str], confirmation.Knowledge]"
    preview: Callable[[route_preview.Query], route_preview.RoutePreview]


def create_recorders(log: events.EventLog, read_status: Callable[[], status.Status]) -> Recorders:
    """Creates the parts that record; events are counted from now on.

    Args:
        log: The node's event log.
        read_status: Returns the status of the node; called for pages only.
    """
    registry = metrics.Metrics()
    recorded = node_metrics.NodeMetrics(registry, read_status)
    log.add_listener(recorded.count_event)
    return Recorders(
        registry,
        recorded,
        malformed_entries.MalformedEntries(log, recorded.count_malformed_entry),
    )


def create_port(shared: shared_parts.SharedParts, sources: PageSources) -> port.OperatorPort:
    """Returns the port for operators.

    Args:
        shared: Parts that all packages use.
        sources: What the pages show and do.
    """

    def create_pages() -> "Sequence[page_server.Page]":
        # Not imported before, as all of werkzeug comes with it.
        from bergamotridge.operators import pages

        return (
            pages.metrics_page(sources.registry),
            pages.status_page(sources.read_status),
            pages.events_page(shared.log),
            pages.preview_page(sources.preview),
            pages.withdraw_page(shared.node.fleet_secret, sources.withdraw_key),
        )

    return port.OperatorPort(shared.node.addresses.operators, create_pages)


def create_ready_server(
    shared: shared_parts.SharedParts,
    is_ready: Callable[[], bool],
    new_server: http_ports.CreateServer,
) -> httpd.Server | None:
    """Returns the server of the port for load balancers, None if the settings name none.

    Args:
        shared: Parts that all packages use.
        is_ready: Returns True while new calls should come to this node.
        new_server: Creates a server.
    """
    if not shared.node.addresses.ready:
        return None
    return new_server("ready", readiness.build_handler(is_ready), readiness.CONNECTIONS)
