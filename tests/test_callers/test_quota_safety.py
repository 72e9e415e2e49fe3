"""No window admits more than rate and burst over the whole fleet, in any order of faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bergamotridge.operators import operator_text
from bergamotridge.store import quota
from tests import fake_objects, history_rates, quota_fleet

TEAM = operator_text.Team("utrecht", rate=8.0, burst=12)
HOSTS = ("a0", "a1", "b0", "b1")
PERIOD_S = 0.5
UNDONE = 8
PAUSES_S = (0.0, 0.3, 1.0, 2.0, 3.9)
OUTLASTING_LEASE_S = 25.0


# Hypothesis derives the seed of the examples from the source of this class, names and docstrings
# included. With another seed, test_quota_faults may miss an injected fault.
class QuotaMachine(stateful.RuleBasedStateMachine):
    """Kills, replacements, pauses, cuts, outages, lost and late answers, moving demand."""

    def __init__(self):
        super().__init__()
        self.fleet = quota_fleet.Fleet(2, 2, TEAM)
        self.lost = set()
        for _ in range(8):
            self.work(1.0)

    def work(self, seconds):
        """Time passes while every host that can keeps looking at the quota object."""
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.now += min(PERIOD_S, end - self.fleet.now)
            for host in HOSTS:
                self.fleet.adjust(host)

    def call(self, host, other, count):
        for _ in range(count):
            self.fleet.call(host)

    def undo(self, host, other, count):
        for _ in range(UNDONE):
            self.fleet.undo(count)

    def lose_request(self, host, other, count):
        self.fleet.call(host, "request")

    def lose_answer(self, host, other, count):
        self.fleet.call(host, "answer")

    def delay_answer(self, host, other, count):
        self.fleet.call(host, "late")

    def deliver_late_answers(self, host, other, count):
        self.fleet.answer_late(host)

    def replace(self, host, other, count):
        self.fleet.start(host)

    def leave(self, host, other, count):
        self.fleet.adjust(host, leaving=True)

    def adjust(self, host, other, count):
        self.fleet.adjust(host)

    def pause_or_resume(self, host, other, count):
        self.fleet.processes[host].paused ^= True

    def pause_past_the_lease(self, host, other, count):
        self.fleet.processes[host].paused = True
        self.work(OUTLASTING_LEASE_S)
        self.fleet.processes[host].paused = False

    def lose_or_regain_member(self, host, other, count):
        self.lost ^= {host}
        self.fleet.spread(self.lost)

    def cut_or_mend_domain(self, host, other, count):
        for process in self.fleet.processes.values():
            if process.failure_domain == host[0]:
                process.cut ^= True

    def end_or_begin_outage(self, host, other, count):
        self.fleet.processes[host].client.faults.outage ^= True

    def lose_answer_of_write(self, host, other, count):
        self.fleet.processes[host].client.faults.lose_answers = 1

    def delay_write(self, host, other, count):
        self.fleet.processes[host].client.faults.hold_writes = 1

    def deliver_late_writes(self, host, other, count):
        self.fleet.processes[host].client.release()

    def race(self, host, other, count):
        def during_write():
            self.fleet.adjust(other)
            self.fleet.drain()

        if host != other:
            self.fleet.processes[host].client.faults.before_write = during_write

    def mend(self, host, other, count):
        for process in self.fleet.processes.values():
            process.paused = process.cut = False
            process.client.faults = fake_objects.Faults()
        self.lost = set()
        self.fleet.spread(self.lost)

    @stateful.rule(
        event=st.sampled_from(
            (
                call,
                undo,
                lose_request,
                lose_answer,
                delay_answer,
                deliver_late_answers,
                replace,
                leave,
                adjust,
                pause_or_resume,
                pause_past_the_lease,
                lose_or_regain_member,
                cut_or_mend_domain,
                end_or_begin_outage,
                lose_answer_of_write,
                delay_write,
                deliver_late_writes,
                race,
                mend,
            )
        ),
        host=st.sampled_from(HOSTS),
        other=st.sampled_from(HOSTS),
        count=st.integers(1, 12),
        hoarding=st.booleans(),
        adjusting=st.booleans(),
        seconds=st.sampled_from(PAUSES_S),
        drain=st.booleans(),
    )
    def step(self, event, host, other, count, hoarding, adjusting, seconds, drain):
        """Perhaps a host draws ahead; one event; time passes; perhaps all admit all they can."""
        if hoarding:
            self.fleet.hoard(other, count)
        event(self, host, other, count)
        if adjusting:
            self.work(seconds)
        else:
            self.fleet.now += seconds
        if drain:
            self.fleet.drain()

    @stateful.invariant()
    def shares_sum_to_at_most_one(self):
        assert self.fleet.usable() <= quota.PARTS + len(HOSTS)

    @stateful.invariant()
    def every_window_holds(self):
        excess = history_rates.worst_excess(self.fleet.admitted, TEAM.rate, TEAM.burst)
        assert excess <= history_rates.ROUNDING


QuotaMachine.TestCase.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestQuota = QuotaMachine.TestCase
