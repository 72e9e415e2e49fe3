"""Tells operators where a request would go now, without sending or recording anything."""

from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from bergamotridge import call, errors
from bergamotridge.callers import shedding, tree_shedding
from bergamotridge.nodes import choice, dispatch, routing
from bergamotridge.operators import operator_text, route_preview

DECIMALS = 3


class Routes(Protocol):
    """Source of the current routes."""

    def routes(self) -> routing.RouteTable:
        """Returns the route table; raises CallError 503 before the first configuration."""


@attrs.frozen
class RoutePreviewer:
    """Answers from the parts that decide on calls; for use on the event loop of calls.

    Attributes:
        host: Host of this node.
        routes: Source of the current routes.
        thresholds: Admission thresholds of the services.
        tree_shedding: Sheds for dependencies that get unattributed calls.
        directory: Lists the upstreams of each service.
        chooser: Chooses among them.
        tokens: Returns the tokens of each team with a rate limit.
        retries: Retries of a call whose route sets no number of attempts.
    """

    host: str
    routes: Routes
    thresholds: shedding.ThresholdTable
    tree_shedding: tree_shedding.TreeShedding
    directory: dispatch.UpstreamDirectory
    chooser: choice.UpstreamChooser
    tokens: Callable[[], Mapping[str, float]]
    retries: int

    def preview(self, request: route_preview.Query, now: float) -> route_preview.RoutePreview:
        """Returns where a request would go at `now` (monotonic seconds), or why nowhere."""
        try:
            table = self.routes.routes()
        except errors.CallError as error:
            return route_preview.RoutePreview(self.host, "", str(error))
        try:
            target = table.match(request.method, request.path, request.virtual_host)
        except errors.CallError as error:
            return route_preview.RoutePreview(self.host, table.version, str(error))
        route = target.route
        importance = _importance_of(table, route, request.team)
        return route_preview.RoutePreview(
            self.host,
            table.version,
            self._find_refusal(table, request.team),
            route.name,
            route.repeatable,
            importance.name.lower(),
            route.attempts or self.retries + 1,
            route.timeout_s,
            request.team,
            self._tokens_of(table, request.team),
            tuple(
                self._preview_service(route, service, weight, importance, request.team, now)
                for service, weight in _weights_of(route).items()
            ),
        )

    def _find_refusal(self, table: routing.RouteTable, team: str) -> str:
        if team and team not in table.text.teams:
            return f"team '{team}' is not in the operator's text"
        return ""

    def _tokens_of(self, table: routing.RouteTable, team: str) -> float:
        settings = table.text.teams.get(team)
        if settings is None or settings.rate == float("inf"):
            return -1.0
        return round(self.tokens().get(team, 0.0), DECIMALS)

    def _preview_service(
        self,
        route: operator_text.Route,
        service: str,
        weight: float,
        importance: call.Importance,
        team: str,
        now: float,
    ) -> route_preview.Service:
        shares = self.tree_shedding.admitted_shares(importance, service, route.name, now)
        accepted = self.thresholds.accepted_fraction
        return route_preview.Service(
            service,
            round(weight, DECIMALS),
            round(self.thresholds.admitted_share(service, importance, team, now), DECIMALS),
            tuple(
                route_preview.Dependency(name, round(share, DECIMALS), accepted(name, now))
                for name, share in sorted(shares.items())
            ),
            tuple(
                _preview_upstream(item)
                for item in self.chooser.preview(self.directory.candidates(service), now)
            ),
        )


def _preview_upstream(item: choice.CandidateView) -> route_preview.Upstream:
    return route_preview.Upstream(
        item.record.host,
        item.record.failure_domain,
        item.distance.value,
        round(item.chance, DECIMALS),
        round(item.view.load, DECIMALS),
        item.view.limit,
        round(item.view.slowness, DECIMALS),
        round(item.view.accepted, DECIMALS),
        item.is_ejected,
    )


def _importance_of(
    table: routing.RouteTable, route: operator_text.Route, team: str
) -> call.Importance:
    settings = table.text.teams.get(team)
    if settings is None or settings.importance is None:
        return route.importance
    return settings.importance


def _weights_of(route: operator_text.Route) -> dict[str, float]:
    """Returns the fraction of the route's calls by service."""
    if not route.shares:
        return {route.service: 1.0}
    total = sum(share.weight for share in route.shares)
    return {share.service: share.weight / total for share in route.shares}
