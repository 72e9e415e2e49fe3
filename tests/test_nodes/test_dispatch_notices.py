"""What a node knows of the upstreams that it calls, from answers that overtake each other."""

import asyncio
import time

from bergamotridge import answer, call, verdict
from bergamotridge.nodes import dispatch, leaves, record
from bergamotridge.upstreams import notice
from bergamotridge.util import cancellation, message
from tests import event_loop
from tests.test_nodes import test_dispatch

LEAVING = notice.UpstreamNotice(notice.UpstreamId("i-1", 1000), notice.Notice(leaving=True))


class HeldAnswers(test_dispatch.FakeFleet):
    """One host, whose answers the test sends in any order; each call runs."""

    def __init__(self):
        super().__init__()
        self.relayed = []
        self.answers = []

    def candidates(self, service) -> list[record.UpstreamRecord]:
        return [test_dispatch.make_record("h1")]

    async def send(self, address, relayed, request, token) -> answer.Answer:
        self.relayed.append(relayed)
        self.answers.append(asyncio.get_running_loop().create_future())
        given = await self.answers[-1]
        response = message.Response(200)
        return answer.Answer(response, verdict.Verdict.RUN, "", 0, upstream_notice=given)


def make_call() -> dispatch.OutgoingCall:
    context = call.CallContext("r", "t", call.Importance.CRITICAL, time.monotonic() + 60.0, 0, True)
    return dispatch.OutgoingCall("pay", context, message.Request(b"POST", b"/pay", []))


async def notice_sent_after(answers) -> notice.UpstreamNotice | None:
    """Sends two calls, answers them, and returns the notice that goes along with a third call.

    Args:
        answers: Positions of the calls in the order of their answers, with the notice of each.
    """
    fleet = HeldAnswers()
    dispatcher = test_dispatch.make_dispatcher(fleet)

    def start() -> asyncio.Task:
        sending = dispatcher.send(make_call(), call.Allowance(0), cancellation.Token())
        return asyncio.get_running_loop().create_task(sending)

    calls = [start(), start()]
    await asyncio.sleep(0)
    for position, given in answers:
        fleet.answers[position].set_result(given)
        await calls[position]
    last = start()
    await asyncio.sleep(0)
    fleet.answers[2].set_result(None)
    await last
    return fleet.relayed[2].upstream_notice


# An answer that was long on its way made a node forget that an upstream leaves. The node beside it,
# started anew, was not told, and the upstream got calls again.
def test_an_answer_to_an_earlier_call_does_not_withdraw_a_notice():
    assert event_loop.run(notice_sent_after([(1, LEAVING), (0, None)])) == LEAVING


def test_a_notice_that_comes_late_is_kept():
    assert event_loop.run(notice_sent_after([(1, None), (0, LEAVING)])) == LEAVING


# A node that was started anew took a late report of an upstream whose leave it had confirmed.
def test_a_leave_that_a_node_may_have_forgotten_goes_along_with_calls_to_it():
    fleet = HeldAnswers()
    fleet.forgotten_leave = lambda host, now: leaves.Leave("i-1", 1000)
    dispatcher = test_dispatch.make_dispatcher(fleet)

    async def send_call(given):
        sending = dispatcher.send(make_call(), call.Allowance(0), cancellation.Token())
        task = asyncio.get_running_loop().create_task(sending)
        await asyncio.sleep(0)
        fleet.answers[-1].set_result(given)
        await task
        return fleet.relayed[-1].upstream_notice

    next_start = notice.UpstreamNotice(notice.UpstreamId("i-2", 2000), notice.Notice(9.0))
    assert event_loop.run(send_call(next_start)) == LEAVING
    assert event_loop.run(send_call(next_start)) == next_start
