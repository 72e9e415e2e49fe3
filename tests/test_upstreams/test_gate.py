"""The gate under threads: slots are never exceeded and nobody waits for nothing."""

import concurrent.futures
import time

import pytest

from bergamotridge import call, errors, verdict
from bergamotridge.nodes import record
from bergamotridge.upstreams import gate, outcome
from bergamotridge.util import cancellation


def context(number, importance=call.Importance.STANDARD, left_s=30.0):
    return call.CallContext(
        f"r{number}", "utrecht", importance, time.monotonic() + left_s, 0, repeatable=True
    )


def open_gate(slots, queue):
    opened = gate.Gate(slots, queue)
    opened.announce(record.State.READY, slots, slots, 0.0, time.monotonic())
    return opened


def wait_until_queued(opened, future):
    while not future.done() and not opened.report(time.monotonic()).queued:
        time.sleep(0.001)


def test_threads_never_exceed_the_slots():
    opened = open_gate(4, 200)
    running, most = [], []

    def one(number):
        ticket = opened.enter(context(number), time.monotonic())
        running.append(number)
        most.append(len(running))
        running.remove(number)
        ticket.finish(outcome.Outcome.OK, time.monotonic())

    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        list(pool.map(one, range(150)))
    assert max(most) <= 4
    assert opened.report(time.monotonic()).in_flight == 0


@pytest.mark.parametrize(
    ("act", "reason"),
    [
        (lambda opened, token: token.cancel(), "cancelled"),
        (lambda opened, token: opened.drain(), "draining"),
        (
            lambda opened, token: opened.announce(record.State.LOST, 1, 1, 0.0, time.monotonic()),
            "no-upstream",
        ),
    ],
)
def test_a_waiting_call_leaves_at_once_with_its_reason(act, reason):
    opened = open_gate(1, 10)
    opened.enter(context(0), time.monotonic())
    token = cancellation.Token()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(opened.enter, context(1), time.monotonic(), token)
        wait_until_queued(opened, waiting)
        act(opened, token)
        with pytest.raises(errors.CallError) as caught:
            waiting.result(timeout=20)
    assert caught.value.reason == reason
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


def test_a_call_that_waits_past_its_deadline_is_refused_and_gives_its_place_back():
    opened = open_gate(1, 10)
    first = opened.enter(context(0), time.monotonic())
    with pytest.raises(errors.CallError) as caught:
        opened.enter(context(1, left_s=0.05), time.monotonic())
    assert caught.value.reason == "deadline"
    first.finish(outcome.Outcome.OK, time.monotonic())
    first.finish(outcome.Outcome.OK, time.monotonic())
    assert opened.report(time.monotonic()).in_flight == 0
    opened.enter(context(2), time.monotonic())
