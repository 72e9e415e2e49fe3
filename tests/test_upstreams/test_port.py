"""The port of the local upstream: who may call what, and announcements."""

import time

import pytest

from bergamotridge import answer, call, events, verdict
from bergamotridge.nodes import routing
from bergamotridge.operators import text
from bergamotridge.upstreams import live, port
from bergamotridge.util import cancellation, message
from tests import event_loop

TEXT = """
[services.front]
depends_on = ["back"]
[services.back]
[services.other]
[routes.back]
path = "/back"
service = "back"
timeout_s = 100
[routes.other]
path = "/other"
service = "other"
[teams.a]
rate = 1
burst = 1
"""
GOOD = (
    b'{"service": "front", "address": "127.0.0.1:1", "state": "ready", "incarnation": 1,'
    b' "slots": 5, "connections": 5, "load": 0}'
)


class Node:
    """Stands for the rest of the node."""

    def __init__(self) -> None:
        self.calls = live.LiveCalls()
        self.sent = []
        self.announced = []
        routes = routing.CurrentRoutes()
        routes.replace(text.parse(TEXT, "test"))
        self.port = port.UpstreamPort(
            self.calls,
            self,
            lambda announcement, now: self.announced.append(announcement),
            routes,
            events.EventLog("h", 1, "fd"),
        )
        context = call.CallContext(
            "r", "a", call.Importance.CRITICAL, time.monotonic() + 50, 2, False
        )
        self.parent = self.calls.open("front", context, 3, cancellation.Token())

    async def send(self, outgoing, allowance, token):
        self.sent.append((outgoing, allowance))
        return answer.Answer(message.Response(200), verdict.Verdict.RUN)

    def ask(self, method: bytes, target: bytes, body: bytes = b"", call_id: str = "") -> int:
        headers = [(b"bergamotridge-call", call_id.encode())] if call_id else []
        request = message.Request(method, target, headers, body)
        return event_loop.run(self.port.handle(request, cancellation.Token())).status


def test_a_dependency_inherits_request_team_deadline_and_allowance():
    node = Node()
    assert node.ask(b"GET", b"/back", call_id=node.parent.call_id) == 200
    outgoing, allowance = node.sent[0]
    above = node.parent.context
    assert allowance is node.parent.allowance
    assert outgoing.context.deadline == above.deadline
    assert (outgoing.context.request_id, outgoing.context.depth) == ("r", above.depth + 1)
    assert (outgoing.context.team, outgoing.context.importance) == ("a", above.importance)


def test_calls_without_a_live_call_or_outside_the_graph_are_refused():
    node = Node()
    assert node.ask(b"GET", b"/back") == 401
    assert node.ask(b"GET", b"/back", call_id="0" * 32) == 401
    assert node.ask(b"GET", b"/other", call_id=node.parent.call_id) == 403
    node.calls.close(node.parent)
    assert node.ask(b"GET", b"/back", call_id=node.parent.call_id) == 401
    assert not node.sent


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (GOOD, 200),
        (GOOD.replace(b"ready", b"asleep"), 400),
        (GOOD.replace(b'"slots": 5', b'"slots": "5"'), 400),
        (GOOD.replace(b'"slots": 5', b'"slots": 0'), 400),
        (GOOD.replace(b"127.0.0.1:1", b"localhost:1"), 400),
        (GOOD.replace(b'"load": 0', b'"load": -1'), 400),
        (b"[]", 400),
        (b"{", 400),
    ],
)
def test_bad_announcements_are_refused(body, status):
    node = Node()
    assert node.ask(b"POST", port.ANNOUNCE_PATH, body) == status
    assert len(node.announced) == (status == 200)
