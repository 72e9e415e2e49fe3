"""Call graph: configured dependencies and observed ones, which expire without further calls.

With routes told apart: bookings were refused for a dependency that only lookups need.
"""

import types

from bergamotridge.callers import shedding
from bergamotridge.nodes import (
    call_graph,
    dependency_thresholds,
    load,
    route_dependencies,
    routing,
)
from bergamotridge.operators import operator_text

CONFIGURED = {"shop": frozenset(("stock",))}


class GraphFixture:
    """A call graph over a configuration and a clock that tests set."""

    def __init__(self):
        self.now = 0.0
        self.configured = dict(CONFIGURED)
        self.graph = call_graph.CallGraph(
            lambda service: self.configured.get(service, frozenset()), lambda: self.now
        )


def test_configured_dependencies_are_returned_without_any_call():
    assert GraphFixture().graph.dependencies_of("shop") == {"stock"}


def test_observed_calls_add_dependencies_across_several_services():
    fixture = GraphFixture()
    fixture.graph.record_call("front", "shop")
    fixture.graph.record_call("stock", "crates")
    assert fixture.graph.dependencies_of("front") == {"shop", "stock", "crates"}
    assert fixture.graph.dependencies_of("stock") == {"crates"}


def test_services_that_call_each_other_are_below_each_other_but_not_below_themselves():
    fixture = GraphFixture()
    fixture.graph.record_call("a", "b")
    fixture.graph.record_call("b", "a")
    fixture.graph.record_call("a", "a")
    assert fixture.graph.dependencies_of("a") == {"b"}


def test_observed_dependencies_expire_and_configured_ones_do_not():
    fixture = GraphFixture()
    fixture.graph.record_call("shop", "crates")
    fixture.now = call_graph.DEPENDENCY_TTL_S / 2
    fixture.graph.record_call("stock", "vans")
    fixture.now = call_graph.DEPENDENCY_TTL_S + 1.0
    assert fixture.graph.dependencies_of("shop") == {"stock", "vans"}


def test_a_changed_configuration_applies_at_once():
    fixture = GraphFixture()
    assert fixture.graph.dependencies_of("shop") == {"stock"}
    fixture.configured["shop"] = frozenset(("depot",))
    assert fixture.graph.dependencies_of("shop") == {"depot"}


ROUTES = """
[services.bookings]
[services.progress]
[services.submissions]
[routes.booking]
method = "POST"
path = "/bookings"
service = "bookings"
importance = "critical"
[routes.lookup]
method = "GET"
path = "/bookings"
service = "bookings"
importance = "sheddable"
[routes.marks]
method = "GET"
path = "/marks"
service = "progress"
importance = "standard"
"""


class RouteFixture:
    """A node beside a `bookings` upstream that calls `marks` for lookups, and a first node."""

    def __init__(self):
        self.now = 0.0
        self.routes = routing.CurrentRoutes()
        self.routes.replace(operator_text.parse(ROUTES, "test"))
        self.below, self.below_thresholds = self.create_node({"booking": {}, "lookup": {"marks"}})
        self.first, self.first_thresholds = self.create_node({})

    def create_node(self, called_routes):
        attribution = types.SimpleNamespace(
            service="bookings", called_routes=lambda route, now: called_routes.get(route)
        )
        graph = call_graph.CallGraph(self.routes.dependencies_of, lambda: self.now)
        node = route_dependencies.RouteDependencies(
            graph, self.routes, attribution, lambda: self.now
        )
        table = shedding.ThresholdTable()
        return node, dependency_thresholds.DependencyThresholds(table, graph, node)

    def call(self, route, sender=None, count=1):
        """Answers calls on a route, tenths of a second apart; by `below` without a sender."""
        for _ in range(count):
            self.now += 0.1
            sent = (sender or self.below_thresholds).encode("bookings", self.now, route)
            self.first_thresholds.record_answer("bookings", "h1", None, sent, self.now, route)

    def needs(self):
        return [self.first.dependencies_of("bookings", route) for route in ("booking", "lookup")]


def test_the_first_node_learns_from_answers_what_each_route_needs():
    fixture = RouteFixture()
    assert fixture.needs() == [set(), set()]
    fixture.call("lookup")
    assert fixture.needs() == [{"progress"}, {"progress"}], "all that the service calls"
    fixture.call("lookup", count=10)
    fixture.call("booking", count=10)
    assert fixture.needs() == [set(), {"progress"}]
    shown = {item.route: item.services for item in fixture.first.needs()}
    assert shown == {"booking": set(), "lookup": {"progress"}}


# A node that was just started names nothing below a route, as it knows nothing.
def test_answers_of_a_node_that_does_not_know_are_no_evidence_of_no_dependencies():
    fixture = RouteFixture()
    _, started = fixture.create_node({})
    fixture.call("lookup", count=10)
    fixture.call("lookup", sender=started, count=60)
    assert fixture.needs()[1] == {"progress"}
    fixture.call("booking", sender=started, count=60)
    assert fixture.needs()[0] == {"progress"}
    for _ in range(20):
        fixture.call("booking")
        fixture.call("booking", sender=started, count=3)
    assert fixture.needs()[0] == {"progress"}, "three quarters of the nodes do not know"


def test_statements_that_come_no_more_are_not_used_for_long():
    fixture = RouteFixture()
    fixture.call("booking", count=20)
    fixture.now += 30.0
    fixture.call("lookup")
    assert fixture.needs() == [{"progress"}, {"progress"}]


def test_a_route_that_begins_to_call_is_learned_again():
    fixture = RouteFixture()
    fixture.call("booking", count=50)
    _, changed = fixture.create_node({"booking": {"marks"}})
    fixture.call("booking", sender=changed, count=50)
    assert fixture.needs()[0] == {"progress"}


def test_a_called_route_that_moves_or_disappears_takes_its_service_with_it():
    fixture = RouteFixture()
    moved = ROUTES.replace('service = "progress"', 'service = "submissions"')
    fixture.routes.replace(operator_text.parse(moved, "test"))
    assert fixture.below.statement("bookings", "lookup", 1.0) == {"submissions"}
    fixture.routes.replace(operator_text.parse(ROUTES[: ROUTES.index("[routes.marks]")], "test"))
    assert fixture.below.statement("bookings", "lookup", 1.0) == set()


def test_a_node_that_does_not_tell_routes_apart_reads_the_thresholds_behind_a_statement():
    fixture = RouteFixture()
    shed = load.Threshold((0.5, 0.5, 0.5), {})
    fixture.below_thresholds.record_answer("progress", "h2", shed, "", 0.0, "marks")
    table = shedding.ThresholdTable()
    graph = call_graph.CallGraph(lambda service: frozenset(), lambda: 0.0)
    plain = dependency_thresholds.DependencyThresholds(table, graph)
    sent = fixture.below_thresholds.encode("bookings", 0.0, "lookup")
    plain.record_answer("bookings", "h1", None, sent, 0.0, "lookup")
    assert graph.dependencies_of("bookings") == {"progress"}
    assert table.encode(["progress"], 0.0) == "progress@0@" + shed.encoded
