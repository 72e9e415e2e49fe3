"""The gate under many calls: slots are never exceeded and nobody waits for nothing."""

import asyncio
import time

import pytest

from bergamotridge import call, errors, verdict
from bergamotridge.nodes import record
from bergamotridge.upstreams import gate, outcome
from bergamotridge.util import cancellation
from tests import event_loop


def context(number, importance=call.Importance.STANDARD, left_s=30.0):
    return call.CallContext(
        f"r{number}", "utrecht", importance, time.monotonic() + left_s, 0, repeatable=True
    )


def open_gate(slots, queue):
    opened = gate.Gate(slots, queue)
    opened.announce(record.State.READY, slots, slots, 0.0, time.monotonic())
    return opened


def enter(opened, *arguments):
    return event_loop.run(opened.enter(*arguments))


def wait_until_queued(opened, future):
    while not future.done() and not opened.report(time.monotonic()).queued:
        time.sleep(0.001)


def test_calls_never_exceed_the_slots():
    opened = open_gate(4, 200)
    running, most = [], []

    async def one(number):
        ticket = await opened.enter(context(number), time.monotonic())
        running.append(number)
        most.append(len(running))
        await asyncio.sleep(0)
        running.remove(number)
        ticket.finish(outcome.Outcome.OK, time.monotonic())

    async def worker(numbers):
        for number in numbers:
            await one(number)

    async def everyone():
        await asyncio.gather(*(worker(range(first, 150, 32)) for first in range(32)))

    event_loop.run(everyone())
    assert max(most) == 4
    assert opened.report(time.monotonic()).in_flight == 0


@pytest.mark.parametrize(
    ("act", "reason", "on_loop"),
    [
        (lambda opened, token: token.cancel(), "cancelled", True),
        (lambda opened, token: opened.drain(), "draining", False),
        (lambda opened, token: opened.drain(), "draining", True),
        (
            lambda opened, token: opened.announce(record.State.LOST, 1, 1, 0.0, time.monotonic()),
            "no-upstream",
            True,
        ),
    ],
)
def test_a_waiting_call_leaves_at_once_with_its_reason(act, reason, on_loop):
    opened = open_gate(1, 10)
    enter(opened, context(0), time.monotonic())
    token = cancellation.Token()
    waiting = event_loop.SHARED.submit(opened.enter(context(1), time.monotonic(), token))
    wait_until_queued(opened, waiting)
    if on_loop:
        event_loop.call(lambda: act(opened, token))
    else:
        act(opened, token)
    with pytest.raises(errors.CallError) as caught:
        waiting.result(timeout=20)
    assert caught.value.reason == reason
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


def test_a_call_that_waits_past_its_deadline_is_refused_and_gives_its_place_back():
    opened = open_gate(1, 10)
    first = enter(opened, context(0), time.monotonic())
    with pytest.raises(errors.CallError) as caught:
        enter(opened, context(1, left_s=0.05), time.monotonic())
    assert caught.value.reason == "deadline"
    first.finish(outcome.Outcome.OK, time.monotonic())
    first.finish(outcome.Outcome.OK, time.monotonic())
    assert opened.report(time.monotonic()).in_flight == 0
    enter(opened, context(2), time.monotonic())
