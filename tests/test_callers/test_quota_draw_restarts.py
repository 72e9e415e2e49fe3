"""Draws over restarts: no window holds more than rate and burst, whenever messages arrive.

A model in virtual time of one holder and two drawing nodes: processes are started anew on the same
addresses, machines are suspended, and draws and their answers are lost, late or out of order.
"""

import itertools
import random

import attrs
import pytest

from bergamotridge.callers import quota_drawer, quota_holder
from bergamotridge.nodes import quota_pb2, record
from bergamotridge.operators import operator_text
from bergamotridge.store import holding, quota
from standins import store
from tests import fake_objects, history_rates, simulation

TEAM = operator_text.Team("utrecht", rate=16.0, burst=64)
TIMINGS = holding.Timings(token_lifetime_s=1.5, join_after_s=0.0)
GROUP = quota.group_name(TEAM.name, 1)
HOLDER = "a0"
DRAWERS = ("a1", "a2")
DRAW_TIMEOUT_S = 0.25
STEPS = 1000
STEPS_S = (0.0, 0.01, 0.05, 0.2)
DELAYS_S = (*9 * (0.01,), 0.1, 1.0, 3.0)
# How often each happens, for four drains and forty calls.
RESTARTS_AND_SUSPENSIONS = ((0, 1), (0, 2), (1, 1), (3, 0), (6, 0))
MAX_SUSPENSION_S = 8.0
MAX_CALLS = 12  # At once, at one node.
ALL = 10**6


@attrs.define(eq=False)
class Process:
    """One process of a host.

    Attributes:
        suspended_until: Time until which its machine is suspended.
        suspended_s: Time for which its machine was suspended.
        ended_draws: Times of the draws that an answer or the time limit has ended.
    """

    host: str
    holder: quota_holder.QuotaHolder | None = None
    drawer: quota_drawer.QuotaDrawer | None = None
    suspended_until: float = 0.0
    suspended_s: float = 0.0
    ended_draws: set[float] = attrs.field(factory=set)


class Model(simulation.Simulation):
    """The processes, the network between them, and the calls that were admitted.

    Attributes:
        clock_stops: True if the clock of the processes stands still while they are suspended.
    """

    def __init__(self, seed, clock_stops=False):
        super().__init__()
        self.rng = random.Random(seed)
        restarts, suspensions = self.rng.choice(RESTARTS_AND_SUSPENSIONS)
        self.choices = [
            *restarts * [self.restart],
            *suspensions * [self.suspend],
            *2 * [self.rest],
            *4 * [self.drain],
            *40 * [self.call],
        ]
        self.clock_stops = clock_stops
        self.incarnations = itertools.count(1)
        self.store = store.Store()
        self.admitted = []
        self.processes = {}
        for host in (HOLDER, *DRAWERS):
            self.start(host)
        self.run_for(5.0)

    def start(self, host):
        process = self.processes[host] = Process(host)
        if host == HOLDER:
            process.holder = quota_holder.QuotaHolder(
                host,
                next(self.incarnations),
                host[0],
                fake_objects.FakeObjects(self.store),
                TIMINGS,
                lambda: self.clock(process),
            )
            self.adjust(process)
            return
        process.drawer = quota_drawer.QuotaDrawer(host, host[0], random.Random(self.rng.random()))
        process.drawer.configure(
            {TEAM.name: TEAM}, {TEAM.name: {"a": [self.member()]}}, self.clock(process)
        )

    def member(self):
        return record.UpstreamRecord(
            HOLDER, 1, 1, "a", "r", "s", record.State.READY, 1, 0.0, "", control_address=HOLDER
        )

    def clock(self, process):
        return self.now - (process.suspended_s if self.clock_stops else 0.0)

    def run_unless_suspended(self, process, function, *arguments):
        """Calls a function, once the process is no longer suspended, unless it has ended."""
        if self.processes[process.host] is not process:
            return
        if self.now >= process.suspended_until:
            function(process, *arguments)
        else:
            delay_s = process.suspended_until - self.now
            self.at(delay_s, self.run_unless_suspended, process, function, *arguments)

    def adjust(self, process):
        process.holder.adjust(GROUP, [quota_holder.TeamPlan(TEAM, chosen=True, holders=1)])
        self.at(0.5, self.run_unless_suspended, process, self.adjust)

    def step(self):
        process = self.processes[self.rng.choice((HOLDER, *DRAWERS))]
        if self.now >= process.suspended_until:
            self.rng.choice(self.choices)(process)
        self.run_for(self.rng.choice(STEPS_S))

    def restart(self, process):
        self.start(process.host)

    def suspend(self, process):
        duration_s = self.rng.uniform(0.1, MAX_SUSPENSION_S)
        process.suspended_until = self.now + duration_s
        process.suspended_s += duration_s

    def call(self, process):
        """Makes calls, which spend tokens that are at hand and wait for a draw of the others."""
        calls = self.rng.randrange(1, MAX_CALLS + 1)
        if process.drawer is None:
            self.spend(process, calls)
            return
        for _ in range(calls):
            process.drawer.record_demand(TEAM.name, self.clock(process))
        waiting = calls - self.spend(process, calls)
        process.drawer.add_waiting(TEAM.name, waiting)
        for draw in process.drawer.plan_draws({HOLDER: self.member()}, self.clock(process)):
            self.at(DRAW_TIMEOUT_S, self.run_unless_suspended, process, self.end, draw, 0, None)
            self.send(self.receive, HOLDER, draw, waiting, process)
        process.drawer.add_waiting(TEAM.name, -waiting)

    def send(self, function, *arguments):
        """Delivers a message once, or never."""
        if self.rng.random() < 0.97:
            self.at(self.rng.uniform(0.0, self.rng.choice(DELAYS_S)), function, *arguments)

    def receive(self, host, draw, waiting, sender):
        """Delivers a draw to the process that the address then leads to."""
        self.run_unless_suspended(self.processes[host], self.answer, draw, waiting, sender)

    def answer(self, process, draw, waiting, sender):
        response = process.holder.answer_draw(draw.request, self.clock(process))
        self.send(self.run_unless_suspended, sender, self.end, draw, waiting, response)

    def end(self, process, draw, waiting, response):
        """Ends a draw by its answer or, without one, by its time limit."""
        if draw.sent_at in process.ended_draws:
            return
        process.ended_draws.add(draw.sent_at)
        process.drawer.apply_response(draw, response, self.clock(process))
        self.spend(process, waiting)

    def rest(self, _):
        """Time passes without calls, in which the bucket fills; then all tokens are spent."""
        self.run_for(self.rng.uniform(0.5, 2.0) * TEAM.burst / TEAM.rate)
        self.drain(None)

    def drain(self, _):
        """Spends all tokens of all processes."""
        for process in self.processes.values():
            if self.now >= process.suspended_until:
                self.spend(process, ALL)

    def spend(self, process, count):
        """Admits up to `count` calls; returns how many it admitted."""
        for admitted in range(count):
            if not self.take(process):
                return admitted
            self.admitted.append(self.now)
        return count

    def take(self, process):
        now = self.clock(process)
        if process.drawer is None:
            return process.holder.take(TEAM.name, now)
        return process.drawer.take(TEAM.name, now, now)

    def excess(self):
        return history_rates.worst_excess(self.admitted, TEAM.rate, TEAM.burst)


def run_model(seed, **arguments):
    model = Model(seed, **arguments)
    for _ in range(STEPS):
        model.step()
    assert len(model.admitted) > TEAM.burst
    return model.excess()


# A node could spend tokens that had expired while its machine was suspended, and that their holder
# had created anew.
@pytest.mark.parametrize("seed", range(40))
def test_no_window_holds_more_than_rate_and_burst(seed):
    assert run_model(seed) <= history_rates.ROUNDING


def test_the_model_finds_a_clock_that_stands_still_while_a_machine_is_suspended():
    assert max(run_model(seed, clock_stops=True) for seed in range(40)) > 1.0


# Processes number their batches from 1, so a settlement is of the batch of one incarnation only.
def test_a_settlement_for_an_earlier_process_takes_no_tokens_back():
    model = Model(0)
    model.start(HOLDER)
    model.run_for(TEAM.burst / TEAM.rate + TIMINGS.loan_s)
    holder = model.processes[HOLDER].holder
    wanted = quota_pb2.TeamDraw(team=TEAM.name, wanted=8)
    drawn = holder.answer_draw(quota_pb2.DrawRequest(host="a1", draws=[wanted]), model.now)
    grant = drawn.grants[0]
    assert (grant.batch, grant.granted) == (1, 8)
    before = holder.tokens(model.now)
    settled = quota_pb2.TeamDraw(team=TEAM.name)
    settled.settlements.add(batch=1, unused=8)
    for incarnation, returned in ((drawn.incarnation - 1, 0), (drawn.incarnation, 8)):
        holder.answer_draw(
            quota_pb2.DrawRequest(host="a1", holder_incarnation=incarnation, draws=[settled]),
            model.now,
        )
        assert holder.tokens(model.now)[TEAM.name] == before[TEAM.name] + returned
