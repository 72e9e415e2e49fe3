"""A holder without a predecessor serves at once; another leaves room for what that one lent."""

from bergamotridge.operators import text
from bergamotridge.store import quota
from tests import history_rates, quota_fleet

TEAM = text.Team("utrecht", rate=8.0, burst=12)
SOON_S = 1.0


def admitted_soon_after_start(fleet, host):
    fleet.adjust(host)
    fleet.now += SOON_S
    before = len(fleet.admitted)
    fleet.drain()
    return len(fleet.admitted) - before


def test_a_first_process_creates_tokens_as_soon_as_it_has_joined():
    assert admitted_soon_after_start(quota_fleet.Fleet(1, 1, TEAM), "a0") == 8


def test_a_process_that_takes_over_serves_what_its_predecessor_cannot_have_lent():
    fleet = quota_fleet.Fleet(1, 1, TEAM)
    admitted_soon_after_start(fleet, "a0")
    fleet.start("a0")
    room = int(TEAM.burst - quota.lendable(TEAM.burst))
    assert admitted_soon_after_start(fleet, "a0") == room == 3
    fleet.drain()
    assert len(fleet.admitted) == 8 + room
    fleet.now += quota_fleet.TIMINGS.loan_s
    fleet.drain()
    assert len(fleet.admitted) > 8 + room
    assert history_rates.worst_excess(fleet.admitted, TEAM.rate, TEAM.burst) <= 0.0
