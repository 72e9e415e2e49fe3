"""A first holder on a host admits calls at once.

A successor reserves capacity for the tokens that its predecessor may have lent.
"""

from bergamotridge.operators import operator_text
from bergamotridge.store import quota
from tests import history_rates, quota_fleet

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
