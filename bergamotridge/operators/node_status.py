"""Collects the content of a node's status page from the parts of the node."""

import math
import time
from collections.abc import Callable, Iterable, Mapping

from bergamotridge import settings
from bergamotridge.callers import keys
from bergamotridge.nodes import membership, route_dependencies
from bergamotridge.operators import status
from bergamotridge.store import configuration, freshness, restorations
from bergamotridge.upstreams import gate, local_upstream
from bergamotridge.util import clock

_NO_RATE_LIMIT = -1.0


class StatusReader:
    """Reads the parts of a node and builds its status."""

    def __init__(
        self,
        node: settings.NodeSettings,
        incarnation: int,
        members: membership.Membership,
        store: configuration.ConfigurationStore,
        key_ring: keys.KeyRing,
        admission: gate.Gate,
        upstream: local_upstream.LocalUpstream,
        shares: Callable[[], Mapping[str, float]],
        tokens: Callable[[], Mapping[str, float]],
        known_freshness: freshness.Freshness,
        known_restorations: restorations.Restorations,
        route_needs: Callable[[], Iterable[route_dependencies.RouteNeeds]] = tuple,
    ) -> None:
        """Prepares a reader; the uptime counts from now.

        Args:
            node: Settings of the node.
            incarnation: Start time of the process in milliseconds.
            members: Membership of the fleet.
            store: Holds the operator's text in force.
            key_ring: Holds the keys of callers.
            admission: Admission control of the local upstream.
            upstream: The local upstream.
            shares: Returns the fraction of each team's rate that this node holds, by team.
            tokens: Returns the tokens in each team's bucket on this node, by team.
            known_freshness: Tells how current the replicas of the platform's objects are.
            known_restorations: Tells the epoch of the platform's store.
            route_needs: Returns what the routes need that the node sends calls on.
        """
        self._settings = node
        self._incarnation = incarnation
        self._members = members
        self._store = store
        self._keys = key_ring
        self._gate = admission
        self._upstream = upstream
        self._shares = shares
        self._tokens = tokens
        self._freshness = known_freshness
        self._restorations = known_restorations
        self._route_needs = route_needs
        self._started_at = time.monotonic()

    def read(self) -> status.Status:
        """Returns the current status."""
        now = time.monotonic()
        own = self._members.own
        report = self._gate.report(now)
        kinds = self._gate.kinds
        current = self._store.current
        rate_limit = self._upstream.rate_limit
        return status.Status(
            host=self._settings.host,
            incarnation=self._incarnation,
            failure_domain=self._settings.failure_domain,
            uptime_s=now - self._started_at,
            configuration_version=current.version.revision if current else 0,
            configuration_epoch=current.version.epoch if current else 0,
            withdrawn_keys=self._keys.withdrawn_count,
            service=own.service,
            state=own.state.value,
            load=status.Load(
                report.in_flight,
                report.queued,
                report.limit,
                _NO_RATE_LIMIT if rate_limit is None else rate_limit,
                kinds.unattributed_share,
                kinds.rejected_fraction,
                kinds.unattributed_waiting,
            ),
            store_epoch=self._restorations.epoch,
            replica_ages=self._freshness.ages(clock.boot_time()),
            members=self._build_members(),
            teams=self._build_team_rates(),
            route_needs=self._build_route_needs(),
        )

    def _build_route_needs(self) -> tuple[status.RouteNeeds, ...]:
        return tuple(
            status.RouteNeeds(
                item.service,
                item.route,
                known=item.services is not None,
                services=tuple(sorted(item.services or ())),
            )
            for item in self._route_needs()
        )

    def _build_members(self) -> tuple[status.Member, ...]:
        return tuple(
            status.Member(
                host=item.host,
                incarnation=item.incarnation,
                failure_domain=item.failure_domain,
                service=item.service,
                state=item.state.value,
                load=item.load,
                operators_address=item.operators_address,
            )
            for item in self._members.members()
        )

    def _build_team_rates(self) -> tuple[status.TeamRate, ...]:
        current = self._store.current
        shares, tokens = self._shares(), self._tokens()
        teams = current.text.teams.values() if current else ()
        return tuple(
            status.TeamRate(
                team=team.name,
                rate=team.rate,
                burst=team.burst,
                held_rate=team.rate * shares.get(team.name, 0.0),
                tokens=tokens.get(team.name, 0.0),
            )
            for team in teams
            if math.isfinite(team.rate)
        )
