"""Composition root of a node: creates its parts, connects them, starts and stops them."""

import functools
import random
import time
from collections.abc import Sequence

from bergamotridge import (
    environment,
    errors,
    events,
    http_ports,
    metrics,
    part_order,
    ports,
    settings,
    shared_parts,
)
from bergamotridge.callers import assembly as callers_assembly
from bergamotridge.nodes import (
    call_assembly,
    control,
    control_assembly,
)
from bergamotridge.operators import (
    malformed_entries,
    node_metrics,
    node_status,
    readiness,
)
from bergamotridge.operators import port as operators_port
from bergamotridge.store import assembly as store_assembly
from bergamotridge.upstreams import assembly as upstreams_assembly
from bergamotridge.util import loop

CONTROL_GRACE_S = 0.5
MIN_CONTROL_GRACE_S = 0.05


class Application:
    """One node: creates and connects all parts; `start` and `stop` run them.

    To add a part, create it in the `_create_..._parts` method of the side that it communicates
    with, pass it to the parts that use it, and add it to the lists of what is started (`_ports` or
    `_tasks`) and of what ends (`_ends`).
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
        self._alone_since_ms = alone_since_ms or incarnation
        self.environment = node_environment or environment.Environment()
        self.incarnation = incarnation
        self.events = events.EventLog(
            node.host, incarnation, node.failure_domain, node.limits.events
        )
        self._rng = random.Random()
        self._stopping = False
        self.loop = loop.Loop("calls", node.limits.gather_s)
        self.metrics = metrics.Metrics()
        self.node_metrics = node_metrics.NodeMetrics(self.metrics, lambda: self.status.read())
        self.malformed_entries = malformed_entries.MalformedEntries(
            self.events, self.node_metrics.count_malformed_entry
        )
        self._shared = shared_parts.SharedParts(
            node=node,
            incarnation=incarnation,
            log=self.events,
            event_loop=self.loop,
            rng=self._rng,
            metrics=self.node_metrics,
            on_malformed=self.malformed_entries.report,
        )
        self._create_platform_parts()
        self._create_control_parts()
        self._create_upstream_parts()
        self._create_node_parts()
        self._create_caller_parts()
        self._create_operator_parts()

    def _create_platform_parts(self) -> None:
        node = self.settings
        self._store = store_assembly.create(
            self._shared,
            functools.partial(self.environment.create_store, node),
            self.environment.parse_text,
        )
        self.restorations = self._store.restorations
        self.objects = self._store.objects
        self.configuration = self._store.configuration
        self.freshness = self._store.freshness
        self._tables = callers_assembly.create_tables(
            node.fleet_secret, self.freshness, self.environment.keys_in_text
        )

    def _create_control_parts(self) -> None:
        surroundings = self.environment
        self._control = control_assembly.create(
            self._shared,
            self._store,
            self._tables.keys,
            surroundings.keys_in_text,
            surroundings.service,
        )
        self.routes = self._control.routes
        self.members = self._control.known.members
        self.channels = self._control.known.channels
        self.suspects = self._control.known.suspects
        self.gossip = self._control.gossip
        self.freshness_port = self._control.freshness_port

    def _create_upstream_parts(self) -> None:
        surroundings = self.environment
        self._upstreams = upstreams_assembly.create(
            self._shared,
            self.configuration,
            self._control,
            upstream_dialect=surroundings.upstream_dialect,
            read_instance=surroundings.read_instance,
            accepts_close_delimited=surroundings.accepts_close_delimited,
            alone_since_ms=self._alone_since_ms,
            is_stopping=lambda: self._stopping,
        )
        store_assembly.log_accepted(self.events, self.configuration)
        self.pools = self._upstreams.pools
        self.gate = self._upstreams.gate
        self.upstream = self._upstreams.upstream

    def _create_node_parts(self) -> None:
        self._calls = call_assembly.create(
            self._shared, self._control, self.upstream, self.pools, self._tables.thresholds
        )

    def _create_caller_parts(self) -> None:
        surroundings = self.environment
        self._callers = callers_assembly.create(
            self._shared,
            self._store,
            self._tables,
            self._control,
            self._calls,
            surroundings.caller_dialect,
            surroundings.service,
        )
        self.team_rates = self._callers.team_rates
        self.platform_tasks = [*self._control.tasks, *self._callers.tasks]
        node = self.settings
        http = http_ports.HttpPorts(node, self.loop, self.node_metrics, self.routes.limits)
        self.upstream_server = upstreams_assembly.create_server(
            self._shared,
            self._upstreams,
            self.routes,
            self._calls.dispatcher,
            self._callers.shutdown.limit,
            self.environment.make_upstream_handler,
            http.create,
        )
        self.relay_server = call_assembly.create_server(
            self._shared, self._calls, self.upstream, self._callers.at_most_once, http.create
        )
        self.caller_server = callers_assembly.create_server(
            self._shared, self._callers, http.create
        )
        self.ready_server = None
        if node.addresses.ready:
            self.ready_server = http.create(
                "ready", readiness.build_handler(self.ready), readiness.CONNECTIONS
            )

    def _create_operator_parts(self) -> None:
        node = self.settings
        self.status = node_status.StatusReader(
            node,
            self.incarnation,
            self.members,
            self.configuration,
            self._tables.keys,
            self.gate,
            self.upstream,
            self.team_rates.shares,
            self.team_rates.tokens,
            self.freshness,
            self.restorations,
        )
        self.events.add_listener(self.node_metrics.count_event)
        self.operator_port = operators_port.OperatorPort(
            node.addresses.operators, self._create_operator_pages
        )

    def _create_operator_pages(self) -> Sequence[object]:
        # Not imported before, as all of werkzeug comes with it.
        from bergamotridge.operators import pages

        return (
            pages.metrics_page(self.metrics),
            pages.status_page(self.status.read),
            pages.events_page(self.events),
            pages.withdraw_page(self.settings.fleet_secret, self._callers.withdrawal.withdraw),
        )

    def ready(self) -> bool:
        """Returns True while load balancers should send new calls to this node."""
        return self.routes.is_configured and not self._stopping

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
            part_order.open_ports(self._ports(), bound, self._ends())
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

    def _ends(self) -> dict[str, part_order.End]:
        """Returns how each part ends, in the order of a stop once new calls are refused."""
        without_limit = part_order.without_limit
        ready_server = self.ready_server
        ready = {"ready": lambda _: ready_server.stop(0)} if ready_server else {}
        return {
            "callers": self.caller_server.stop,
            "relay": self.relay_server.stop,
            "upstream": self.upstream_server.stop,
            "team rates": self.team_rates.stop,
            "platform tasks": without_limit(self._stop_platform_tasks),
            ports.DATAGRAMS: without_limit(self.freshness_port.stop),
            # What follows must not outlast the drain time: the process may be killed soon after it.
            "gossip": lambda _: self.gossip.stop(wait=False),
            "suspects": without_limit(self.suspects.stop),
            "control": lambda left_s: self.control.stop(
                min(CONTROL_GRACE_S, max(MIN_CONTROL_GRACE_S, left_s))
            ),
            "channels": without_limit(self.channels.close),
            "objects": without_limit(self.objects.close),
            "operators": without_limit(self.operator_port.stop),
            **ready,
            "pools": lambda _: self.loop.call(self.pools.close),
            "loop": without_limit(self.loop.stop),
        }

    def _stop_platform_tasks(self) -> None:
        for task in self.platform_tasks:
            task.stop()

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
        self._callers.shutdown.begin(notice_deadline, drain_deadline)
        self.members.publish_lost(now)
        self.gate.drain()
        # This node still answers while its departure spreads to other nodes and load balancers.
        self.caller_server.close_after_answers()
        self.relay_server.close_after_answers()
        self.gossip.start_urgent_round()
        self.team_rates.start_return()
        time.sleep(max(0.0, notice_deadline - time.monotonic()))
        after_s = round(time.monotonic() - requested_at, 3)
        self.events.emit("node.draining", after_s=after_s, notice_s=limits.notice_s)
        part_order.end_all(self._ends().values(), drain_deadline)
