"""Creates the parts of a node that know the local upstream."""

import time
from collections.abc import Callable

import attrs

from bergamotridge import http_ports, malformed, settings, shared_parts
from bergamotridge.nodes import call_attribution, control_assembly, dispatch, fingerprint
from bergamotridge.operators import crash_observer, upstream_observer
from bergamotridge.store import configuration, evacuations
from bergamotridge.upstreams import (
    dialect,
    gate,
    live_calls,
    local_upstream,
    port,
    quarantine,
    report_check,
    report_proof,
    reported_state,
    request_tracker,
)
from bergamotridge.util import http_client, httpd

# Takes the default handler, the function that applies announcements, and the one that takes reports
# of those that cannot be read.
MakeHandler = Callable[
    [httpd.Handler, report_check.OnAnnouncement, malformed.OnMalformed], httpd.Handler
]


@attrs.frozen
class UpstreamParts:
    """The local upstream and what is known of it.

    Attributes:
        pools: Connection pools by address, also to the nodes of other hosts.
        gate: Limit and queue of the calls to the upstream.
        live_calls: Calls that the upstream is running.
        upstream: The local upstream.
        applier: Applies its announcements.
        report_check: Holds back reports of the upstream until they are proven.
        attribution: Finds the routes that cause the upstream's calls, None if routes are not told
            apart.
        tracker: Tells it of the upstream's requests, None if routes are not told apart.
    """

    pools: http_client.Pools
    gate: gate.Gate
    live_calls: live_calls.LiveCalls
    upstream: local_upstream.LocalUpstream
    applier: reported_state.AnnouncementApplier
    report_check: report_check.ReportCheck
    attribution: call_attribution.CallAttribution | None
    tracker: request_tracker.RequestTracker | None


def create(
    shared: shared_parts.SharedParts,
    store: configuration.ConfigurationStore,
    control: control_assembly.ControlParts,
    known_evacuations: evacuations.Evacuations,
    *,
    upstream_dialect: dialect.UpstreamDialect,
    read_instance: report_check.ReadInstance,
    read_cold_s: report_check.ReadColdness,
    accepts_close_delimited: bool,
    alone_since_ms: int,
    is_stopping: Callable[[], bool],
) -> UpstreamParts:
    """Creates the parts.

    Args:
        shared: Parts that all packages use.
        store: The configuration in force.
        control: What this node knows of the fleet.
        known_evacuations: Evacuated failure domains.
        upstream_dialect: Header fields between node and upstream.
        read_instance: Reads the id of the upstream in the response to a health check.
        read_cold_s: Reads for how long it stays cold in the same response.
        accepts_close_delimited: True if the end of the connection may end a response.
        alone_since_ms: Unix time in milliseconds since which no other process serves this host.
        is_stopping: Returns True once this node stops.
    """
    limits = shared.node.limits
    pools = http_client.Pools(
        limits.body_bytes,
        limits.head_bytes,
        accepts_close_delimited,
        shared.event_loop.record_arrival,
        limits.answers_bytes,
        shared.memory,
    )
    admission = gate.Gate(1, limits.queue, scarce=shared.node.shedding.scarce)
    calls = live_calls.LiveCalls()
    observer = upstream_observer.UpstreamObserver(shared.log, shared.metrics)
    publisher = reported_state.StatePublisher(
        control.known.members, control.gossip.start_urgent_round, is_stopping
    )
    attribution = tracker = None
    if shared.node.shedding.dependencies == settings.BY_ROUTE:
        attribution = call_attribution.CallAttribution()
        tracker = request_tracker.RequestTracker(attribution, control.routes.name_route)
    upstream = local_upstream.LocalUpstream(
        admission,
        calls,
        pools,
        upstream_dialect,
        observer,
        publisher.publish,
        _create_quarantine(shared, control),
        tracker,
    )
    applier = reported_state.AnnouncementApplier(
        upstream, admission, store, publisher.publish, limits.bounds_cold
    )
    failure_domain = shared.node.failure_domain
    known_evacuations.add_listener(
        lambda domains: admission.set_evacuated(failure_domain in domains)
    )
    shared.metrics.watch_cold_rate(lambda: admission.cold_rate(time.monotonic()))
    store.add_listener(lambda _: applier.configure_gate())
    check = report_check.ReportCheck(
        report_proof.ReportProof(alone_since_ms, limits.heartbeat_s),
        applier.health_path,
        read_instance,
        applier.apply,
        observer,
        pools,
        shared.event_loop,
        time.monotonic,
        read_cold_s=read_cold_s,
    )
    store.add_listener(lambda _: check.handle_configuration())
    return UpstreamParts(pools, admission, calls, upstream, applier, check, attribution, tracker)


def _create_quarantine(
    shared: shared_parts.SharedParts, control: control_assembly.ControlParts
) -> quarantine.Quarantine:
    return quarantine.Quarantine(
        shared.node.host,
        fingerprint.Fingerprinter(shared.node.fleet_secret),
        control.known.suspects,
        crash_observer.CrashObserver(shared.log, shared.metrics, control.routes.name_route),
    )


def create_server(
    shared: shared_parts.SharedParts,
    parts: UpstreamParts,
    routes: port.Routes,
    dispatcher: dispatch.Dispatcher,
    limit_deadline: Callable[[float], float],
    make_handler: MakeHandler,
    new_server: http_ports.CreateServer,
) -> httpd.Server:
    """Returns the server of the port for the local upstream.

    Args:
        shared: Parts that all packages use.
        parts: The local upstream.
        routes: Provider of the current route table.
        dispatcher: Sends calls to dependencies.
        limit_deadline: Returns the deadline of a call that is taken now; see `port.UpstreamPort`.
        make_handler: Returns the handler of the port.
        new_server: Creates a server.
    """
    upstream_port = port.UpstreamPort(
        parts.live_calls,
        dispatcher,
        parts.applier.apply,
        routes,
        shared.log,
        limit_deadline,
        shared.on_malformed,
    )
    handler = make_handler(upstream_port.handle, parts.report_check.receive, shared.on_malformed)
    return new_server("upstream", handler, shared.node.limits.upstream_connections)
