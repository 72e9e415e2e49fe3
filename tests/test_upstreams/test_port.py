"""The port of the local upstream: permitted calls to dependencies, and announcements."""

import time

import pytest

from bergamotridge import answer, call, events, verdict
from bergamotridge.nodes import routing
from bergamotridge.operators import operator_text
from bergamotridge.upstreams import live_calls, port
from bergamotridge.util import cancellation, message
from tests import event_loop

OPERATORS_TEXT = """
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
VALID_ANNOUNCEMENT = (
    b'{"service": "front", "address": "127.0.0.1:1", "state": "ready", "incarnation": 1,'
    b' "slots": 5, "connections": 5, "load": 0}'
)


class FakeNode:
    """Fake of the rest of the node: dispatcher, registry of live calls and route table."""

    def __init__(self) -> None:
        self.calls = live_calls.LiveCalls()
        self.sent = []
        self.announced = []
        self.closes_at = float("inf")
        routes = routing.CurrentRoutes()
        routes.replace(operator_text.parse(OPERATORS_TEXT, "test"))
        self.port = port.UpstreamPort(
            self.calls,
            self,
            lambda announcement, now: self.announced.append(announcement),
            routes,
            events.EventLog("h", 1, "fd"),
            lambda deadline: min(deadline, self.closes_at),
        )
        context = call.CallContext(
            "r", "a", call.Importance.CRITICAL, time.monotonic() + 50, 2, False
        )
        self.parent = self.calls.open("front", context, 3, cancellation.Token())

    async def send(self, outgoing, allowance, token):
        self.sent.append((outgoing, allowance))
        return answer.Answer(message.Response(200), verdict.Verdict.RUN)

    def send_request(
        self, method: bytes, target: bytes, body: bytes = b"", call_id: str = ""
    ) -> int:
        """Sends a request to the port and returns the status of the response."""
        headers = [(b"bergamotridge-call", call_id.encode())] if call_id else []
        request = message.Request(method, target, headers, body)
        return event_loop.run(self.port.handle(request, cancellation.Token())).status


# A stopping node let calls of its upstream run until it closed their connections.
def test_a_call_to_a_dependency_ends_before_a_stopping_node_closes_its_connection():
    node = FakeNode()
    node.closes_at = time.monotonic() + 5.0
    assert node.send_request(b"GET", b"/back", call_id=node.parent.call_id) == 200
    assert node.sent[0][0].context.deadline == node.closes_at


def test_a_call_to_a_dependency_inherits_request_team_deadline_and_allowance():
    node = FakeNode()
    assert node.send_request(b"GET", b"/back", call_id=node.parent.call_id) == 200
    outgoing, allowance = node.sent[0]
    parent_context = node.parent.context
    assert allowance is node.parent.allowance
    assert outgoing.context.deadline == parent_context.deadline
    assert (outgoing.context.request_id, outgoing.context.depth) == ("r", parent_context.depth + 1)
    assert (outgoing.context.team, outgoing.context.importance) == ("a", parent_context.importance)


def test_calls_without_a_live_parent_or_to_an_undeclared_dependency_are_refused():
    node = FakeNode()
    assert node.send_request(b"GET", b"/back") == 401
    assert node.send_request(b"GET", b"/back", call_id="0" * 32) == 401
    assert node.send_request(b"GET", b"/other", call_id=node.parent.call_id) == 403
    node.calls.close(node.parent)
    assert node.send_request(b"GET", b"/back", call_id=node.parent.call_id) == 401
    assert not node.sent


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (VALID_ANNOUNCEMENT, 200),
        (VALID_ANNOUNCEMENT.replace(b"ready", b"asleep"), 400),
        (VALID_ANNOUNCEMENT.replace(b'"slots": 5', b'"slots": "5"'), 400),
        (VALID_ANNOUNCEMENT.replace(b'"slots": 5', b'"slots": 0'), 400),
        (VALID_ANNOUNCEMENT.replace(b"127.0.0.1:1", b"localhost:1"), 400),
        (VALID_ANNOUNCEMENT.replace(b'"load": 0', b'"load": -1'), 400),
        # Numbers too large for a gossip message ended all gossip of the node.
        (VALID_ANNOUNCEMENT.replace(b'"slots": 5', b'"slots": 5000000000'), 400),
        (VALID_ANNOUNCEMENT.replace(b'"slots": 5', b'"slots": ' + str(10**18).encode()), 400),
        (VALID_ANNOUNCEMENT.replace(b'"load": 0', b'"load": 1e300'), 400),
        (VALID_ANNOUNCEMENT.replace(b"127.0.0.1:1", b"127.0.0.1:99999"), 400),
        # The message quoted the whole value, which has more levels than can be descended.
        (VALID_ANNOUNCEMENT.replace(b'"load": 0', b'"load": ' + b"[" * 1000 + b"]" * 1000), 400),
        (b"[]", 400),
        (b"{", 400),
    ],
)
def test_invalid_announcements_are_rejected(body, status):
    node = FakeNode()
    assert node.send_request(b"POST", port.ANNOUNCE_PATH, body) == status
    assert len(node.announced) == (status == 200)


# A call that a fault of the node ended before it was sent was told as one that may have run.
def test_a_fault_before_a_call_to_a_dependency_is_sent_is_told_as_not_run(monkeypatch):
    def fail(*_):
        raise RuntimeError("a fault")

    node = FakeNode()
    monkeypatch.setattr(port.UpstreamPort, "_check_dependency", fail)
    fields = [(b"bergamotridge-call", node.parent.call_id.encode())]
    request = message.Request(b"GET", b"/back", fields)
    response = event_loop.run(node.port.handle(request, cancellation.Token()))
    assert (response.status, response.header(b"bergamotridge-verdict")) == (503, b"not-run")
    assert not node.sent
