"""Composition root of a node: creates its parts, connects them, starts and stops them."""

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
)
from bergamotridge.callers import (
    at_most_once,
    claim_rewriter,
    claims,
    idempotency,
    keys,
    quota_rates,
    shedding,
    shutdown,
    text_keys,
    tree_shedding,
    withdrawal_confirmer,
    withdrawals,
)
from bergamotridge.callers import port as callers_port
from bergamotridge.nodes import (
    bootstrap,
    budget,
    call_graph,
    choice,
    confirmation,
    context,
    control,
    dependency_thresholds,
    dispatch,
    exchange,
    fingerprint,
    freshness_exchange,
    gossip,
    membership,
    peers,
    quota,
    record,
    relay,
    routing,
    suspect_sharing,
    watch_election,
)
from bergamotridge.nodes import freshness as nodes_freshness
from bergamotridge.operators import (
    crash_observer,
    malformed_entries,
    node_metrics,
    node_status,
    readiness,
    upstream_observer,
)
from bergamotridge.operators import port as operators_port
from bergamotridge.store import (
    configuration,
    counted,
    freshness,
    holding,
    read_policy,
    replica,
    restoration_record,
    restoration_recorder,
    restorations,
    watch,
)
from bergamotridge.upstreams import (
    announcement,
    gate,
    live_calls,
    local_upstream,
    quarantine,
    report_check,
    report_proof,
)
from bergamotridge.upstreams import port as upstreams_port
from bergamotridge.util import clock, hlc, http_client, loop

CONTROL_GRACE_S = 0.5
MIN_CONTROL_GRACE_S = 0.05
# Of the longest allowed age of the configuration: how long a watch, or a request to another node,
# waits for news, and the least progress that counts as news.
WATCH_AGE_FRACTION = 0.4
NEWS_AGE_FRACTION = 0.05
# Over the whole fleet, while the platform does not answer.
PLATFORM_RETRIES_PER_S = 8.0
WITHDRAWAL_INTERVAL_S = 1.0


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
        self._create_platform_parts()
        self._create_member_parts()
        self._create_upstream_parts()
        self._create_node_parts()
        self._create_caller_parts()
        self._create_operator_parts()

    def _create_platform_parts(self) -> None:
        node = self.settings
        self.restorations = restorations.Restorations()
        self.restorations.add_listener(self._record_restoration)
        self.objects = counted.CountedStore(
            self.environment.create_store(node, self.restorations),
            self.node_metrics.count_platform_request,
            self.malformed_entries.report,
        )
        self._reservation_s = claims.reservation_s(idempotency.KEY_LIFETIME_S)
        self.restoration_record = restoration_record.RestorationRecord(
            self.objects, self.restorations, self._reservation_s
        )
        self.routes = routing.CurrentRoutes()
        self.configuration = configuration.ConfigurationStore(self.environment.parse_text)
        self.configuration.add_listener(self._apply_configuration)
        self.freshness = freshness.Freshness()
        self.keys = keys.KeyRing(node.fleet_secret, lambda: self.freshness.was_current(keys.KIND))

    def _create_member_parts(self) -> None:
        """Creates what this node knows of other hosts, and of the crashes of their upstreams."""
        node = self.settings
        own_record = record.UpstreamRecord(
            host=node.host,
            incarnation=self.incarnation,
            version=1,
            failure_domain=node.failure_domain,
            region=node.region,
            service=self.environment.service,
            state=record.State.STARTING,
            slots=0,
            load=0.0,
            relay_address=node.addresses.relay_for_nodes,
            control_address=node.addresses.control_for_nodes,
            operators_address=node.addresses.operators,
        )
        self.members = membership.Membership(
            own_record, membership.MembershipTimings(heartbeat_s=node.limits.heartbeat_s)
        )
        self.members.add_listener(self._record_member_change)
        self.channels = control.ChannelPool(node.fleet_secret)
        self.suspects = suspect_sharing.SuspectSharing(
            self.members, self.channels, self._rng, self.node_metrics.count_control_bytes
        )
        self.members.add_listener(self.suspects.notice_member)

    def _create_upstream_parts(self) -> None:
        limits = self.settings.limits
        self.pools = http_client.Pools(
            limits.body_bytes,
            limits.head_bytes,
            self.environment.accepts_close_delimited,
            self.loop.record_arrival,
            limits.answers_bytes,
        )
        self.gate = gate.Gate(1, limits.queue)
        self.live_calls = live_calls.LiveCalls()
        self.quarantine = quarantine.Quarantine(
            self.settings.host,
            fingerprint.Fingerprinter(self.settings.fleet_secret),
            self.suspects,
            crash_observer.CrashObserver(self.events, self.node_metrics, self.routes.name_route),
        )
        observer = upstream_observer.UpstreamObserver(self.events, self.node_metrics)
        self.upstream = local_upstream.LocalUpstream(
            self.gate,
            self.live_calls,
            self.pools,
            self.environment.upstream_dialect,
            observer,
            self._publish_announcement,
            self.quarantine,
        )
        self.report_check = report_check.ReportCheck(
            report_proof.ReportProof(self._alone_since_ms, self.settings.limits.heartbeat_s),
            self._health_path,
            self.environment.read_instance,
            self._apply_announcement,
            observer,
            self.pools,
            self.loop,
            time.monotonic,
        )
        self.configuration.add_listener(lambda _: self.report_check.handle_configuration())

    def _create_node_parts(self) -> None:
        node = self.settings
        keys_in_text = self.environment.keys_in_text
        replicas = (self.configuration,) if keys_in_text else (self.configuration, self.keys)
        peer_chooser = peers.PeerChooser(self.members, node.peers.first, self._rng)
        session = self._rng.getrandbits(63) | 1  # Never 0, which stands for no session.
        self.gossip = gossip.Gossip(
            self.members,
            peer_chooser,
            exchange.Exchange(
                self.members,
                replicas,
                self.keys,
                session,
                self.events.clock,
                on_malformed=self.malformed_entries.report,
            ),
            replicas,
            self.channels,
            gossip.GossipTimings(interval_s=node.peers.interval_s, links=node.peers.fanout),
            self._rng,
            self.node_metrics.count_control_bytes,
            self.malformed_entries.report,
            self.restorations,
        )
        self.restorations.add_listener(lambda _: self.gossip.start_urgent_round())
        self._create_platform_readers(replicas, peer_chooser)
        self.thresholds = shedding.ThresholdTable()
        self.graph = call_graph.CallGraph(self.routes.dependencies_of)
        self.dependency_thresholds = dependency_thresholds.DependencyThresholds(
            self.thresholds, self.graph
        )
        self.relay_client = relay.RelayClient(
            self.pools, context.relay_token(node.fleet_secret), self.events
        )
        self.dispatcher = dispatch.Dispatcher(
            node.host,
            self.upstream,
            self.relay_client,
            self.members,
            choice.UpstreamChooser(node.host, node.failure_domain, node.region, self._rng),
            budget.RetryBudget(
                node.retries.ratio,
                node.retries.slack,
                node.retries.window_s,
                self.members.size,
            ),
            self.dependency_thresholds,
            self.events,
        )

    def _create_platform_readers(
        self, replicas: Sequence[replica.Replica], peer_chooser: peers.PeerChooser
    ) -> None:
        """Creates the parts that keep the replicas current with few reads of the platform."""
        node, max_age_s = self.settings, self.settings.platform.max_age_s
        election = watch_election.WatchElection(self.members, peer_chooser, node.platform.elected)
        self.freshness_port = nodes_freshness.FreshnessPort(
            node.addresses.control,
            node.fleet_secret,
            freshness_exchange.FreshnessExchange(
                self.freshness, replicas, NEWS_AGE_FRACTION * max_age_s, self._rng
            ),
            election.sources,
            self.gossip.fetch,
            self.loop,
            nodes_freshness.FreshnessTimings(wait_s=WATCH_AGE_FRACTION * max_age_s),
            self.node_metrics.count_control_bytes,
        )
        self.freshness.add_listener(self.freshness_port.notify_progress)
        self.configuration.add_listener(lambda _: self.freshness_port.notify_progress())
        timings = watch.WatchTimings(
            max_first_delay_s=node.platform.start_spread_s,
            max_age_s=max_age_s,
            wait_s=WATCH_AGE_FRACTION * max_age_s,
        )

        def read_duty() -> read_policy.ReadDuty:
            retry_cap_s = self.members.size() / PLATFORM_RETRIES_PER_S
            return read_policy.ReadDuty(election.read_age_fraction(), retry_cap_s)

        def add_seed_addresses(addresses: Sequence[str]) -> None:
            peer_chooser.add_seed_addresses(addresses)
            self.gossip.start_urgent_round()

        self.platform_tasks = [
            *(
                watch.Watcher(self.objects, item, self.freshness, timings, self._rng, read_duty)
                for item in replicas
            ),
            bootstrap.Bootstrap(
                self.objects,
                self.members,
                add_seed_addresses,
                election,
                bootstrap.BootstrapTimings(),
                self._rng,
                self.malformed_entries.report,
                lambda: self.restorations.epoch,
            ),
        ]
        recorder = restoration_recorder.RestorationRecorder(
            self.restoration_record,
            self._reservation_s,
            lambda: election.is_elected(time.monotonic()),
            self._rng,
        )
        self.restorations.add_listener(lambda _: recorder.handle_restoration())
        self.restoration_record.listen_for_doubt(recorder.handle_restoration)
        self.platform_tasks.append(recorder)
        if not self.environment.keys_in_text:
            self.platform_tasks.append(
                withdrawals.WithdrawalWriter(
                    self.objects, self.keys, WITHDRAWAL_INTERVAL_S, self._rng, election.is_elected
                )
            )

    def _create_caller_parts(self) -> None:
        node = self.settings
        timings = holding.Timings(
            lease_s=node.quota.lease_s,
            adjust_s=node.quota.adjust_s,
            token_lifetime_s=node.quota.token_lifetime_s,
            join_after_s=node.quota.join_after_s,
        )
        self.team_rates = quota_rates.QuotaRates(
            node.host,
            self.incarnation,
            node.failure_domain,
            self.objects,
            quota.QuotaClient(self.channels, self.node_metrics.count_control_bytes),
            self.members.members,
            self.routes.teams,
            quota_rates.QuotaSettings(
                timings, per_domain=node.quota.per_domain, groups=node.quota.groups
            ),
            restored_epoch=lambda: self.restorations.recent_epoch(
                timings.expiry_s, clock.boot_time()
            ),
            on_malformed=self.malformed_entries.report,
        )
        self.restorations.add_listener(lambda _: self.team_rates.handle_restoration())
        self.shutdown = shutdown.Shutdown()
        node_claims = claims.Claims(
            node.host,
            self.incarnation,
            self.objects,
            may_have_lost=self._may_have_lost_claims,
            confirm_restorations=self.restoration_record.confirm,
        )
        rewriter = claim_rewriter.ClaimRewriter(node_claims, self._rng)
        self.restorations.add_listener(lambda _: rewriter.handle_restoration())
        self.platform_tasks.append(rewriter)
        self.at_most_once_dispatcher = at_most_once.AtMostOnceDispatcher(
            node.host,
            node_claims,
            self.dispatcher,
            self.relay_client,
            self.members.members,
            self._current_stamp,
            self.shutdown,
        )
        self.callers = callers_port.CallerPort(
            routes=self.routes,
            key_ring=(
                text_keys.TextKeys(self.routes) if self.environment.keys_in_text else self.keys
            ),
            team_rates=self.team_rates,
            thresholds=self.thresholds,
            tree_shedding=tree_shedding.TreeShedding(self.thresholds, self.graph.dependencies_of),
            call_graph=self.graph,
            at_most_once=self.at_most_once_dispatcher,
            dispatcher=self.dispatcher,
            log=self.events,
            retries=node.limits.retries,
            record_answer=self._count_answer,
            dialect=self.environment.caller_dialect,
            origin=self.environment.service,
            node_shutdown=self.shutdown,
        )
        upstream_port = upstreams_port.UpstreamPort(
            self.live_calls,
            self.dispatcher,
            self._apply_announcement,
            self.routes,
            self.events,
            self.shutdown.limit,
            self.malformed_entries.report,
        )
        relay_port = relay.RelayPort(
            self.upstream,
            context.relay_token(node.fleet_secret),
            self.events,
            self.dependency_thresholds,
            self.at_most_once_dispatcher,
        )
        limits = node.limits
        http = http_ports.HttpPorts(node, self.loop, self.node_metrics, self.routes.limits)
        upstream_handler = self.environment.make_upstream_handler(
            upstream_port.handle, self.report_check.receive, self.malformed_entries.report
        )
        self.upstream_server = http.create(
            "upstream", upstream_handler, limits.upstream_connections
        )
        self.relay_server = http.create("relay", relay_port.handle, limits.relay_connections)
        self.caller_server = http.create(
            http_ports.CALLERS, self.callers.handle, limits.caller_connections
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
            self.keys,
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
            pages.withdraw_page(self.settings.fleet_secret, self._withdraw_key),
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
        self.shutdown.begin(notice_deadline, drain_deadline)
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

    def _apply_configuration(self, accepted: configuration.Configuration) -> None:
        self.routes.replace(accepted.text, str(accepted.version))
        self._configure_gate()
        self.events.emit(
            "configuration.accepted",
            version=str(accepted.version),
            change_id=accepted.change_id,
        )

    def _configure_gate(self) -> None:
        current = self.configuration.current
        service = current.text.services.get(self.upstream.service) if current else None
        if service is not None:
            self.gate.configure(service.slots, service.connections)

    def _health_path(self, service: str) -> str:
        current = self.configuration.current
        known = current.text.services.get(service) if current else None
        return known.health_path if known else ""

    def _apply_announcement(self, received: announcement.Announcement, now: float) -> None:
        is_new_service = self.upstream.service != received.service
        if not self.upstream.apply_announcement(received, now):
            return
        if is_new_service:
            self._configure_gate()
        self._publish_announcement(self.upstream.announcement, now)

    def _publish_announcement(self, current: announcement.Announcement, now: float) -> None:
        if current.state is record.State.DRAINING:
            self.members.record_leave(current.instance, current.incarnation, now)
        if self._stopping:
            return
        was_lost = self.members.own.state is record.State.LOST
        self.members.announce(current.service, current.state, current.slots, current.load, now)
        if was_lost and current.state is record.State.READY:
            # Calls may wait for it at the other nodes.
            self.gossip.start_urgent_round()

    def _record_member_change(
        self, changed: record.UpstreamRecord, change: membership.Change
    ) -> None:
        self.events.emit(
            f"member.{change.value}",
            about=changed.host,
            state=changed.state.value,
            service=changed.service,
            incarnation_of=changed.incarnation,
        )

    def _record_restoration(self, restoration: restorations.Restoration) -> None:
        self.events.emit("store.restored", epoch=restoration.epoch, told_by=restoration.source)

    def _may_have_lost_claims(self) -> bool:
        now = clock.boot_time()
        is_restored = self.restoration_record.is_recent(now)
        return is_restored or not self.restorations.is_informed(now)

    def _withdraw_key(self, key_id: str) -> confirmation.Knowledge:
        if self.environment.keys_in_text:
            raise errors.NotFoundError(
                f"key '{key_id}' can't be withdrawn at a node: keys are part of the operator's "
                f"text here; put a text without the key into force"
            )
        self.events.emit("key.withdrawn", cause="operator", key_id=key_id)
        return withdrawal_confirmer.WithdrawalConfirmer(
            self.keys, self.members, self.gossip.tell_withdrawn, self.objects, self._rng
        ).withdraw(key_id)

    def _current_stamp(self) -> hlc.Stamp:
        return self.events.clock.stamp(time.time_ns() // 1_000_000)

    def _count_answer(self, outcome: callers_port.AnswerSummary) -> None:
        self.node_metrics.count_answer(
            outcome.team, outcome.importance, outcome.reason, outcome.verdict, outcome.seconds
        )
