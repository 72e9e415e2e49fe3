"""A first holder on a host admits calls at once.

A successor reserves capacity for the tokens that its predecessor may have lent.
"""

import math

import attrs
import pytest

from bergamotridge.callers import quota_holder
from bergamotridge.nodes import quota_pb2
from bergamotridge.operators import operator_text
from bergamotridge.store import quota
from standins import store
from tests import fake_objects, history_rates, quota_fleet

TEAM = operator_text.Team("utrecht", rate=8.0, burst=12)
AFTER_START_S = 1.0


def count_admitted_after_start(fleet, host):
    fleet.adjust(host)
    fleet.now += AFTER_START_S
    count_before = len(fleet.admitted)
    fleet.drain()
    return len(fleet.admitted) - count_before


def test_first_process_on_a_host_creates_tokens_as_soon_as_it_has_joined():
    assert count_admitted_after_start(quota_fleet.Fleet(1, 1, TEAM), "a0") == 8


def test_successor_admits_only_what_its_predecessor_cannot_have_lent():
    fleet = quota_fleet.Fleet(1, 1, TEAM)
    count_admitted_after_start(fleet, "a0")
    fleet.start("a0")
    unlendable = int(TEAM.burst - quota.lendable_tokens(TEAM.burst))
    assert count_admitted_after_start(fleet, "a0") == unlendable == 3
    fleet.drain()
    assert len(fleet.admitted) == 8 + unlendable
    fleet.now += quota_fleet.TIMINGS.loan_s
    fleet.drain()
    assert len(fleet.admitted) > 8 + unlendable
    assert history_rates.worst_excess(fleet.admitted, TEAM.rate, TEAM.burst) <= 0.0


class ConfiguredHost:
    """A host that holds a whole quota, and the configuration that it has."""

    def __init__(self):
        self.now = 1000.0
        self.teams = {TEAM.name: TEAM}
        self.client = fake_objects.FakeObjects(store.Store())
        self.holder = quota_holder.QuotaHolder(
            "a0",
            1,
            "a",
            self.client,
            quota_fleet.TIMINGS,
            lambda: self.now,
            teams=lambda: self.teams,
        )
        self.adjust(TEAM)
        self.adjust(TEAM)

    def configure(self, team):
        self.teams = {team.name: team}

    def adjust(self, team, chosen=True):
        self.holder.adjust("group", [quota_holder.TeamPlan(team, chosen=chosen, holders=1)])

    def fill(self):
        """Lets as much time pass as brings all tokens."""
        self.now += 2.0

    def count_taken(self):
        return sum(self.holder.take(TEAM.name, self.now) for _ in range(100))

    def count_lent(self):
        draw = quota_pb2.TeamDraw(team=TEAM.name, wanted=100, calls=100)
        request = quota_pb2.DrawRequest(host="b0", holder_incarnation=1, draws=[draw])
        return self.holder.answer_draw(request, self.now).grants[0].granted


# Holders went on with the rate that they had read their shares with while the platform was away.
@pytest.mark.parametrize("count", [ConfiguredHost.count_taken, ConfiguredHost.count_lent])
def test_a_lower_rate_and_burst_hold_at_once_while_the_platform_does_not_answer(count):
    host = ConfiguredHost()
    host.client.faults.outage = True
    host.fill()
    host.configure(attrs.evolve(TEAM, rate=1.0, burst=3))
    admitted = count(host)
    host.now += 2.0
    assert 0 < admitted <= 3
    assert admitted + count(host) <= 3 + 2


# A round that had begun before the change, and waited for the platform, brought the old rate back.
def test_a_plan_made_before_a_lower_rate_does_not_bring_the_higher_one_back():
    host = ConfiguredHost()
    host.fill()
    host.configure(attrs.evolve(TEAM, rate=1.0, burst=3))
    host.adjust(TEAM)
    assert host.count_taken() == 3


# A share of an unlimited team must have a number of tokens, also after the team is limited again.
def test_a_team_that_was_unlimited_for_a_while_has_its_rate_again():
    host = ConfiguredHost()
    unlimited = attrs.evolve(TEAM, rate=math.inf, burst=0)
    host.configure(unlimited)
    host.adjust(unlimited, chosen=False)
    host.fill()
    host.adjust(unlimited, chosen=False)
    host.configure(TEAM)
    host.adjust(TEAM)
    host.adjust(TEAM)
    assert host.count_taken() <= TEAM.burst
    host.fill()
    assert host.count_taken() == TEAM.burst
