"""Ends of relayed calls: a call that was cancelled says nothing about the node it went to."""

import attrs
import pytest

from bergamotridge import call, events, verdict
from bergamotridge.nodes import context, relay
from bergamotridge.util import cancellation, http_client, message
from tests import event_loop

MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


@attrs.define
class LostTransfer:
    """Pools whose transfers end without an answer; the caller may leave meanwhile."""

    timed_out: bool
    leaves: bool

    def to(self, address):
        return self

    async def send(self, request, timeout_s, token):
        if self.leaves:
            token.cancel()
        raise http_client.TransferError("lost", MAY_HAVE_RUN, timed_out=self.timed_out)


@pytest.mark.parametrize(
    ("timed_out", "leaves", "reason"),
    [
        (False, False, "node-failed"),
        (True, False, "deadline"),
        (False, True, "cancelled"),
        (True, True, "cancelled"),
    ],
)
def test_reason_of_a_lost_transfer(timed_out, leaves, reason):
    log = events.EventLog("h1", 1, "utrecht")
    client = relay.RelayClient(LostTransfer(timed_out, leaves), "token", log)
    known = call.CallContext("r1", "delft", call.Importance.STANDARD, 1e12, 0, False)
    relayed = context.RelayedCall("booking", known, 2, None)
    request = message.Request(b"GET", b"/slots", [])
    given = event_loop.run(client.send("127.0.0.1:1", relayed, request, cancellation.Token()))
    assert (given.reason, given.verdict, given.unused) == (reason, MAY_HAVE_RUN, 0)
