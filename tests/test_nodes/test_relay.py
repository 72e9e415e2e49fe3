"""Reasons of failed relays: a call that its caller cancelled must not count as a failed node."""

import time

import attrs
import pytest

from bergamotridge import answer, call, errors, events, verdict
from bergamotridge.nodes import context, relay
from bergamotridge.util import cancellation, http_client, message
from tests import event_loop
from tests.test_util import test_http_client

MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


@attrs.define(slots=False)
class FailingPools:
    """Connection pools whose transfers fail; `caller_cancels` cancels the call before that."""

    timed_out: bool
    caller_cancels: bool
    failure_verdict: verdict.Verdict = MAY_HAVE_RUN

    def pool_for(self, address):
        return self

    async def send(self, request, timeout_s, token):
        if self.caller_cancels:
            token.cancel()
        raise http_client.TransferError("lost", self.failure_verdict, timed_out=self.timed_out)


@pytest.mark.parametrize(
    ("timed_out", "caller_cancels", "reason"),
    [
        (False, False, "node-failed"),
        (True, False, "deadline"),
        (False, True, "cancelled"),
        (True, True, "cancelled"),
    ],
)
def test_reason_of_a_failed_transfer(timed_out, caller_cancels, reason):
    received = _relay(FailingPools(timed_out, caller_cancels))
    assert (received.reason, received.verdict, received.unused) == (reason, MAY_HAVE_RUN, 0)
    assert received.response.status in (502, 504)


# Callers got 502 or 504 for calls of which no byte had been sent.
@pytest.mark.parametrize("timed_out", [True, False])
def test_a_call_that_no_node_received_is_answered_with_503(timed_out):
    received = _relay(FailingPools(timed_out, False, verdict.Verdict.NOT_RUN))
    assert (received.response.status, received.verdict) == (503, verdict.Verdict.NOT_RUN)


# A call whose time was over was sent to another node, which refused it.
def test_a_call_whose_time_is_over_is_not_relayed(monkeypatch):
    sent = []
    pools = FailingPools(timed_out=False, caller_cancels=False)
    monkeypatch.setattr(pools, "pool_for", lambda address: sent.append(address) or pools)
    received = _relay(pools, deadline=time.monotonic())
    assert (sent, received.reason, received.unused) == ([], errors.DEADLINE, 2)
    assert (received.response.status, received.verdict) == (503, verdict.Verdict.NOT_RUN)


def _refusal_of_a_stop():
    return message.Response(503, [(b"bergamotridge-verdict", b"not-run")])


# Callers got 502 for calls that the port of the other node had refused, full or in its stop.
@pytest.mark.parametrize(
    "refusal",
    [
        answer.fixed_refusal(503, "too many connections", "connections"),
        answer.fixed_refusal(403, "no token", "relay"),
        _refusal_of_a_stop(),
    ],
)
def test_a_call_that_the_port_of_a_node_refused_has_not_run(refusal):
    sent = message.encode_response(refusal, keep_alive=False)
    received = _relay(http_client.Pools(1000), test_http_client.ScriptedServer(sent).address)
    assert (received.response.status, received.verdict) == (503, verdict.Verdict.NOT_RUN)
    assert (received.reason, received.unused) == ("node-failed", 2)


# A call that was too long for a port made the node that sent it leave out one node after the other.
@pytest.mark.parametrize("status", [400, 413, 431])
def test_a_call_that_a_port_can_not_read_says_nothing_of_the_node(status):
    refusal = message.Response(status, [(b"bergamotridge-verdict", b"not-run")])
    sent = message.encode_response(refusal, keep_alive=False)
    received = _relay(http_client.Pools(1000), test_http_client.ScriptedServer(sent).address)
    assert (received.response.status, received.verdict) == (503, verdict.Verdict.NOT_RUN)
    assert received.reason == relay.NODE_REFUSED


# Another answer without a report must not be taken for a refusal: the call may have run.
@pytest.mark.parametrize("claimed", [b"may-have-run", b"run", b"odd"])
def test_an_answer_without_a_report_and_refusal_may_have_run(claimed):
    sent = message.encode_response(
        message.Response(500, [(b"bergamotridge-verdict", claimed)]), keep_alive=False
    )
    received = _relay(http_client.Pools(1000), test_http_client.ScriptedServer(sent).address)
    assert (received.response.status, received.verdict) == (502, MAY_HAVE_RUN)


def _relay(pools, address="127.0.0.1:1", deadline=1e12):
    log = events.EventLog("h1", 1, "utrecht")
    client = relay.RelayClient(pools, "token", log)
    call_context = call.CallContext("r1", "delft", call.Importance.STANDARD, deadline, 0, False)
    relayed = context.RelayedCall("booking", call_context, 2, None)
    request = message.Request(b"GET", b"/slots", [])
    return event_loop.run(client.send(address, relayed, request, cancellation.Token()))


# A relayed call that a fault of this node ended before its upstream saw it counted as one that may
# have run, so that it was not sent to another node.
def test_a_fault_before_a_relayed_call_is_handed_on_is_told_as_not_run(monkeypatch):
    def fail(*_):
        raise RuntimeError("a fault")

    monkeypatch.setattr(context, "decode", fail)
    port = relay.RelayPort(None, "token", events.EventLog("h1", 1, "utrecht"), None, None)
    request = message.Request(b"GET", b"/slots", [])
    response = event_loop.run(port.handle(request, cancellation.Token()))
    sent = message.encode_response(response, keep_alive=False)
    received = _relay(http_client.Pools(1000), test_http_client.ScriptedServer(sent).address)
    assert (received.verdict, received.reason) == (verdict.Verdict.NOT_RUN, relay.NODE_FAILED)
