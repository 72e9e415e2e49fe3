"""Creates the parts of a node that serve callers: keys, team rates, claims and the port."""

import time
from collections.abc import Sequence

import attrs

from bergamotridge import http_ports, part_order, shared_parts
from bergamotridge.callers import (
    at_most_once,
    claim_rewriter,
    claims,
    dialect,
    idempotency,
    keys,
    operator_withdrawal,
    port,
    quota_rates,
    route_previewer,
    running_calls,
    shedding,
    shutdown,
    text_keys,
    tree_shedding,
    withdrawal_confirmer,
    withdrawals,
)
from bergamotridge.nodes import call_assembly, call_attribution, control_assembly, quota
from bergamotridge.store import assembly as store_assembly
from bergamotridge.store import (
    freshness,
    holding,
    restoration_record,
    restoration_recorder,
    restorations,
)
from bergamotridge.util import clock, hlc, httpd

WITHDRAWAL_INTERVAL_S = 1.0


@attrs.frozen
class CallerTables:
    """What this node has been told about callers; other packages bring it up to date.

    Attributes:
        keys: Replica of the keys.
        thresholds: Admission thresholds of services.
        keys_in_text: True if the operator's text holds the keys, and the replica stays empty.
    """

    keys: keys.KeyRing
    thresholds: shedding.ThresholdTable
    keys_in_text: bool


@attrs.frozen
class CallerParts:
    """Parts that serve callers.

    Attributes:
        shutdown: Refuses calls that come too late in a planned stop.
        team_rates: Rates of the teams.
        at_most_once: Runs calls with an idempotency key.
        port: Answers the requests of callers.
        previewer: Tells operators where a request would go.
        withdrawal: Withdraws keys for operators.
        tasks: Tasks that write to the platform, in the order of their start.
    """

    shutdown: shutdown.Shutdown
    team_rates: quota_rates.QuotaRates
    at_most_once: at_most_once.AtMostOnceDispatcher
    port: port.CallerPort
    previewer: route_previewer.RoutePreviewer
    withdrawal: operator_withdrawal.OperatorWithdrawal
    tasks: Sequence[part_order.StoppableTask]


def create_tables(
    fleet_secret: str, known_freshness: freshness.Freshness, keys_in_text: bool
) -> CallerTables:
    """Creates the tables, which are empty.

    Args:
        fleet_secret: The fleet's secret.
        known_freshness: The time as of which each replica is current.
        keys_in_text: True if the operator's text holds the keys.
    """
    ring = keys.KeyRing(fleet_secret, lambda: known_freshness.was_current(keys.KIND))
    return CallerTables(ring, shedding.ThresholdTable(), keys_in_text)


def create(
    shared: shared_parts.SharedParts,
    store: store_assembly.StoreParts,
    tables: CallerTables,
    control: control_assembly.ControlParts,
    calls: call_assembly.CallParts,
    caller_dialect: dialect.CallerDialect,
    service: str,
    attribution: call_attribution.CallAttribution | None,
) -> CallerParts:
    """Creates the parts.

    Args:
        shared: Parts that all packages use.
        store: Access to the platform.
        tables: Keys and thresholds.
        control: What this node knows of the fleet.
        calls: Parts on the path of a call between nodes.
        caller_dialect: Header fields between callers and node.
        service: Service of this host, "" if its upstream names it.
        attribution: Finds the routes that cause calls, None if routes are not told apart.
    """
    team_rates = _create_team_rates(shared, store, control)
    node_shutdown = shutdown.Shutdown()
    reservation_s = claims.reservation_s(idempotency.KEY_LIFETIME_S)
    record = restoration_record.RestorationRecord(store.objects, store.restorations, reservation_s)
    node_claims = _create_claims(shared, store, record)
    rewriter = claim_rewriter.ClaimRewriter(node_claims, shared.rng)
    store.restorations.add_listener(lambda _: rewriter.handle_restoration())
    once = at_most_once.AtMostOnceDispatcher(
        shared.node.host,
        node_claims,
        calls.dispatcher,
        calls.relay_client,
        control.known.members.members,
        lambda: _current_stamp(shared.log.clock),
        node_shutdown,
    )
    shedder = tree_shedding.TreeShedding(
        tables.thresholds,
        calls.dependencies.dependencies_of,
        returns_by_share=shared.node.shedding.scarce,
        divides_teams=shared.node.shedding.scarce,
    )
    running = running_calls.RunningCalls(shared.log)
    shared.metrics.watch_calls(running.oldest_age_s)
    return CallerParts(
        shutdown=node_shutdown,
        team_rates=team_rates,
        at_most_once=once,
        port=port.CallerPort(
            routes=control.routes,
            key_ring=text_keys.TextKeys(control.routes) if tables.keys_in_text else tables.keys,
            team_rates=team_rates,
            thresholds=tables.thresholds,
            tree_shedding=shedder,
            call_graph=calls.graph,
            at_most_once=once,
            dispatcher=calls.dispatcher,
            log=shared.log,
            retries=shared.node.limits.retries,
            record_answer=lambda summary: _count_answer(shared, summary),
            dialect=caller_dialect,
            origin=service,
            node_shutdown=node_shutdown,
            calls=running,
            attribution=attribution,
        ),
        previewer=route_previewer.RoutePreviewer(
            shared.node.host,
            control.routes,
            tables.thresholds,
            shedder,
            control.directory,
            calls.chooser,
            team_rates.tokens,
            shared.node.limits.retries,
        ),
        withdrawal=_create_withdrawal(shared, store, tables, control),
        tasks=(
            _create_recorder(shared, store.restorations, record, reservation_s, control),
            *_create_withdrawal_writers(shared, store, tables, control),
            rewriter,
        ),
    )


def create_server(
    shared: shared_parts.SharedParts, parts: CallerParts, new_server: http_ports.CreateServer
) -> httpd.Server:
    """Returns the server of the port for callers.

    Args:
        shared: Parts that all packages use.
        parts: Parts that serve callers.
        new_server: Creates a server.
    """
    return new_server(
        http_ports.CALLERS,
        parts.port.handle,
        shared.node.limits.caller_connections,
        parts.port.may_overlap,
    )


def _create_team_rates(
    shared: shared_parts.SharedParts,
    store: store_assembly.StoreParts,
    control: control_assembly.ControlParts,
) -> quota_rates.QuotaRates:
    node, settings = shared.node, shared.node.quota
    timings = holding.Timings(
        lease_s=settings.lease_s,
        adjust_s=settings.adjust_s,
        token_lifetime_s=settings.token_lifetime_s,
        join_after_s=settings.join_after_s,
    )
    team_rates = quota_rates.QuotaRates(
        node.host,
        shared.incarnation,
        node.failure_domain,
        store.objects,
        quota.QuotaClient(control.known.channels, shared.metrics.count_control_bytes),
        control.known.members.members,
        control.routes.teams,
        quota_rates.QuotaSettings(timings, per_domain=settings.per_domain, groups=settings.groups),
        restored_epoch=lambda: store.restorations.recent_epoch(timings.expiry_s, clock.boot_time()),
        on_malformed=shared.on_malformed,
    )
    store.restorations.add_listener(lambda _: team_rates.handle_restoration())
    return team_rates


def _create_claims(
    shared: shared_parts.SharedParts,
    store: store_assembly.StoreParts,
    record: restoration_record.RestorationRecord,
) -> claims.Claims:
    return claims.Claims(
        shared.node.host,
        shared.incarnation,
        store.objects,
        may_have_lost=lambda: _may_have_lost_claims(store.restorations, record, clock.boot_time()),
        confirm_restorations=record.confirm,
    )


def _create_recorder(
    shared: shared_parts.SharedParts,
    known: restorations.Restorations,
    record: restoration_record.RestorationRecord,
    reservation_s: float,
    control: control_assembly.ControlParts,
) -> restoration_recorder.RestorationRecorder:
    recorder = restoration_recorder.RestorationRecorder(
        record,
        reservation_s,
        lambda: control.election.is_elected(time.monotonic()),
        shared.rng,
    )
    known.add_listener(lambda _: recorder.handle_restoration())
    record.listen_for_doubt(recorder.handle_restoration)
    return recorder


def _create_withdrawal(
    shared: shared_parts.SharedParts,
    store: store_assembly.StoreParts,
    tables: CallerTables,
    control: control_assembly.ControlParts,
) -> operator_withdrawal.OperatorWithdrawal:
    confirmer = withdrawal_confirmer.WithdrawalConfirmer(
        tables.keys,
        control.known.members,
        control.gossip.tell_withdrawn,
        store.objects,
        shared.rng,
    )
    return operator_withdrawal.OperatorWithdrawal(
        shared.log, tables.keys_in_text, confirmer.withdraw
    )


def _create_withdrawal_writers(
    shared: shared_parts.SharedParts,
    store: store_assembly.StoreParts,
    tables: CallerTables,
    control: control_assembly.ControlParts,
) -> Sequence[withdrawals.WithdrawalWriter]:
    """Returns the writer, or none if the operator's text holds the keys."""
    if tables.keys_in_text:
        return ()
    should_write = control.election.is_elected
    writer = withdrawals.WithdrawalWriter(
        store.objects, tables.keys, WITHDRAWAL_INTERVAL_S, shared.rng, should_write
    )
    return (writer,)


def _may_have_lost_claims(
    known: restorations.Restorations, record: restoration_record.RestorationRecord, now: float
) -> bool:
    """Returns True if the store may have lost claims at `now` (boot time in seconds)."""
    return record.is_recent(now) or not known.is_informed(now)


def _current_stamp(hybrid_clock: hlc.HybridClock) -> hlc.Stamp:
    return hybrid_clock.stamp(time.time_ns() // 1_000_000)


def _count_answer(shared: shared_parts.SharedParts, summary: port.AnswerSummary) -> None:
    shared.metrics.count_answer(
        summary.team, summary.importance, summary.reason, summary.verdict, summary.seconds
    )
