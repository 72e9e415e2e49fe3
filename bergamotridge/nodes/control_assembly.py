"""Creates the parts of a node that share the control state with other nodes."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from bergamotridge import events, part_order, shared_parts
from bergamotridge.nodes import (
    bootstrap,
    control,
    evacuated_directory,
    exchange,
    freshness,
    freshness_exchange,
    gossip,
    membership,
    peers,
    record,
    routing,
    suspect_sharing,
    watch_election,
)
from bergamotridge.store import assembly as store_assembly
from bergamotridge.store import configuration, read_policy, replica, watch

# Of the longest allowed age of the configuration: how long a watch, or a request to another node,
# waits for news, and the least progress that counts as news.
WATCH_AGE_FRACTION = 0.4
NEWS_AGE_FRACTION = 0.05
# Over the whole fleet, while the platform does not answer.
PLATFORM_RETRIES_PER_S = 8.0


class KeyReplica(replica.Replica, exchange.Withdrawals, Protocol):
    """Replica of the keys, with the withdrawals that the platform does not have yet."""


@attrs.frozen
class MemberParts:
    """What this node knows of other hosts, and how it reaches them.

    Attributes:
        members: Records of all hosts.
        channels: Channels to the control ports of others.
        suspects: What the nodes of a service know of requests under which upstreams crashed.
    """

    members: membership.Membership
    channels: control.ChannelPool
    suspects: suspect_sharing.SuspectSharing


@attrs.frozen
class ControlParts:
    """The control state of a node, and the parts that bring it up to date.

    Attributes:
        routes: Routes of the configuration in force.
        known: What this node knows of other hosts.
        directory: Upstreams that may be chosen.
        peers: Chooses the nodes that the state is exchanged with.
        gossip: Exchanges the state with other nodes.
        freshness_port: Tells other nodes how current the replicas are.
        election: Decides which nodes watch the platform for the others.
        tasks: Tasks that read the platform, in the order of their start.
    """

    routes: routing.CurrentRoutes
    known: MemberParts
    directory: evacuated_directory.EvacuatedDirectory
    peers: peers.PeerChooser
    gossip: gossip.Gossip
    freshness_port: freshness.FreshnessPort
    election: watch_election.WatchElection
    tasks: Sequence[part_order.StoppableTask]


def create(
    shared: shared_parts.SharedParts,
    store: store_assembly.StoreParts,
    key_ring: KeyReplica,
    keys_in_text: bool,
    service: str,
) -> ControlParts:
    """Creates the parts; nothing is sent before they are started.

    Args:
        shared: Parts that all packages use.
        store: Access to the platform.
        key_ring: Replica of the keys.
        keys_in_text: True if the operator's text holds the keys; they have no replica then.
        service: Service of this host, "" if its upstream names it.
    """
    routes = _create_routes(store.configuration)
    known = _create_members(shared, service)
    replicas: tuple[replica.Replica, ...] = (store.configuration,)
    if not keys_in_text:
        replicas += (key_ring,)
    if shared.node.platform.evacuations:
        # First, as peers are asked in this order: a node that starts anew knows the evacuations
        # when the configuration lets it send calls.
        replicas = (store.evacuations, *replicas)
    peer_chooser = peers.PeerChooser(known.members, shared.node.peers.first, shared.rng)
    gossiping = _create_gossip(shared, store, known, replicas, key_ring, peer_chooser)
    election = watch_election.WatchElection(
        known.members, peer_chooser, shared.node.platform.elected
    )
    return ControlParts(
        routes=routes,
        known=known,
        directory=evacuated_directory.EvacuatedDirectory(
            known.members, lambda: store.evacuations.domains
        ),
        peers=peer_chooser,
        gossip=gossiping,
        freshness_port=_create_freshness_port(shared, store, replicas, election, gossiping),
        election=election,
        tasks=(
            *_create_watchers(shared, store, known.members, replicas, election),
            _create_bootstrap(shared, store, known.members, peer_chooser, election, gossiping),
        ),
    )


def _create_routes(store: configuration.ConfigurationStore) -> routing.CurrentRoutes:
    routes = routing.CurrentRoutes()
    store.add_listener(lambda accepted: routes.replace(accepted.text, str(accepted.version)))
    return routes


def _create_members(shared: shared_parts.SharedParts, service: str) -> MemberParts:
    node = shared.node
    own_record = record.UpstreamRecord(
        host=node.host,
        incarnation=shared.incarnation,
        version=1,
        failure_domain=node.failure_domain,
        region=node.region,
        service=service,
        state=record.State.STARTING,
        slots=0,
        load=0.0,
        relay_address=node.addresses.relay_for_nodes,
        control_address=node.addresses.control_for_nodes,
        operators_address=node.addresses.operators,
    )
    members = membership.Membership(
        own_record, membership.MembershipTimings(heartbeat_s=node.limits.heartbeat_s)
    )
    _log_changes(shared.log, members)
    channels = control.ChannelPool(node.fleet_secret)
    suspects = suspect_sharing.SuspectSharing(
        members, channels, shared.rng, shared.metrics.count_control_bytes
    )
    members.add_listener(suspects.notice_member)
    return MemberParts(members, channels, suspects)


def _log_changes(log: events.EventLog, members: membership.Membership) -> None:
    def record_change(changed: record.UpstreamRecord, change: membership.Change) -> None:
        log.emit(
            f"member.{change.value}",
            about=changed.host,
            state=changed.state.value,
            service=changed.service,
            incarnation_of=changed.incarnation,
        )

    members.add_listener(record_change)


def _create_gossip(
    shared: shared_parts.SharedParts,
    store: store_assembly.StoreParts,
    known: MemberParts,
    replicas: Sequence[replica.Replica],
    withdrawals: exchange.Withdrawals,
    peer_chooser: peers.PeerChooser,
) -> gossip.Gossip:
    node = shared.node
    session = shared.rng.getrandbits(63) | 1  # Never 0, which stands for no session.
    gossip_exchange = exchange.Exchange(
        known.members,
        replicas,
        withdrawals,
        session,
        shared.log.clock,
        on_malformed=shared.on_malformed,
    )
    gossiping = gossip.Gossip(
        known.members,
        peer_chooser,
        gossip_exchange,
        replicas,
        known.channels,
        gossip.GossipTimings(interval_s=node.peers.interval_s, links=node.peers.fanout),
        shared.rng,
        shared.metrics.count_control_bytes,
        shared.on_malformed,
        store.restorations,
    )
    store.restorations.add_listener(lambda _: gossiping.start_urgent_round())
    return gossiping


def _create_freshness_port(
    shared: shared_parts.SharedParts,
    store: store_assembly.StoreParts,
    replicas: Sequence[replica.Replica],
    election: watch_election.WatchElection,
    gossiping: gossip.Gossip,
) -> freshness.FreshnessPort:
    node, max_age_s = shared.node, shared.node.platform.max_age_s
    port = freshness.FreshnessPort(
        node.addresses.control,
        node.fleet_secret,
        freshness_exchange.FreshnessExchange(
            store.freshness, replicas, NEWS_AGE_FRACTION * max_age_s, shared.rng
        ),
        election.sources,
        gossiping.fetch,
        shared.event_loop,
        freshness.FreshnessTimings(wait_s=WATCH_AGE_FRACTION * max_age_s),
        shared.metrics.count_control_bytes,
    )
    store.freshness.add_listener(port.notify_progress)
    store.configuration.add_listener(lambda _: port.notify_progress())
    store.evacuations.add_listener(lambda _: port.notify_progress())
    return port


def _create_watchers(
    shared: shared_parts.SharedParts,
    store: store_assembly.StoreParts,
    members: membership.Membership,
    replicas: Sequence[replica.Replica],
    election: watch_election.WatchElection,
) -> Sequence[watch.Watcher]:
    platform = shared.node.platform
    timings = watch.WatchTimings(
        max_first_delay_s=platform.start_spread_s,
        max_age_s=platform.max_age_s,
        wait_s=WATCH_AGE_FRACTION * platform.max_age_s,
    )

    def read_duty() -> read_policy.ReadDuty:
        retry_cap_s = members.size() / PLATFORM_RETRIES_PER_S
        return read_policy.ReadDuty(election.read_age_fraction(), retry_cap_s)

    return [
        watch.Watcher(store.objects, item, store.freshness, timings, shared.rng, read_duty)
        for item in replicas
    ]


def _create_bootstrap(
    shared: shared_parts.SharedParts,
    store: store_assembly.StoreParts,
    members: membership.Membership,
    peer_chooser: peers.PeerChooser,
    election: watch_election.WatchElection,
    gossiping: gossip.Gossip,
) -> bootstrap.Bootstrap:
    def add_seed_addresses(addresses: Sequence[str]) -> None:
        peer_chooser.add_seed_addresses(addresses)
        gossiping.start_urgent_round()

    return bootstrap.Bootstrap(
        store.objects,
        members,
        add_seed_addresses,
        election,
        bootstrap.BootstrapTimings(),
        shared.rng,
        shared.on_malformed,
        lambda: store.restorations.epoch,
    )
