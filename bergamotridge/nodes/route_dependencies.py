"""Services below each route of a service, as the nodes beside its upstreams find them."""

import math
import time
from collections.abc import Callable, Iterator

import attrs

from bergamotridge.nodes import call_attribution, call_graph, routing

DECAY_S = 10.0  # Time constant with which answers lose their weight.
MIN_STATEMENTS = 3.0  # Decayed count of statements below which a route is unknown.
# Fraction of the answers that must have a statement; nodes that were just started send none.
MIN_STATED_FRACTION = 0.5
# Fraction of the statements that must name a service. Single nodes may be wrong for a time.
MIN_NAMED_FRACTION = 0.2
REFRESH_INTERVAL_S = 0.5  # Least time between two computations from the counts.
NEGLIGIBLE_COUNT = 0.01  # A decaying count that is no greater is removed.
# A route without a call for this long is forgotten, as in `call_graph`.
FORGET_S = call_graph.DEPENDENCY_TTL_S

# All services below a route as one node states them, None if it doesn't know them.
Statement = frozenset[str] | None


@attrs.define
class _Learned:
    """Decaying counts of the answers to calls on one route of one service.

    Attributes:
        updated_at: Monotonic time in seconds of the latest answer.
        decayed_at: Monotonic time in seconds to which the counts have decayed.
        answers: All answers.
        stated: Answers with a statement.
        named: Answers whose statement names a service, by service.
        current: Services that enough statements name, as last computed; None if not known.
    """

    updated_at: float
    decayed_at: float
    answers: float = 0.0
    stated: float = 0.0
    named: dict[str, float] = attrs.field(factory=dict)
    current: Statement = None

    def add(self, statement: Statement, now: float) -> None:
        """Counts an answer and its statement."""
        self.refresh(now)
        self.updated_at = now
        self.answers += 1.0
        if statement is not None:
            self.stated += 1.0
            for name in statement:
                self.named[name] = self.named.get(name, 0.0) + 1.0

    def refresh(self, now: float) -> None:
        """Computes `current` again if it is old."""
        elapsed_s = now - self.decayed_at
        if elapsed_s < REFRESH_INTERVAL_S:
            return
        self.decayed_at = now
        factor = math.exp(-elapsed_s / DECAY_S)
        self.answers *= factor
        self.stated *= factor
        self.named = {
            name: count * factor for name, count in self.named.items() if count > NEGLIGIBLE_COUNT
        }
        is_known = self.stated >= max(MIN_STATEMENTS, MIN_STATED_FRACTION * self.answers)
        min_count = MIN_NAMED_FRACTION * self.stated
        named = (name for name, count in self.named.items() if count >= min_count)
        self.current = frozenset(named) if is_known else None


@attrs.frozen
class _CachedStatement:
    """A statement, when it was computed (monotonic seconds), and the routes that it is based on."""

    computed_at: float
    table: routing.RouteTable
    statement: Statement


@attrs.frozen
class RouteNeeds:
    """What this node takes a route to need, for operators.

    Attributes:
        service: Service that the route's calls go to.
        route: Name of the route.
        services: All services below it, None if that is not known.
    """

    service: str
    route: str
    services: Statement


class RouteDependencies:
    """Tells the services below a route, and learns them from calls and answers.

    The node beside an upstream knows from `call_attribution` which other routes the requests on a
    route call. Its answers state the services of these routes and all services below them. Other
    nodes learn from these statements. While too little is known of a route, it has all
    dependencies of its service. For use on one event loop, except for `needs`.
    """

    def __init__(
        self,
        graph: call_graph.CallGraph,
        routes: routing.CurrentRoutes,
        attribution: call_attribution.CallAttribution,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates the object without any knowledge.

        Args:
            graph: Dependencies of services.
            routes: The routes in force.
            attribution: What is known of the calls of the local upstream.
            clock: Source of monotonic time in seconds.
        """
        self._graph = graph
        self._routes = routes
        self._attribution = attribution
        self._clock = clock
        self._learned: dict[tuple[str, str], _Learned] = {}
        self._statements: dict[str, _CachedStatement] = {}

    def dependencies_of(self, service: str, route: str = "") -> frozenset[str]:
        """Returns all services below `service` that calls on `route` need."""
        learned = self._learned.get((service, route))
        if learned is not None:
            learned.refresh(self._clock())
            if learned.current is not None:
                return learned.current
        return self._graph.dependencies_of(service)

    def local_dependencies_of(self, service: str, route: str, now: float) -> frozenset[str]:
        """Returns all services below a route of the local upstream, or of its service if unknown.

        Args:
            service: Service that calls on the route go to.
            route: Name of the route, "" if there is none.
            now: Monotonic time in seconds.
        """
        stated = self.statement(service, route, now)
        return self._graph.dependencies_of(service) if stated is None else stated

    def statement(self, service: str, route: str, now: float) -> Statement:
        """Returns the services below a route of the local upstream, None if they are not known.

        Only calls of the local upstream count for the route itself. If nodes repeated what others
        state of it, they could keep a dependency alive that no longer exists.

        Args:
            service: Service that calls on the route go to.
            route: Name of the route, "" if there is none.
            now: Monotonic time in seconds.
        """
        if not route or service != self._attribution.service or not self._routes.is_configured:
            return None
        table = self._routes.routes()
        cached = self._statements.get(route)
        if (
            cached is None
            or cached.table is not table
            or now - cached.computed_at >= REFRESH_INTERVAL_S
        ):
            found = self._compute_statement(service, route, table, now)
            cached = self._statements[route] = _CachedStatement(now, table, found)
        return cached.statement

    def _compute_statement(
        self, service: str, route: str, table: routing.RouteTable, now: float
    ) -> Statement:
        called_routes = self._attribution.called_routes(route, now)
        if called_routes is None:
            return None
        # What the operator's text says holds for all routes of a service.
        found = set(table.dependencies_of(service))
        for configured in table.dependencies_of(service):
            found |= self._graph.dependencies_of(configured)
        # A route that is no longer in force has no services.
        for called in called_routes & table.text.routes.keys():
            for called_service in table.text.routes[called].services:
                found.add(called_service)
                found |= self.dependencies_of(called_service, called)
        return frozenset(found - {service})

    def record_answer(self, service: str, route: str, statement: Statement, now: float) -> None:
        """Records the statement that came with an answer.

        Args:
            service: Service that answered.
            route: Route of the call; nothing is recorded if it is "".
            statement: All services below the route, None if the answer has no statement.
            now: Monotonic time in seconds.
        """
        if not route or not self._routes.is_configured:
            return
        learned = self._learned.get((service, route))
        if learned is None:
            self._learned = {
                key: item for key, item in self._learned.items() if now - item.updated_at < FORGET_S
            }
            learned = self._learned[service, route] = _Learned(now, now)
        if statement is not None:
            statement &= self._routes.routes().text.services.keys()
        learned.add(statement, now)

    def needs(self) -> Iterator[RouteNeeds]:
        """Yields what the routes need that this node sends calls on; for any thread."""
        oldest = self._clock() - FORGET_S
        for (service, route), learned in list(self._learned.items()):
            if learned.updated_at >= oldest:
                yield RouteNeeds(service, route, learned.current)
