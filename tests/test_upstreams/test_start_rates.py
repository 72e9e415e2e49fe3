"""A cold upstream, which crashes above a number of calls a second, gets no more than that."""

import asyncio
import random

import pytest

from bergamotridge import call, errors
from bergamotridge.nodes import record
from bergamotridge.upstreams import gate, outcome

SLOTS = 39
RATE = 2.65
ALLOWED = 1.5 * RATE + 8
FLOOD_PER_S = 90
HEARTBEAT_S = 0.25
END = 14.0
# The upstream is cold in these times. The node is started anew within the second one.
COLD = ((0.0, 3.0), (6.03, 9.0))
NODE_RESTART = 7.0


class Flood:
    """One gate in virtual time beside an upstream that announces how long it stays cold."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.starts = []
        self.reasons = []
        self.gate = self.new_gate()
        self.is_known = False

    @staticmethod
    def new_gate():
        made = gate.Gate(1, 64)
        made.configure(SLOTS, SLOTS)
        made.configure_cold(RATE, 3.0)
        return made

    def announce(self, now):
        cold_s = max((end - now for begin, end in COLD if begin <= now < end), default=0.0)
        self.gate.apply_coldness(cold_s, not self.is_known, now)
        self.gate.apply_announcement(record.State.READY, SLOTS, SLOTS, 0.0, now, exact_slots=True)
        self.is_known = True

    async def offer(self, number, now):
        context = call.CallContext(f"r{number}", "t", call.Importance.STANDARD, now + 5, 0, True)
        entering = asyncio.ensure_future(self.gate.enter(context, now, clock=lambda: now))
        await asyncio.sleep(0)
        assert entering.done(), "there are more slots than calls under way, so that none waits"
        try:
            ticket = entering.result()
        except errors.CallError as error:
            self.reasons.append((now, error.reason))
            return None
        self.starts.append(now)
        return ticket

    async def run(self):
        running = []
        next_heartbeat = 0.1
        for step in range(round(END * FLOOD_PER_S)):
            now = step / FLOOD_PER_S
            if NODE_RESTART <= now < NODE_RESTART + 1 / FLOOD_PER_S:
                self.gate, self.is_known, running = self.new_gate(), False, []
                next_heartbeat = now + self.rng.uniform(0.0, HEARTBEAT_S)
            if now >= next_heartbeat:
                self.announce(now)
                next_heartbeat += HEARTBEAT_S
            for _, ticket in [item for item in running if item[0] <= now]:
                ticket.finish(outcome.Outcome.OK, now)
            running = [item for item in running if item[0] > now]
            ticket = await self.offer(step, now)
            if ticket is not None:
                running.append((now + self.rng.uniform(0.1, 0.4), ticket))


@pytest.mark.parametrize("seed", range(3))
def test_no_second_of_a_cold_upstream_holds_more_calls_than_allowed(seed):
    """Guards against calls that add up across the start, a return of coldness and a restart."""
    flood = Flood(seed)
    asyncio.run(flood.run())
    known_from = {0.0: 0.0, 6.03: 6.03 + HEARTBEAT_S + 1 / FLOOD_PER_S}
    for begin, end in COLD:
        starts = [start for start in flood.starts if known_from[begin] <= start < end]
        assert len(starts) >= 3, "the bound leaves some calls"
        most = max(sum(at <= start < at + 1.0 for start in starts) for at in starts)
        assert most <= RATE + 1, begin
        assert {reason for now, reason in flood.reasons if known_from[begin] < now < end} <= {
            "cold",
            "no-upstream",
        }
    # Calls from before the coldness was known share no second with those of the bound.
    last_before = max(start for start in flood.starts if start < known_from[6.03])
    assert not [start for start in flood.starts if last_before < start < last_before + 1.0]
    assert sum(3.5 <= start < 4.5 for start in flood.starts) > ALLOWED, "the bound ends"


def test_a_cold_gate_reports_more_than_full_and_refuses_what_waits():
    """Guards against calls that wait at a cold gate while other upstreams have room."""

    async def run():
        flood = Flood(1)
        flood.gate.configure(1, 1)
        flood.gate.apply_coldness(0.0, True, 0.0)
        flood.gate.apply_announcement(record.State.READY, 1, 1, 0.0, 0.0, exact_slots=True)
        assert await flood.offer(1, 0.0) is not None
        context = call.CallContext("r2", "t", call.Importance.STANDARD, 9.0, 1, True)
        waiting = asyncio.ensure_future(flood.gate.enter(context, 0.1))
        await asyncio.sleep(0)
        assert not waiting.done()
        assert flood.gate.apply_coldness(2.0, False, 0.2)
        with pytest.raises(errors.CallError) as error_info:
            await waiting
        assert error_info.value.reason == "cold"
        assert flood.gate.report(0.2).load == 2.0
        assert (flood.gate.cold_rate(0.2), flood.gate.cold_rate(2.3)) == (RATE, 0.0)

    asyncio.run(run())


def test_an_upstream_that_does_not_say_how_long_it_is_cold_counts_as_cold_from_its_start():
    """Guards against a bound without effect where announcements don't name the coldness."""
    flood = Flood(1)
    assert flood.gate.apply_coldness(None, True, 5.0)
    assert not flood.gate.apply_coldness(None, False, 7.0)
    assert (flood.gate.cold_rate(7.9), flood.gate.cold_rate(8.1)) == (RATE, 0.0)
    flood.gate.configure_cold(0.0, 3.0)
    assert flood.gate.cold_rate(5.1) == 0.0
