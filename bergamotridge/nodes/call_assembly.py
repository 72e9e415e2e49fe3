"""Creates the parts of a node that send calls to other nodes and take theirs."""

import time
from collections.abc import Callable

import attrs

from bergamotridge import http_ports, shared_parts
from bergamotridge.balancing import methods
from bergamotridge.nodes import (
    budget,
    call_attribution,
    call_graph,
    choice,
    context,
    control_assembly,
    dependency_thresholds,
    dispatch,
    relay,
    route_dependencies,
)
from bergamotridge.upstreams import local_upstream
from bergamotridge.util import http_client, httpd


@attrs.frozen
class CallParts:
    """Parts on the path of a call between nodes.

    Attributes:
        graph: Services below each service.
        routes: Services below each route, None if routes are not told apart.
        dependency_thresholds: Thresholds of the services below a service.
        relay_client: Sends calls to the nodes of other hosts.
        chooser: Chooses among the upstreams of a service.
        dispatcher: Sends calls to upstreams.
    """

    graph: call_graph.CallGraph
    routes: route_dependencies.RouteDependencies | None
    dependency_thresholds: dependency_thresholds.DependencyThresholds
    relay_client: relay.RelayClient
    chooser: choice.UpstreamChooser
    dispatcher: dispatch.Dispatcher

    @property
    def dependencies(self) -> call_graph.CallGraph | route_dependencies.RouteDependencies:
        """Services below a call."""
        return self.routes or self.graph


def create(
    shared: shared_parts.SharedParts,
    control: control_assembly.ControlParts,
    upstream: local_upstream.LocalUpstream,
    pools: http_client.Pools,
    table: dependency_thresholds.ThresholdTable,
    attribution: call_attribution.CallAttribution | None,
) -> CallParts:
    """Creates the parts.

    Args:
        shared: Parts that all packages use.
        control: What this node knows of the fleet.
        upstream: The local upstream.
        pools: Connection pools by address.
        table: Holds the thresholds that this node has received.
        attribution: Finds the routes that cause calls, None if routes are not told apart.
    """
    node, members = shared.node, control.known.members
    graph = call_graph.CallGraph(control.routes.dependencies_of)
    by_route = None
    if attribution is not None:
        by_route = route_dependencies.RouteDependencies(graph, control.routes, attribution)
    thresholds = dependency_thresholds.DependencyThresholds(table, graph, by_route)
    relay_client = relay.RelayClient(pools, context.relay_token(node.fleet_secret), shared.log)
    chooser = _create_chooser(shared)
    dispatcher = dispatch.Dispatcher(
        node.host,
        upstream,
        relay_client,
        control.directory,
        chooser,
        budget.RetryBudget(
            node.retries.ratio,
            node.retries.slack,
            node.retries.window_s,
            members.size,
            has_reserve=node.shedding.scarce,
            started_at=time.monotonic(),
        ),
        thresholds,
        shared.log,
        control.peers.record_unreached,
    )
    return CallParts(graph, by_route, thresholds, relay_client, chooser, dispatcher)


def _create_chooser(shared: shared_parts.SharedParts) -> choice.UpstreamChooser:
    node = shared.node
    balancing = methods.METHODS[node.balancing.method](shared.rng)
    shared.metrics.watch_slowness(balancing.slowness_by_host)
    shared.metrics.watch_acceptance(balancing.accepted_by_host)
    return choice.UpstreamChooser(
        node.host,
        node.failure_domain,
        node.region,
        shared.rng,
        balancing,
        lambda distance: shared.metrics.count_choice(distance.value),
    )


def create_server(
    shared: shared_parts.SharedParts,
    calls: CallParts,
    upstream: local_upstream.LocalUpstream,
    claims: relay.ClaimRunner,
    name_route: Callable[[str, str, str], str],
    new_server: http_ports.CreateServer,
) -> httpd.Server:
    """Returns the server of the port for relayed calls.

    Args:
        shared: Parts that all packages use.
        calls: Parts on the path of a call between nodes.
        upstream: The local upstream.
        claims: Runs calls whose idempotency key has this node as its home.
        name_route: Returns the name of the route of a method, path and host.
        new_server: Creates a server.
    """
    port = relay.RelayPort(
        upstream,
        context.relay_token(shared.node.fleet_secret),
        shared.log,
        calls.dependency_thresholds,
        claims,
        name_route if calls.routes else None,
    )
    return new_server("relay", port.handle, shared.node.limits.relay_connections)
