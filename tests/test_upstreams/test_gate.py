"""The gate under many calls: slots are never exceeded, and no call waits in vain."""

import asyncio
import time

import pytest

from bergamotridge import call, errors, verdict
from bergamotridge.nodes import record
from bergamotridge.upstreams import gate, outcome
from bergamotridge.util import cancellation
from tests import event_loop


def make_context(number, importance=call.Importance.STANDARD, left_s=30.0):
    return call.CallContext(
        f"r{number}", "utrecht", importance, time.monotonic() + left_s, 0, repeatable=True
    )


def make_open_gate(slots, queue_capacity):
    open_gate = gate.Gate(slots, queue_capacity)
    open_gate.apply_announcement(record.State.READY, slots, slots, 0.0, time.monotonic())
    return open_gate


def enter(open_gate, *arguments):
    """Enters a call on the event loop of the tests and returns its ticket."""
    return event_loop.run(open_gate.enter(*arguments))


def wait_until_queued(open_gate, future):
    """Blocks until a call waits in the gate or `future` is done."""
    while not future.done() and not open_gate.report(time.monotonic()).queued:
        time.sleep(0.001)


def test_running_calls_never_exceed_the_slots():
    open_gate = make_open_gate(4, 200)
    running, running_counts = [], []
    # Time stands still, as calls that wait for long are shed.
    now = time.monotonic()

    async def run_call(number):
        ticket = await open_gate.enter(make_context(number), now)
        running.append(number)
        running_counts.append(len(running))
        await asyncio.sleep(0)
        running.remove(number)
        ticket.finish(outcome.Outcome.OK, now)

    async def run_calls(numbers):
        for number in numbers:
            await run_call(number)

    async def run_workers():
        await asyncio.gather(*(run_calls(range(first, 150, 32)) for first in range(32)))

    event_loop.run(run_workers())
    assert max(running_counts) == 4
    assert open_gate.report(time.monotonic()).in_flight == 0


@pytest.mark.parametrize(
    ("end_wait", "reason", "on_loop"),
    [
        (lambda open_gate, token: token.cancel(), "cancelled", True),
        (lambda open_gate, token: open_gate.drain(), "draining", False),
        (lambda open_gate, token: open_gate.drain(), "draining", True),
        (
            lambda open_gate, token: open_gate.apply_announcement(
                record.State.LOST, 1, 1, 0.0, time.monotonic()
            ),
            "no-upstream",
            True,
        ),
    ],
)
def test_a_waiting_call_is_refused_at_once_with_the_reason(end_wait, reason, on_loop):
    open_gate = make_open_gate(1, 10)
    enter(open_gate, make_context(0), time.monotonic())
    token = cancellation.Token()
    waiting = event_loop.SHARED.submit(open_gate.enter(make_context(1), time.monotonic(), token))
    wait_until_queued(open_gate, waiting)
    if on_loop:
        event_loop.call(lambda: end_wait(open_gate, token))
    else:
        end_wait(open_gate, token)
    with pytest.raises(errors.CallError) as error_info:
        waiting.result(timeout=20)
    assert error_info.value.reason == reason
    assert error_info.value.verdict is verdict.Verdict.NOT_RUN


def test_a_call_that_waits_past_its_deadline_is_refused_and_holds_no_slot():
    open_gate = make_open_gate(1, 10)
    first = enter(open_gate, make_context(0), time.monotonic())
    with pytest.raises(errors.CallError) as error_info:
        enter(open_gate, make_context(1, left_s=0.05), time.monotonic())
    assert error_info.value.reason == "deadline"
    first.finish(outcome.Outcome.OK, time.monotonic())
    first.finish(outcome.Outcome.OK, time.monotonic())
    assert open_gate.report(time.monotonic()).in_flight == 0
    enter(open_gate, make_context(2), time.monotonic())


# Guards against calls from nodes that have not learned of an evacuation yet, and calls that wait.
def test_the_gate_of_an_evacuated_domain_refuses_calls_as_not_run_until_it_is_taken_back():
    async def run():
        open_gate = make_open_gate(1, 5)
        now = time.monotonic()
        running = await open_gate.enter(make_context(1), now)
        waiting = asyncio.ensure_future(open_gate.enter(make_context(2), now))
        await asyncio.sleep(0)
        open_gate.set_evacuated(True)
        for refused in (waiting, open_gate.enter(make_context(3), now)):
            with pytest.raises(errors.CallError) as info:
                await refused
            assert (info.value.reason, info.value.verdict) == ("draining", verdict.Verdict.NOT_RUN)
        running.finish(outcome.Outcome.OK, now)
        open_gate.set_evacuated(False)
        assert await open_gate.enter(make_context(4), now)

    event_loop.run(run())
