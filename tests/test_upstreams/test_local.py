"""The call to the local upstream: only its own word lowers its limit."""

import time

import pytest

from bergamotridge import call
from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement, gate, live, local
from bergamotridge.util import cancellation, message
from tests import event_loop


class Upstream:
    """Stands for the connections to an upstream that answers 503."""

    def __init__(self, fields):
        self._fields = fields

    def to(self, address):
        return self

    async def send(self, request, left, token, check):
        return message.Response(503, list(self._fields))


@pytest.mark.parametrize(
    ("fields", "limit"), [([(b"bergamotridge-verdict", b"not-run")], 12), ([], 24)]
)
def test_a_refusal_passed_on_from_a_dependency_leaves_the_limit(fields, limit):
    now = time.monotonic()
    opened = gate.Gate(80, 10, 80)
    upstream = local.LocalUpstream(opened, live.LiveCalls(), Upstream(fields))
    upstream.announce(
        announcement.Announcement("depot", "127.0.0.1:1", record.State.READY, 1, 80, 80, 0.0), now
    )
    context = call.CallContext("r", "t", call.Importance.STANDARD, now + 60, 0, True)
    request = message.Request(b"GET", b"/parts", [])
    for _ in range(3):
        event_loop.run(upstream.run("depot", context, request, 0, cancellation.Token()))
    assert opened.report(now).limit == limit
