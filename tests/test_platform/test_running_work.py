"""Calls that an upstream makes for a running request are admitted before new requests."""

import pytest

from bergamotridge import call, errors, events
from bergamotridge.callers import port, shedding, tree_shedding
from bergamotridge.nodes import call_graph, routing
from bergamotridge.util import cancellation, message
from tests import event_loop
from tests.test_callers import test_port
from tests.test_platform import test_configuration


class SheddingThresholds:
    """Thresholds that shed every call."""

    def check(self, *arguments):
        raise errors.CallError("x", status=503, reason="shed")


@pytest.mark.parametrize(("key", "should_be_sent"), [(None, True), (b"Bearer k1", False)])
def test_only_a_call_without_a_key_is_exempt_from_shedding_as_running_work(key, should_be_sent):
    from hosting import configuration, dialects

    node, routes = test_port.Node(), routing.CurrentRoutes()
    source = test_configuration.orjson.dumps(test_configuration.CONFIGURATION).decode()
    routes.replace(configuration.parse(source, "test"))
    graph = call_graph.CallGraph(routes.dependencies_of)
    caller_port = port.CallerPort(
        routes=routes,
        key_ring=node,
        team_rates=node,
        thresholds=SheddingThresholds(),
        tree_shedding=tree_shedding.TreeShedding(shedding.ThresholdTable(), graph.dependencies_of),
        call_graph=graph,
        at_most_once=node,
        dispatcher=node,
        log=events.EventLog("h", 1, "fd"),
        retries=2,
        record_answer=lambda seen: None,
        dialect=dialects.PlatformCallerDialect(),
    )
    fields = [(b"host", b"a.example")] + ([(b"authorization", key)] if key else [])
    request = message.Request(b"POST", b"/x/y/1", fields)
    event_loop.run(caller_port.handle(request, cancellation.Token()))
    assert bool(node.sent) is should_be_sent
    if should_be_sent:
        (outgoing,) = node.sent
        context = outgoing.context
        assert (context.depth, context.importance) == (1, call.Importance.CRITICAL)
