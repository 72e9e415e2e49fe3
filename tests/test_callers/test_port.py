"""The caller port: order of its checks, charges to teams, and what upstreams receive."""

import time

import attrs
import pytest

from bergamotridge import answer, errors, events, verdict
from bergamotridge.callers import dialect as caller_dialect
from bergamotridge.callers import keys, port, shedding, shutdown, tree_shedding
from bergamotridge.nodes import call_graph, routing
from bergamotridge.operators import operator_text
from bergamotridge.util import cancellation, message
from tests import event_loop

TEXT = """
[services.pay]
[routes.pay]
path = "/pay"
method = "POST"
service = "pay"
[routes.prices]
path = "/prices/<path:name>"
service = "pay"
timeout_s = 30
open = true
[teams.a]
rate = 1
burst = 1
"""
NOT_RUN, RUN = verdict.Verdict.NOT_RUN, verdict.Verdict.RUN
KEY = (b"authorization", b"Bearer good")


@attrs.define
class Node:
    """Stand-in for all parts that the port calls; records what it sends."""

    shed: bool = False
    outcome: verdict.Verdict = RUN
    taken: int = 0
    sent: list = attrs.field(factory=list)

    def check(self, *arguments):
        # Thresholds are checked with more arguments than API keys.
        if len(arguments) > 2:
            if self.shed:
                raise errors.CallError("x", status=503, reason="shed")
            return None
        if arguments[0] != "Bearer good":
            raise errors.CallError("x", status=401, reason="key")
        return keys.Key("k", "a")

    async def take(self, team, now):
        self.taken += 1

    def give_back(self, team, now, taken_at):
        self.taken -= 1

    def issue(self):
        return "issued"

    async def send(self, outgoing, allowance, token):
        self.sent.append(outgoing)
        if self.outcome is NOT_RUN:
            raise errors.CallError("x", status=503, reason="claims-full")
        return answer.Answer(message.Response(200), self.outcome)


def create_port(
    node: Node,
    node_shutdown: shutdown.Shutdown | None = None,
    dialect: caller_dialect.CallerDialect | None = None,
    text: str = TEXT,
) -> port.CallerPort:
    """Returns a caller port whose other parts are `node`, without routes if `text` is empty."""
    routes = routing.CurrentRoutes()
    if text:
        routes.replace(operator_text.parse(text, "test"))
    graph = call_graph.CallGraph(routes.dependencies_of)
    return port.CallerPort(
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
        node_shutdown=node_shutdown or shutdown.Shutdown(),
        dialect=dialect or caller_dialect.DefaultDialect(),
    )


def send_call(
    node: Node,
    method: bytes,
    path: bytes,
    *headers: message.Header,
    received_at: float | None = None,
    **options,
) -> message.Response:
    """Returns the response of a caller port whose other parts are `node`."""
    caller_port = create_port(node, **options)
    request = message.Request(method, path, list(headers), received_at=received_at)
    return event_loop.run(caller_port.handle(request, cancellation.Token()))


@pytest.mark.parametrize(
    ("node", "status", "taken"),
    [
        (Node(), 200, 1),
        (Node(shed=True), 503, 0),
        (Node(outcome=NOT_RUN), 503, 0),
        (Node(outcome=verdict.Verdict.MAY_HAVE_RUN), 200, 1),
    ],
    ids=["run", "shed", "not run", "may have run"],
)
def test_a_team_is_charged_only_for_calls_that_may_have_run(node, status, taken):
    assert send_call(node, b"POST", b"/pay", KEY).status == status
    assert node.taken == taken


# A pipelined call that may not be repeated would run beside others, and once more when its caller
# sends it again.
def test_only_calls_that_may_be_repeated_overlap():
    text = TEXT.replace("open = true", "open = true\nrepeatable = true")
    pay, prices, unknown = (
        message.Request(method, path, [])
        for method, path in ((b"POST", b"/pay"), (b"GET", b"/prices/a"), (b"GET", b"/none"))
    )
    caller_port = create_port(Node(), text=text)
    assert [caller_port.may_overlap(item) for item in (pay, prices, unknown)] == [
        False,
        True,
        False,
    ]
    assert not create_port(Node(), text="").may_overlap(prices)


def test_api_key_and_bergamotridge_headers_are_not_sent_to_the_upstream():
    node = Node()
    send_call(node, b"POST", b"/pay", KEY, (b"bergamotridge-call", b"forged"), (b"x-tag", b"1"))
    assert node.sent[0].request.headers == [(b"x-tag", b"1")]


def test_without_an_api_key_only_open_routes_are_served():
    node = Node()
    assert send_call(node, b"POST", b"/pay").status == 401
    assert send_call(node, b"POST", port.ISSUE_KEY_PATH).status == 401
    assert send_call(node, b"GET", b"/prices/wheel").status == 200
    assert node.sent[0].context.team == ""


def test_idempotency_keys_are_issued_to_owners_of_api_keys():
    response = send_call(Node(), b"POST", port.ISSUE_KEY_PATH, KEY)
    assert (response.status, response.body) == (201, b"issued")


@pytest.mark.parametrize("value", [b"0", b"-1", b"x"])
def test_a_malformed_timeout_is_refused(value):
    headers = (KEY, (b"bergamotridge-timeout-ms", value))
    assert send_call(Node(), b"POST", b"/pay", *headers).status == 400


# So many digits raised an error that is no CallError: status 500 and "may have run".
@pytest.mark.parametrize("digits", [400, 5000])
def test_a_timeout_of_many_digits_is_longer_than_the_routes_own(digits):
    node = Node()
    headers = (KEY, (b"bergamotridge-timeout-ms", b"9" * digits))
    assert send_call(node, b"POST", b"/pay", *headers).status == 200
    assert node.sent


@pytest.mark.parametrize("path", [b"/prices/../pay", b"/prices/%2E%2e/pay", b"/prices/./pay"])
def test_a_path_that_an_upstream_may_normalize_is_refused(path):
    node = Node()
    assert send_call(node, b"GET", path).status == 400
    assert not node.sent


@pytest.mark.parametrize(
    ("headers", "expected_verdict"),
    [((KEY,), b"not-run"), ((KEY, (b"idempotency-key", b"k")), b"may-have-run")],
)
def test_a_call_refused_before_its_claim_is_looked_up_may_have_run_if_it_has_a_key(
    headers, expected_verdict
):
    response = send_call(Node(shed=True), b"POST", b"/pay", *headers)
    assert response.header(b"bergamotridge-verdict") == expected_verdict


# A call that a fault of the node ended before it was sent was told as one that may have run.
@pytest.mark.parametrize(
    ("headers", "is_not_run"), [((KEY,), True), ((KEY, (b"idempotency-key", b"k")), False)]
)
def test_a_fault_before_a_call_is_sent_is_told_as_not_run_unless_an_earlier_call_may_have(
    monkeypatch, headers, is_not_run
):
    async def fail(*_):
        raise RuntimeError("a fault")

    node = Node()
    monkeypatch.setattr(Node, "take", fail)
    if is_not_run:
        response = send_call(node, b"POST", b"/pay", *headers)
        assert response.status == 503
        assert response.header(b"bergamotridge-verdict") == b"not-run"
    else:
        with pytest.raises(RuntimeError):
            send_call(node, b"POST", b"/pay", *headers)
    assert not node.sent


# What fails once a call is being sent may have run: nothing else may be claimed.
def test_a_fault_as_a_call_is_sent_is_not_told_as_not_run(monkeypatch):
    async def fail(*_):
        raise RuntimeError("a fault")

    monkeypatch.setattr(Node, "send", fail)
    with pytest.raises(RuntimeError):
        send_call(Node(), b"POST", b"/pay", KEY)


class NestedCallDialect(caller_dialect.DefaultDialect):
    """Takes every call without a key for one of an upstream, made for a running request."""

    def is_nested_call(self, request):
        return request.header(b"authorization") is None


# Calls of upstreams that a stopping node took ran until it closed their connections.
@pytest.mark.parametrize(("path", "headers"), [(b"/prices/1", ()), (b"/prices/1", (KEY,))])
def test_a_call_taken_by_a_stopping_node_ends_before_its_connection_is_closed(path, headers):
    node, stop = Node(), shutdown.Shutdown()
    now = time.monotonic()
    closes_at = now + 5.0
    stop.begin(now + 3.0, closes_at)
    send_call(node, b"GET", path, *headers, node_shutdown=stop, dialect=NestedCallDialect())
    assert node.sent[0].context.deadline <= closes_at - shutdown.MARGIN_S


# Calls without a key, taken for those of upstreams, were sent on late in a stop, and broken off.
@pytest.mark.parametrize("headers", [(), (KEY,)])
def test_a_stopping_node_sends_no_call_on_that_could_be_broken_off(headers):
    node, stop = Node(), shutdown.Shutdown()
    now = time.monotonic()
    stop.begin(now, now + 0.5)
    dialect = NestedCallDialect()
    response = send_call(node, b"GET", b"/prices/1", *headers, node_shutdown=stop, dialect=dialect)
    assert (response.status, response.header(b"bergamotridge-verdict")) == (503, b"not-run")
    assert not node.sent


# The time that a call waited behind another one on its connection was given to it once more.
def test_the_time_of_a_call_counts_from_its_arrival():
    node, received_at = Node(), time.monotonic() - 1.0
    headers = (KEY, (b"bergamotridge-timeout-ms", b"1500"))
    assert send_call(node, b"POST", b"/pay", *headers, received_at=received_at).status == 200
    assert node.sent[0].context.deadline == received_at + 1.5
