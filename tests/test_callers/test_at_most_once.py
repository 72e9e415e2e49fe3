"""Calls with an idempotency key that other nodes relay to the home of their key."""

import time

from bergamotridge import answer, call, verdict
from bergamotridge.callers import at_most_once, claims, shutdown
from bergamotridge.nodes import context
from bergamotridge.util import message
from standins import store
from tests import event_loop, fake_objects


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
