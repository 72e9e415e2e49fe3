"""Call graph: configured dependencies and observed ones, which expire without further calls."""

from bergamotridge.nodes import call_graph

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
