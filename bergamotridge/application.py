"""Composition root of a node: has the packages create their parts, starts and stops them."""

import functools
import random
import time
from collections.abc import Sequence

from bergamotridge import (
    environment,
    errors,
    events,
    http_ports,
    part_order,
    port_ends,
    ports,
    settings,
    shared_parts,
)
from bergamotridge.callers import assembly as callers_assembly
from bergamotridge.nodes import call_assembly, control, control_assembly
from bergamotridge.operators import assembly as operators_assembly
from bergamotridge.operators import node_status, port, route_preview
from bergamotridge.store import assembly as store_assembly
from bergamotridge.upstreams import assembly as upstreams_assembly
from bergamotridge.upstreams import completion
from bergamotridge.util import held_bytes, loop

CONTROL_GRACE_S = 0.5
MIN_CONTROL_GRACE_S = 0.05


class Application:
    """One node: has all parts created and connected; `start` and `stop` run them.

    To add a part, create it in the assembly module of the package of the peer that it communicates
    with. If it is started or ends by itself, take it in `_take_parts` and add it to the lists of
    what is started (`_ports` or `_tasks`) and of what ends (`_ends`).
    """

    def __init__(
        self,
        node: settings.NodeSettings,
        incarnation: int,
        node_environment: environment.Environment | None = None,
        alone_since_ms: int | None = None,
    ) -> None:
        """Creates all parts; no port is opened before `start`.

        Args:
            node: Checked settings.
            incarnation: Start time of the process in milliseconds.
            node_environment: Parts that a platform adapter replaces; `Environment()` if None.
            alone_since_ms: Unix time in milliseconds since which no other process serves this host;
                `incarnation` if None.
        """
        self.settings = node
        self.environment = node_environment or environment.Environment()
        self.incarnation = incarnation
        self.events = events.EventLog(
            node.host, incarnation, node.failure_domain, node.limits.events
        )
        self.loop = loop.Loop("calls", node.limits.gather_s)
        self._stopping = False
        self._recorders = operators_assembly.create_recorders(
            self.events, lambda: self._status.read()
        )
        self._shared = shared_parts.SharedParts(
            node=node,
            incarnation=incarnation,
            log=self.events,
            event_loop=self.loop,
            rng=random.Random(),
            metrics=self._recorders.metrics,
            memory=held_bytes.HeldBytes(node.limits.held_bytes),
            on_malformed=self._recorders.malformed_entries.report,
        )
        self._create_parts(alone_since_ms or incarnation)
        self._create_servers()
        self._status = self._create_status()
        self.operator_port = self._create_operator_port()
        self._take_parts()

    def _create_parts(self, alone_since_ms: int) -> None:
        """Has each package create its parts, in the order in which they need each other."""
        shared, surroundings = self._shared, self.environment
        self.store = store_assembly.create(
            shared,
            functools.partial(surroundings.create_store, self.settings),
            surroundings.parse_text,
        )
        self.caller_tables = callers_assembly.create_tables(
            self.settings.fleet_secret, self.store.freshness, surroundings.keys_in_text
        )
        self.fleet = control_assembly.create(
            shared,
            self.store,
            self.caller_tables.keys,
            surroundings.keys_in_text,
            surroundings.service,
        )
        self.upstreams = upstreams = upstreams_assembly.create(
            shared,
            self.store.configuration,
            self.fleet,
            self.store.evacuations,
            upstream_dialect=surroundings.upstream_dialect,
            read_instance=surroundings.read_instance,
            read_cold_s=surroundings.read_cold_s,
            accepts_close_delimited=surroundings.accepts_close_delimited,
            alone_since_ms=alone_since_ms,
            is_stopping=lambda: self._stopping,
        )
        store_assembly.log_accepted(self.events, self.store.configuration)
        self.calls = call_assembly.create(
            shared,
            self.fleet,
            upstreams.upstream,
            upstreams.pools,
            self.caller_tables.thresholds,
            upstreams.attribution,
        )
        self._guard_completion()
        self.callers = callers_assembly.create(
            shared,
            self.store,
            self.caller_tables,
            self.fleet,
            self.calls,
            surroundings.caller_dialect,
            surroundings.service,
            upstreams.attribution,
        )

    def _guard_completion(self) -> None:
        """Lets the local upstream refuse requests that hardly ever complete, if it is so set."""
        tracker, routes = self.upstreams.tracker, self.calls.routes
        if self.settings.shedding.scarce and tracker is not None and routes is not None:
            tracker.guard = completion.CompletionGuard(
                routes.local_dependencies_of, self.caller_tables.thresholds.accepted_fraction
            )

    def _create_servers(self) -> None:
        shared, routes = self._shared, self.fleet.routes
        http = http_ports.HttpPorts(
            self.settings, self.loop, shared.metrics, routes.limits, shared.memory
        )
        self.upstream_server = upstreams_assembly.create_server(
            shared,
            self.upstreams,
            routes,
            self.calls.dispatcher,
            self.callers.shutdown.limit,
            self.environment.make_upstream_handler,
            http.create,
        )
        self.relay_server = call_assembly.create_server(
            shared,
            self.calls,
            self.upstreams.upstream,
            self.callers.at_most_once,
            routes.name_route,
            http.create,
        )
        self.caller_server = callers_assembly.create_server(shared, self.callers, http.create)
        self.ready_server = operators_assembly.create_ready_server(shared, self.ready, http.create)

    def _create_status(self) -> node_status.StatusReader:
        return node_status.StatusReader(
            self.settings,
            self.incarnation,
            self.fleet.known.members,
            self.store.configuration,
            self.caller_tables.keys,
            self.upstreams.gate,
            self.upstreams.upstream,
            self.callers.team_rates.shares,
            self.callers.team_rates.tokens,
            self.store.freshness,
            self.store.restorations,
            self.calls.routes.needs if self.calls.routes else tuple,
        )

    def _create_operator_port(self) -> port.OperatorPort:
        sources = operators_assembly.PageSources(
            self._recorders.registry,
            self._status.read,
            self.callers.withdrawal.withdraw,
            self._preview,
        )
        return operators_assembly.create_port(self._shared, sources)

    def _preview(self, query: route_preview.Query) -> route_preview.RoutePreview:
        """Returns where a request would go now; called from the thread of the operators' port."""
        previewer = self.callers.previewer
        return self.loop.call(lambda: previewer.preview(query, time.monotonic()))

    def _take_parts(self) -> None:
        """Takes the parts that are started or that end by themselves from those of the packages."""
        self.objects = self.store.objects
        self.channels = self.fleet.known.channels
        self.suspects = self.fleet.known.suspects
        self.gossip = self.fleet.gossip
        self.freshness_port = self.fleet.freshness_port
        self.pools = self.upstreams.pools
        self.team_rates = self.callers.team_rates
        self.platform_tasks = [*self.fleet.tasks, *self.callers.tasks]

    def ready(self) -> bool:
        """Returns True while load balancers should send new calls to this node."""
        return self.fleet.routes.is_configured and not self._stopping

    def start(self, bound: ports.BoundPorts) -> None:
        """Opens all ports and starts all tasks.

        Args:
            bound: All ports of this node.

        Raises:
            AddressUnavailableError: Another process has begun to listen on a port since they were
                bound; parts already started are stopped.
        """
        node = self.settings
        # gRPC binds its port itself.
        bound.take("control").close()
        self.control = control.ControlServer(
            node.addresses.control, node.fleet_secret, (self.gossip, self.team_rates, self.suspects)
        )
        try:
            part_order.open_ports(self._ports(), bound, self._port_ends())
        except errors.AddressUnavailableError:
            self.control.stop(0)
            raise
        for task in self._tasks():
            task.start()
        self.events.emit("node.started", incarnation=self.incarnation)

    def _ports(self) -> dict[str, part_order.Port]:
        """Returns the parts with a port of their own, in the order in which they open it."""
        ready = {"ready": self.ready_server} if self.ready_server else {}
        return {
            "relay": self.relay_server,
            "upstream": self.upstream_server,
            "callers": self.caller_server,
            "operators": self.operator_port,
            **ready,
            ports.DATAGRAMS: self.freshness_port,
        }

    def _tasks(self) -> Sequence[part_order.Task]:
        """Returns the parts that start once all ports are open, in their order.

        Quota shares that this host held may be taken over only by the process that has bound the
        host's ports.
        """
        return (self.control, self.gossip, self.team_rates, *self.platform_tasks)

    def _port_ends(self) -> dict[str, part_order.End]:
        """Returns how each part with a port ends by itself, as in a start that fails."""
        ready_server = self.ready_server
        ready = {"ready": lambda _: ready_server.stop(0)} if ready_server else {}
        return {
            "callers": self.caller_server.stop,
            "relay": self.relay_server.stop,
            "upstream": self.upstream_server.stop,
            "operators": part_order.without_limit(self.operator_port.stop),
            **ready,
            ports.DATAGRAMS: part_order.without_limit(self.freshness_port.stop),
        }

    def _end_connections(self, left_s: float) -> None:
        others = (self.relay_server, self.upstream_server)
        self.loop.run(port_ends.end_all(self.caller_server, others, left_s))

    def _ends(self) -> dict[str, part_order.End]:
        """Returns how each part ends, in the order of a stop once new calls are refused.

        What follows the connections must not wait for the platform or other nodes once the drain
        time is over: the process may be killed soon after it.
        """
        without_limit = part_order.without_limit
        ends = self._port_ends()
        ready = {"ready": ends["ready"]} if "ready" in ends else {}
        return {
            "connections": self._end_connections,
            "team rates": self.team_rates.stop,
            "platform tasks": without_limit(lambda: part_order.stop_tasks(self.platform_tasks)),
            ports.DATAGRAMS: ends[ports.DATAGRAMS],
            "gossip": lambda _: self.gossip.stop(wait=False),
            "suspects": without_limit(self.suspects.stop),
            "control": lambda left_s: self.control.stop(
                min(CONTROL_GRACE_S, max(MIN_CONTROL_GRACE_S, left_s))
            ),
            "channels": without_limit(self.channels.close),
            "objects": without_limit(self.objects.close),
            "operators": ends["operators"],
            **ready,
            "pools": lambda _: self.loop.call(self.pools.close),
            "loop": without_limit(self.loop.stop),
        }

    def stop(self, requested_at: float) -> None:
        """Shuts down gracefully: running calls may finish until the drain time has passed.

        Args:
            requested_at: Monotonic time in seconds from which the times of the stop count; earlier
                than now if the stop was asked for while the node was being started.
        """
        self._stopping = True
        limits, now = self.settings.limits, time.monotonic()
        self.events.emit("node.stopping", requested_s_ago=round(now - requested_at, 3))
        drain_deadline = requested_at + limits.drain_s
        notice_deadline = requested_at + min(limits.notice_s, limits.drain_s)
        # The times are fixed before anything that can take long.
        self.callers.shutdown.begin(notice_deadline, drain_deadline)
        self.fleet.known.members.publish_lost(now)
        self.upstreams.gate.drain()
        # This node still answers while its departure spreads to other nodes and load balancers.
        self.caller_server.close_after_answers()
        self.relay_server.close_after_answers()
        self.gossip.start_urgent_round()
        self.team_rates.start_return()
        time.sleep(max(0.0, notice_deadline - time.monotonic()))
        after_s = round(time.monotonic() - requested_at, 3)
        self.events.emit("node.draining", after_s=after_s, notice_s=limits.notice_s)
        limit = drain_deadline + limits.end_s
        held = part_order.end_all(self._ends(), drain_deadline, limit, self._report_end)
        if held:
            self.events.emit("node.part-held", part=held, end_s=limits.end_s)

    def _report_end(self, part: str, took_s: float, left_s: float) -> None:
        """Leaves a line for each part, as a process that is killed can't tell what held it."""
        self.events.emit(
            "node.part-ended", part=part, took_s=round(took_s, 3), left_s=round(left_s, 3)
        )
