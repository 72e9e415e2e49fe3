"""Calls to the local upstream: a 503 lowers its limit only with the verdict "not-run"."""

import time

import pytest

from bergamotridge import call
from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement, gate, live_calls, local_upstream
from bergamotridge.util import cancellation, message
from tests import event_loop


class RefusingPools:
    """Fake connection pools of an upstream that answers each call with 503."""

    def __init__(self, fields):
        self._fields = fields

    def pool_for(self, address):
        return self

    async def send(self, request, left, token, check):
        return message.Response(503, list(self._fields))


@pytest.mark.parametrize(
    ("fields", "limit"), [([(b"bergamotridge-verdict", b"not-run")], 12), ([], 24)]
)
def test_only_a_refusal_by_the_upstream_itself_lowers_the_limit(fields, limit):
    now = time.monotonic()
    ready_gate = gate.Gate(80, 10, 80)
    upstream = local_upstream.LocalUpstream(
        ready_gate, live_calls.LiveCalls(), RefusingPools(fields)
    )
    upstream.apply_announcement(
        announcement.Announcement("depot", "127.0.0.1:1", record.State.READY, 1, 80, 80, 0.0), now
    )
    context = call.CallContext("r", "t", call.Importance.STANDARD, now + 60, 0, True)
    request = message.Request(b"GET", b"/parts", [])
    for _ in range(3):
        event_loop.run(upstream.run("depot", context, request, 0, cancellation.Token()))
    assert ready_gate.report(now).limit == limit
