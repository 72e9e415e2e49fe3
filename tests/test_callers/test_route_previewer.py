"""Where a request would go now, as operators are told, without a trace in what decides on calls."""

import random

import attrs
import pytest

from bergamotridge import call
from bergamotridge.balancing import expected_wait
from bergamotridge.callers import route_previewer, shedding, tree_shedding
from bergamotridge.nodes import call_graph, choice, load, routing
from bergamotridge.operators import operator_text, route_preview
from bergamotridge.upstreams import outcome
from tests.test_balancing import records

TEXT = """
[services.depot]
depends_on = ["stock"]
[services.stock]
[services.trial]
[routes.read]
path = "/reads/<id>"
service = "depot"
repeatable = true
timeout_s = 4
[teams.small]
rate = 10
burst = 5
"""
HOSTS = ("own", "near", "broken", "far")
STOCK_SHARE = 0.4


def add_what_adapters_can(text):
    """Returns the text with the route split between two services, and a team with a class."""
    shares = (operator_text.Share("depot", 3.0), operator_text.Share("trial", 1.0))
    route = attrs.evolve(text.routes["read"], shares=shares)
    team = attrs.evolve(text.teams["small"], importance=call.Importance.CRITICAL)
    return attrs.evolve(text, routes={"read": route}, teams={"small": team})


class Directory:
    def __init__(self, hosts=HOSTS):
        self.records = [
            records.make_upstream(host, "b" if host == "far" else "a") for host in hosts
        ]

    def candidates(self, service):
        return self.records if service == "depot" else []


class Node:
    """The parts of a node that decide on calls, after some calls."""

    def __init__(self, text=TEXT):
        self.routes = routing.CurrentRoutes()
        if text:
            self.routes.replace(add_what_adapters_can(operator_text.parse(text, "test")), "v7")
        self.thresholds = shedding.ThresholdTable()
        self.directory = Directory()
        rng = random.Random(3)
        self.balancing = expected_wait.ExpectedWait(rng)
        self.chooser = choice.UpstreamChooser("own", "a", "r", rng, self.balancing)
        graph = call_graph.CallGraph(self.routes.dependencies_of)
        shedder = tree_shedding.TreeShedding(self.thresholds, graph.dependencies_of)
        self.previewer = route_previewer.RoutePreviewer(
            "own",
            self.routes,
            self.thresholds,
            shedder,
            self.directory,
            self.chooser,
            lambda: {"small": 2.5},
            retries=2,
        )

    def answer_calls(self):
        report = records.make_answer(0.5).report
        for number in range(20):
            for host in HOSTS:
                failed = host == "broken"
                result = outcome.Outcome.FAILED if failed else outcome.Outcome.OK
                given = None if failed else report
                self.chooser.record_outcome(host, result, given, 0.1, 0.1 * number)

    def preview(self, method="GET", path="/reads/1", **more):
        return self.previewer.preview(route_preview.Query(method, path, **more), 2.0)


def test_the_services_and_upstreams_of_a_request_are_shown_with_their_chances():
    node = Node()
    node.answer_calls()
    seen = node.preview()
    assert (seen.configuration, seen.route, seen.attempts) == ("v7", "read", 3)
    assert [(item.service, item.weight) for item in seen.services] == [
        ("depot", 0.75),
        ("trial", 0.25),
    ]
    depot, trial = seen.services
    chances = {item.host: item.chance for item in depot.upstreams}
    assert chances["own"] > 0.9 and chances["broken"] == 0.0
    assert sum(chances.values()) == pytest.approx(1.0, abs=0.01)
    assert [item.host for item in depot.upstreams if item.is_ejected] == ["broken"]
    assert {item.distance for item in depot.upstreams} == {
        "own-host",
        "own-domain",
        "other-domain",
    }
    assert not trial.upstreams


def test_what_a_team_and_the_services_below_admit_is_shown():
    node = Node()
    shares = {load.UNATTRIBUTED: STOCK_SHARE}
    node.thresholds.observe("stock", load.Threshold((1.0, 1.0, 1.0), shares, 0.6), 2.0, "h")
    node.thresholds.observe("depot", load.Threshold((0.7, 0.5, 0.0)), 2.0, "h")
    standard, critical = node.preview(), node.preview(team="small")
    assert (standard.importance, standard.tokens) == ("standard", -1.0)
    assert (critical.importance, critical.tokens) == ("critical", 2.5)
    assert standard.services[0].admitted == 0.5
    assert critical.services[0].admitted == 0.7
    below = standard.services[0].dependencies
    assert below == (route_preview.Dependency("stock", STOCK_SHARE, 0.6),)


# Asking must not count as a call, take a probe or move a chance.
def test_asking_leaves_no_trace():
    asked, plain = Node(), Node()
    for node in (asked, plain):
        node.answer_calls()
    for _ in range(20):
        asked.preview()
    loads = [
        [node.balancing.load_of(item, 2.0) for item in node.directory.records]
        for node in (asked, plain)
    ]
    assert loads[0] == loads[1]
    probes = [
        sum(
            node.chooser.choose(node.directory.records, (), 60.0).host == "broken" for _ in range(9)
        )
        for node in (asked, plain)
    ]
    assert probes == [1, 1]


@pytest.mark.parametrize(
    ("node", "query", "refusal"),
    [
        (Node(text=""), {}, "configuration"),
        (Node(), {"path": "/none"}, "no route matches"),
        (Node(), {"method": "POST"}, "POST"),
        (Node(), {"team": "unknown"}, "team 'unknown'"),
    ],
)
def test_a_request_that_would_be_refused_at_any_load_says_why(node, query, refusal):
    assert refusal in node.preview(**query).refusal


def test_an_importance_without_requests_so_far_has_the_share_of_all():
    node = Node()
    node.thresholds.observe(
        "stock", load.Threshold((1.0, 1.0, 1.0), {load.UNATTRIBUTED: 0.3}), 2.0, "h"
    )
    shedder = node.previewer.tree_shedding
    for importance in call.Importance:
        assert shedder.admitted_shares(importance, "depot", "read", 2.0) == {"stock": 0.3}
