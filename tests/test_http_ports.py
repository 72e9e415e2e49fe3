"""Limits on requests at the HTTP ports of a node."""

import pytest

from bergamotridge import http_ports, metrics, settings
from bergamotridge.operators import node_metrics, operator_text
from bergamotridge.util import httpd, message
from tests import event_loop

NODE = settings.NodeSettings(
    addresses=settings.Addresses(callers="127.0.0.1:1", relay="127.0.0.1:2")
)


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
