"""Limits on requests at the HTTP ports of a node."""

import pytest

from bergamotridge import http_ports, metrics, settings
from bergamotridge.operators import node_metrics, operator_text
from bergamotridge.util import httpd, message
from tests import event_loop

NODE = settings.NodeSettings(
    addresses=settings.Addresses(callers="127.0.0.1:1", relay="127.0.0.1:2")
)

LONG_BODY = NODE.limits.body_bytes


async def answer(_request, _token):
    return message.Response(200)


@pytest.mark.parametrize(("name", "header_bytes"), [("callers", 77), ("relay", httpd.HEADER_BYTES)])
def test_limits_in_the_operators_text_apply_to_callers_only(name, header_bytes):
    own_metrics = node_metrics.NodeMetrics(metrics.Metrics(), dict)
    limits = operator_text.Limits(header_bytes=77)
    ports = http_ports.HttpPorts(NODE, event_loop.SHARED, own_metrics, lambda: limits)
    bounds = ports.create(name, answer, 8).bounds()
    assert bounds.header_bytes == header_bytes
    assert bounds.body_bytes == NODE.limits.body_bytes


# A call that the operator's text allows was refused by the port of the node beside its upstream.
@pytest.mark.parametrize(
    "limits",
    [
        operator_text.Limits(header_bytes=2 * httpd.HEADER_BYTES, body_bytes=2 * LONG_BODY),
        operator_text.Limits(),
    ],
)
def test_nodes_take_from_each_other_whatever_a_caller_may_send(limits):
    own_metrics = node_metrics.NodeMetrics(metrics.Metrics(), dict)
    ports = http_ports.HttpPorts(NODE, event_loop.SHARED, own_metrics, lambda: limits)
    of_callers, relayed = (ports.create(name, answer, 8).bounds() for name in ("callers", "relay"))
    assert relayed.header_bytes >= of_callers.header_bytes + http_ports.CONTEXT_BYTES
    assert relayed.body_bytes >= of_callers.body_bytes
