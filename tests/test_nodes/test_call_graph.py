"""The call graph: what the text says and what calls show, forgotten once it is not seen."""

from bergamotridge.nodes import call_graph

CONFIGURED = {"shop": frozenset(("stock",))}


class World:
    """A graph over a text, with a clock."""

    def __init__(self):
        self.now = 0.0
        self.text = dict(CONFIGURED)
        self.graph = call_graph.CallGraph(
            lambda service: self.text.get(service, frozenset()), lambda: self.now
        )


def test_what_the_text_says_is_known_at_once():
    assert World().graph.below("shop") == {"stock"}


def test_calls_show_what_lies_below_through_any_number_of_services():
    world = World()
    world.graph.learn("front", "shop")
    world.graph.learn("stock", "crates")
    assert world.graph.below("front") == {"shop", "stock", "crates"}
    assert world.graph.below("stock") == {"crates"}


def test_services_that_call_each_other_lie_below_each_other_but_not_below_themselves():
    world = World()
    world.graph.learn("a", "b")
    world.graph.learn("b", "a")
    world.graph.learn("a", "a")
    assert world.graph.below("a") == {"b"}


def test_what_is_not_seen_any_more_is_forgotten_and_what_the_text_says_is_not():
    world = World()
    world.graph.learn("shop", "crates")
    world.now = call_graph.KEPT_S / 2
    world.graph.learn("stock", "vans")
    world.now = call_graph.KEPT_S + 1.0
    assert world.graph.below("shop") == {"stock", "vans"}


def test_a_new_text_is_in_force_at_once():
    world = World()
    assert world.graph.below("shop") == {"stock"}
    world.text["shop"] = frozenset(("depot",))
    assert world.graph.below("shop") == {"depot"}
