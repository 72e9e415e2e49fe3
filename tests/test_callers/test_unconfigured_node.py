"""What a node answers to callers before it has received a configuration."""

import pytest

from bergamotridge import events
from bergamotridge.callers import port, shedding, tree_shedding
from bergamotridge.nodes import call_graph, routing
from bergamotridge.util import cancellation, message
from tests import event_loop


def send_call(*headers: message.Header) -> message.Response:
    """Returns the response of a caller port whose parts other than the routes are not reached."""
    routes = routing.CurrentRoutes()
    graph = call_graph.CallGraph(routes.dependencies_of)
    caller_port = port.CallerPort(
        routes=routes,
        key_ring=None,
        team_rates=None,
        thresholds=None,
        tree_shedding=tree_shedding.TreeShedding(shedding.ThresholdTable(), graph.dependencies_of),
        call_graph=graph,
        at_most_once=None,
        dispatcher=None,
        log=events.EventLog("h", 1, "fd"),
        retries=2,
        record_answer=lambda seen: None,
    )
    request = message.Request(b"POST", b"/pay", list(headers))
    return event_loop.run(caller_port.handle(request, cancellation.Token()))


# A node without a configuration called a repeat "not run" while the first call with its key ran.
@pytest.mark.parametrize(
    ("headers", "expected_verdict"),
    [((), b"not-run"), (((b"idempotency-key", b"k"),), b"may-have-run")],
)
def test_a_call_with_a_key_may_have_run_although_the_node_knows_no_route(headers, expected_verdict):
    response = send_call(*headers)
    assert response.status == 503
    assert response.header(b"bergamotridge-verdict") == expected_verdict
