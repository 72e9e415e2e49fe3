"""Calls with an idempotency key that other nodes relay to the home of their key."""

import asyncio
import threading
import time

import pytest

from bergamotridge import answer, call, errors, verdict
from bergamotridge.callers import at_most_once, claims, shutdown
from bergamotridge.nodes import context, dispatch, relay
from bergamotridge.util import message
from standins import store
from tests import event_loop, fake_objects
from tests.test_nodes import test_dispatch


class Dispatcher:
    """Answers each call, and keeps it."""

    def __init__(self) -> None:
        self.sent = []

    async def send(self, outgoing, allowance, token):
        self.sent.append(outgoing)
        return answer.Answer(message.Response(200), verdict.Verdict.RUN)


# The home of a key let relayed calls run until its stop closed the connections.
def test_a_call_relayed_to_a_stopping_home_ends_before_its_connection_is_closed():
    dispatcher, stop, now = Dispatcher(), shutdown.Shutdown(), time.monotonic()
    node_claims = claims.Claims("h", 1, fake_objects.FakeObjects(store.Store()))
    calls = at_most_once.AtMostOnceDispatcher(
        "h", node_claims, dispatcher, None, list, lambda: None, stop
    )
    call_context = call.CallContext("r", "a", call.Importance.CRITICAL, now + 50, 1, False)
    relayed = context.RelayedCall("pay", call_context, 0, None, node_claims.issue(now), "pay")
    stop.begin(now + 3.0, now + 5.0)
    result = event_loop.run(calls.run_relayed(relayed, message.Request(b"POST", b"/", []), None))
    assert result.verdict is verdict.Verdict.RUN
    assert dispatcher.sent[0].context.deadline == now + 5.0 - shutdown.MARGIN_S


# Calls whose own keys waited for a silent store held up those that need nothing of it.
def test_a_call_with_an_issued_key_does_not_wait_for_a_silent_store():
    dispatcher, is_over, now = Dispatcher(), threading.Event(), time.monotonic()

    def wait_for_store():
        is_over.wait(10.0)
        raise errors.PlatformUnavailableError("no answer")

    node_claims = claims.Claims(
        "h",
        1,
        fake_objects.FakeObjects(store.Store()),
        confirm_restorations=wait_for_store,
    )
    calls = at_most_once.AtMostOnceDispatcher(
        "h", node_claims, dispatcher, None, list, lambda: None, shutdown.Shutdown()
    )
    call_context = call.CallContext("r", "a", call.Importance.CRITICAL, now + 50, 1, False)

    def start(key):
        relayed = context.RelayedCall("pay", call_context, 0, None, key, "pay")
        request = message.Request(b"POST", b"/", [])
        return asyncio.ensure_future(calls.run_relayed(relayed, request, None))

    async def run():
        chosen = [start(f"chosen-{i}") for i in range(at_most_once.BEGIN_THREADS)]
        try:
            issued = await asyncio.wait_for(start(node_claims.issue(now)), 5.0)
        finally:
            is_over.set()
        return issued.verdict, {item.verdict for item in await asyncio.gather(*chosen)}

    assert event_loop.run(run()) == (verdict.Verdict.RUN, {verdict.Verdict.MAY_HAVE_RUN})


# A repeat that its key's home never handled must not promise that the first call didn't run.
@pytest.mark.parametrize(
    "reason", [relay.NODE_FAILED, relay.NODE_REFUSED, errors.DEADLINE, "cancelled"]
)
def test_a_repeat_that_does_not_reach_its_home_may_have_run(reason):
    class Home:
        async def send(self, *_):
            error = errors.CallError("x", status=503, reason=reason)
            return answer.from_error(error)

    now, objects = time.monotonic(), fake_objects.FakeObjects(store.Store())
    key = claims.Claims("h1", 1, objects).issue(now)
    calls = at_most_once.AtMostOnceDispatcher(
        "h2",
        claims.Claims("h2", 1, objects),
        Dispatcher(),
        Home(),
        lambda: [test_dispatch.make_record("h1")],
        lambda: None,
        shutdown.Shutdown(),
    )
    call_context = call.CallContext("r", "a", call.Importance.CRITICAL, now + 50, 1, False)
    outgoing = dispatch.OutgoingCall("pay", call_context, message.Request(b"POST", b"/", []))
    claimed = at_most_once.ClaimedCall(key, "pay", outgoing)
    result = event_loop.run(calls.send(claimed, call.Allowance(0), None))
    assert result.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert (result.response.status == 504) is (reason == errors.DEADLINE)
