"""No window admits more than rate and burst over the whole fleet, in any order of faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bergamotridge.operators import text
from bergamotridge.store import quota
from tests import fake_objects, history_rates, quota_fleet

TEAM = text.Team("utrecht", rate=8.0, burst=12)
HOSTS = ("a0", "a1", "b0", "b1")
ADJUST_INTERVAL_S = 0.5
CALLS_GIVEN_BACK = 8
PAUSES_S = (0.0, 0.3, 1.0, 2.0, 3.9)
LONGER_THAN_LEASE_S = 25.0


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Applies kills, replacements, pauses, network cuts, outages, lost and late responses.

    The demand moves between the hosts.
    """

    def __init__(self):
        super().__init__()
        self.fleet = quota_fleet.Fleet(2, 2, TEAM)
        self.lost_hosts = set()
        for _ in range(8):
            self.advance(1.0)

    def advance(self, seconds):
        """Advances the time while every host that can adjusts its share repeatedly."""
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.now += min(ADJUST_INTERVAL_S, end - self.fleet.now)
            for host in HOSTS:
                self.fleet.adjust(host)

    def call(self, host, other, count):
        for _ in range(count):
            self.fleet.call(host)

    def give_back_calls(self, host, other, count):
        for _ in range(CALLS_GIVEN_BACK):
            self.fleet.give_back_call(count)

    def lose_request(self, host, other, count):
        self.fleet.call(host, "request")

    def lose_response(self, host, other, count):
        self.fleet.call(host, "answer")

    def delay_response(self, host, other, count):
        self.fleet.call(host, "late")

    def deliver_late_responses(self, host, other, count):
        self.fleet.deliver_late_responses(host)

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
        self.advance(LONGER_THAN_LEASE_S)
        self.fleet.processes[host].paused = False

    def lose_or_regain_member(self, host, other, count):
        self.lost_hosts ^= {host}
        self.fleet.update_members(self.lost_hosts)

    def cut_or_reconnect_domain(self, host, other, count):
        for process in self.fleet.processes.values():
            if process.failure_domain == host[0]:
                process.cut ^= True

    def end_or_begin_outage(self, host, other, count):
        self.fleet.processes[host].client.faults.outage ^= True

    def lose_response_of_write(self, host, other, count):
        self.fleet.processes[host].client.faults.lose_answers = 1

    def delay_write(self, host, other, count):
        self.fleet.processes[host].client.faults.hold_writes = 1

    def deliver_late_writes(self, host, other, count):
        self.fleet.processes[host].client.release()

    def run_race_during_write(self, host, other, count):
        def during_write():
            self.fleet.adjust(other)
            self.fleet.call_until_refused()

        if host != other:
            self.fleet.processes[host].client.faults.before_write = during_write

    def clear_all_faults(self, host, other, count):
        for process in self.fleet.processes.values():
            process.paused = process.cut = False
            process.client.faults = fake_objects.Faults()
        self.lost_hosts = set()
        self.fleet.update_members(self.lost_hosts)

    @stateful.rule(
        event=st.sampled_from(
            (
                call,
                give_back_calls,
                lose_request,
                lose_response,
                delay_response,
                deliver_late_responses,
                replace,
                leave,
                adjust,
                pause_or_resume,
                pause_past_the_lease,
                lose_or_regain_member,
                cut_or_reconnect_domain,
                end_or_begin_outage,
                lose_response_of_write,
                delay_write,
                deliver_late_writes,
                run_race_during_write,
                clear_all_faults,
            )
        ),
        host=st.sampled_from(HOSTS),
        other=st.sampled_from(HOSTS),
        count=st.integers(1, 12),
        draws_ahead=st.booleans(),
        adjusts=st.booleans(),
        seconds=st.sampled_from(PAUSES_S),
        exhausts_tokens=st.booleans(),
    )
    def step(self, event, host, other, count, draws_ahead, adjusts, seconds, exhausts_tokens):
        """Applies one event and advances the time.

        Optionally a host draws ahead before the event, and all tokens are spent at the end.
        """
        if draws_ahead:
            self.fleet.draw_ahead(other, count)
        event(self, host, other, count)
        if adjusts:
            self.advance(seconds)
        else:
            self.fleet.now += seconds
        if exhausts_tokens:
            self.fleet.call_until_refused()

    @stateful.invariant()
    def usable_shares_sum_to_at_most_one(self):
        assert self.fleet.usable_parts() <= quota.PARTS + len(HOSTS)

    @stateful.invariant()
    def every_window_is_within_rate_and_burst(self):
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
