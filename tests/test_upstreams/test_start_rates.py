"""A cold upstream, which crashes above a number of calls a second, gets no more than that."""

import asyncio
import random

import pytest

from bergamotridge import call, errors
from bergamotridge.nodes import record
from bergamotridge.upstreams import gate, outcome, start_rates

SLOTS = 39
RATE = 2.65
FLOOD_PER_S = 90
STEP_S = 1 / FLOOD_PER_S
HEARTBEAT_S = 0.25
# The upstream is cold in these times. The node is started anew within the second one.
COLD = ((0.0, 3.0), (6.03, 9.0))
NODE_RESTART = 7.0


def make_gate(slots=SLOTS):
    made = gate.Gate(1, 64)
    made.configure(slots, slots)
    made.configure_cold(RATE, 3.0)
    return made


def announce(to, now, cold_s, is_new=False, slots=SLOTS):
    to.apply_coldness(cold_s, is_new, now)
    to.apply_announcement(record.State.READY, slots, slots, 0.0, now, exact_slots=True)


async def offer(to, number, now):
    """Offers a call, and returns its ticket, or the reason for its refusal."""
    context = call.CallContext(f"r{number}", "t", call.Importance.STANDARD, now + 5, 0, True)
    try:
        return await to.enter(context, now)
    except errors.CallError as error:
        return error.reason


async def flood(rng):
    """Returns when calls started, in virtual time."""
    to, running, starts = make_gate(), [], []
    heartbeat_at, restarted = 0.1, False
    for step in range(14 * FLOOD_PER_S):
        now = step * STEP_S
        if now >= NODE_RESTART and not restarted:
            to, running, restarted = make_gate(), [], True
            heartbeat_at = now + rng.uniform(0.0, HEARTBEAT_S)
        if now >= heartbeat_at:
            announce(to, now, sum(end - now for begin, end in COLD if begin <= now < end))
            heartbeat_at += HEARTBEAT_S
        for _, ticket in [item for item in running if item[0] <= now]:
            ticket.finish(outcome.Outcome.OK, now)
        running = [item for item in running if item[0] > now]
        result = await offer(to, step, now)
        if not isinstance(result, str):
            starts.append(now)
            running.append((now + rng.uniform(0.1, 0.4), result))
    return starts


# Guards against calls that add up over a start, a return of coldness and a restart of the node.
@pytest.mark.parametrize("seed", range(3))
def test_no_second_of_a_cold_upstream_holds_more_calls_than_allowed(seed):
    starts = asyncio.run(flood(random.Random(seed)))
    known_at = COLD[1][0] + HEARTBEAT_S + STEP_S
    for begin, end in (COLD[0], (known_at, COLD[1][1])):
        bounded = [start for start in starts if begin <= start < end]
        assert len(bounded) >= 3, "the bound leaves some calls"
        assert max(sum(at <= start < at + 1.0 for start in bounded) for at in bounded) <= RATE + 1
    # Calls from before the coldness was known share no second with those of the bound.
    last_before = max(start for start in starts if start < known_at)
    assert not [start for start in starts if last_before < start < last_before + 1.0]
    assert sum(3.5 <= start < 4.5 for start in starts) > 1.5 * RATE + 8, "the bound ends"


# Guards against calls that wait at a cold gate while other upstreams have room.
def test_a_cold_gate_reports_more_than_full_and_refuses_what_waits():
    async def run():
        to = make_gate(slots=1)
        announce(to, 0.0, 0.0, slots=1)
        await offer(to, 1, 0.0)
        waiting = asyncio.ensure_future(offer(to, 2, 0.1))
        await asyncio.sleep(0)
        assert not waiting.done()
        announce(to, 0.2, 2.0, slots=1)
        assert await waiting == "cold"
        assert to.report(0.2).load == start_rates.COLD_LOAD
        assert (to.cold_rate(0.2), to.cold_rate(2.3)) == (RATE, 0.0)

    asyncio.run(run())


# Guards against a bound without effect where announcements don't name the coldness.
def test_an_upstream_that_does_not_say_how_long_it_is_cold_counts_as_cold_from_its_start():
    to = make_gate()
    announce(to, 5.0, None, is_new=True)
    announce(to, 7.0, None)
    assert (to.cold_rate(7.9), to.cold_rate(8.1)) == (RATE, 0.0)
    to.configure_cold(0.0, 3.0)
    assert to.cold_rate(5.1) == 0.0
