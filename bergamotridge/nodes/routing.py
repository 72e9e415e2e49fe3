"""Route tables built from the operator's text: the route of a call and the services it reaches."""

import urllib.parse
from collections.abc import Callable, Sequence

import attrs

from bergamotridge import errors
from bergamotridge.operators import operator_text


@attrs.frozen
class Target:
    """A matched route and all services that a call on it can reach, those of the route included."""

    route: operator_text.Route
    services: frozenset[str]


def reachable(services: dict[str, operator_text.Service], start: str) -> frozenset[str]:
    """Returns `start` and all services below it in the dependency graph."""
    seen: set[str] = set()
    pending = [start]
    while pending:
        name = pending.pop()
        if name not in seen:
            seen.add(name)
            pending.extend(services[name].depends_on)
    return frozenset(seen)


class RouteTable:
    """Matches calls against the routes of one version of the operator's text.

    Attributes:
        text: The operator's text.
        version: Version of the text on the platform, as logs show it.
        team_of_key: Name of the team of each key in the text.
    """

    def __init__(self, source: operator_text.OperatorText, version: str = "") -> None:
        """Builds the table.

        Args:
            source: The operator's text.
            version: Version of the text on the platform, as logs show it.
        """
        self.text = source
        self.version = version
        self.team_of_key = {key: team.name for team in source.teams.values() for key in team.keys}
        self._reachable_from = {name: reachable(source.services, name) for name in source.services}
        self._dependencies = {
            name: services - {name} for name, services in self._reachable_from.items()
        }
        path_routes = [route for route in source.routes.values() if not route.is_prefix]
        self._match_path = _build_path_matcher(path_routes)
        self._literal_routes = {
            (route.method, route.path): route.name for route in path_routes if "<" not in route.path
        }
        self._prefix_routes = _prefix_routes_by_host(source)
        self._targets = {route.name: self._build_target(route) for route in source.routes.values()}

    def dependencies_of(self, service: str) -> frozenset[str]:
        """Returns all services below `service`, or the empty set if the text does not define it."""
        return self._dependencies.get(service, frozenset())

    def match(self, method: str, path: str, host: str = "") -> Target:
        """Returns the target of a call.

        Args:
            method: HTTP method.
            path: Path without the query.
            host: Host name that the caller addressed.

        Raises:
            CallError: The path is ambiguous (status 400), no route has it (404), or a route has it
                but not with this method (405).
        """
        route = self._match_prefix(path, host)
        if route is None:
            name = self._literal_routes.get((method, path)) or self._match_rule(method, path)
            route = self.text.routes[name]
        return self._targets[route.name]

    def _build_target(self, route: operator_text.Route) -> Target:
        return Target(
            route, frozenset().union(*(self._reachable_from[name] for name in route.services))
        )

    def _match_prefix(self, path: str, host: str) -> operator_text.Route | None:
        for route in self._prefix_routes.get(host.lower(), ()):
            if path.startswith(route.path):
                return route
        return None

    def _match_rule(self, method: str, path: str) -> str:
        if _is_ambiguous(path):
            raise errors.CallError(
                f"path '{path}' has a '.' or '..' segment or a '#'; send the resolved path",
                status=400,
                reason="route",
            )
        return self._match_path(method, path)


def _build_path_matcher(routes: Sequence[operator_text.Route]) -> Callable[[str, str], str]:
    """Returns a function that returns the name of the route of a method and a path."""
    if not routes:
        return _match_no_path
    # Not imported before, as all of werkzeug comes with it.
    from bergamotridge.operators import path_rules

    rules = path_rules.PathRules(
        path_rules.PathRule(route.method, route.path, route.name) for route in routes
    )

    def match(method: str, path: str) -> str:
        try:
            return rules.match(method, path)
        except path_rules.WrongMethodError as error:
            raise errors.CallError(
                f"no route allows method '{method}' on path '{path}'; check the method",
                status=405,
                reason="route",
            ) from error
        except path_rules.NoRuleError as error:
            raise _build_no_route_error(path) from error

    return match


def _match_no_path(method: str, path: str) -> str:
    del method
    raise _build_no_route_error(path)


def _build_no_route_error(path: str) -> errors.CallError:
    return errors.CallError(
        f"no route matches path '{path}'; check the path", status=404, reason="route"
    )


def _prefix_routes_by_host(
    source: operator_text.OperatorText,
) -> dict[str, list[operator_text.Route]]:
    """Returns the routes that match a path prefix, by host name, the longest prefixes first."""
    found: dict[str, list[operator_text.Route]] = {}
    for route in source.routes.values():
        if route.is_prefix:
            found.setdefault(route.host.lower(), []).append(route)
    for routes in found.values():
        routes.sort(key=lambda route: len(route.path), reverse=True)
    return found


def _is_ambiguous(path: str) -> bool:
    """Returns whether an upstream may resolve `path` to another path than the one matched here."""
    segments = urllib.parse.unquote(path).replace("\\", "/").split("/")
    return "#" in path or "." in segments or ".." in segments


class CurrentRoutes:
    """Holds the route table of the configuration in force."""

    def __init__(self) -> None:
        self._table: RouteTable | None = None

    @property
    def is_configured(self) -> bool:
        """True once a configuration is in force."""
        return self._table is not None

    def replace(self, source: operator_text.OperatorText, version: str = "") -> None:
        """Replaces the table with one built from `source`.

        Args:
            source: The new operator's text.
            version: Version of the text on the platform, as logs show it.
        """
        self._table = RouteTable(source, version)

    def routes(self) -> RouteTable:
        """Returns the table; raises CallError 503 before the first configuration."""
        table = self._table
        if table is None:
            raise errors.CallError(
                "this node has not received a configuration yet; try again later",
                status=503,
                reason="configuration",
                retry_after_s=1,
            )
        return table

    def dependencies_of(self, service: str) -> frozenset[str]:
        """Returns all services below `service`, or none before the first configuration."""
        table = self._table
        return table.dependencies_of(service) if table else frozenset()

    def limits(self) -> operator_text.Limits:
        """Returns the limits on what callers may send, or defaults before a configuration."""
        table = self._table
        return table.text.limits if table else operator_text.Limits()

    def teams(self) -> dict[str, operator_text.Team]:
        """Returns the teams by name, or none before the first configuration."""
        table = self._table
        return table.text.teams if table else {}

    def name_route(self, method: str, path: str, host: str) -> str:
        """Returns the name of the route that a call matches, "" if there is none."""
        try:
            return self.routes().match(method, path, host).route.name
        except errors.CallError:
            return ""
