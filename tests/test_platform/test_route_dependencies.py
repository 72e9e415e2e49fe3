"""The parts of a node tell call attribution of each request and call, with the route of each.

Guards against a path on which nothing is learned, so that bookings are refused for what only
lookups need, and against deadlines that no longer name the request of a call.
"""

import time

from bergamotridge import call, events
from bergamotridge.callers import port, shedding, tree_shedding
from bergamotridge.nodes import (
    call_graph,
    context,
    dependency_thresholds,
    relay,
    route_dependencies,
    routing,
)
from bergamotridge.operators import operator_text
from bergamotridge.upstreams import gate, live_calls, local_upstream, request_tracker
from bergamotridge.util import cancellation, message
from tests import event_loop
from tests.test_callers import test_port
from tests.test_nodes import test_call_graph
from tests.test_upstreams import test_local_upstream

LEFT_S = 60.0  # Longer than the time limits of the routes, which are 2 s.


class Attribution:
    """Records what it is told; `marks` is called by lookups."""

    service = "depot"

    def __init__(self):
        self.told = []

    def begin_request(self, service, route, deadline, now):
        self.told.append(("begin", service, route, deadline - now > LEFT_S / 2))

    def end_request(self, running, now):
        self.told.append("end")

    def record_call(self, route, deadline, now):
        self.told.append(("call", route, deadline - now > LEFT_S / 2))

    def called_routes(self, route, now):
        return {"lookup": {"marks"}}.get(route)


def create_routes():
    routes = routing.CurrentRoutes()
    text = test_call_graph.ROUTES.replace("bookings", "depot") + "open = true"
    routes.replace(operator_text.parse(text, "test"))
    return routes


def test_a_relayed_request_is_tracked_and_its_answer_names_what_its_route_needs():
    from hosting import dialects

    attribution, routes = Attribution(), create_routes()
    pools = test_local_upstream.RefusingPools([])
    tracker = request_tracker.RequestTracker(attribution, routes.name_route)
    upstream = local_upstream.LocalUpstream(
        gate.Gate(8, 8),
        live_calls.LiveCalls(),
        pools,
        dialects.PlatformUpstreamDialect(),
        tracker=tracker,
    )
    test_local_upstream._announce(upstream, incarnation=1, sequence=1)
    graph = call_graph.CallGraph(routes.dependencies_of)
    needs = route_dependencies.RouteDependencies(graph, routes, attribution)
    thresholds = dependency_thresholds.DependencyThresholds(shedding.ThresholdTable(), graph, needs)
    log = events.EventLog("h1", 1, "fd")
    relay_port = relay.RelayPort(upstream, "token", log, thresholds, None, routes.name_route)
    now = time.monotonic()
    call_context = call.CallContext("r", "", call.Importance.STANDARD, now + LEFT_S, 0, True)
    field = context.encode("token", context.RelayedCall("depot", call_context, 0, None), now)
    request = message.Request(b"GET", b"/depot", [field])
    answered = context.decode_report(
        event_loop.run(relay_port.handle(request, cancellation.Token()))
    )
    assert attribution.told == [("begin", "depot", "lookup", True), "end"]
    assert answered.thresholds.split(" ")[0] == "@progress"
    # For calls that the node sends to its own upstream.
    assert thresholds.encode_statement("depot", now, "lookup") == "@progress"


def test_a_nested_call_is_told_with_the_deadline_that_the_upstream_gave_it():
    from hosting import dialects

    node, attribution, routes = test_port.Node(), Attribution(), create_routes()
    graph = call_graph.CallGraph(routes.dependencies_of)
    caller_port = port.CallerPort(
        routes=routes,
        key_ring=node,
        team_rates=node,
        thresholds=node,
        tree_shedding=tree_shedding.TreeShedding(shedding.ThresholdTable(), graph.dependencies_of),
        call_graph=graph,
        at_most_once=node,
        dispatcher=node,
        log=events.EventLog("h", 1, "fd"),
        retries=2,
        record_answer=lambda seen: None,
        dialect=dialects.PlatformCallerDialect(),
        attribution=attribution,
    )
    left_ms = b"%d" % (1000 * LEFT_S)
    request = message.Request(b"GET", b"/marks", [(b"deadline-ms", left_ms)])
    event_loop.run(caller_port.handle(request, cancellation.Token()))
    assert attribution.told == [("call", "marks", True)]
    assert node.sent[0].route == "marks"
