"""A holder without a predecessor serves at once; one with a predecessor waits for its loans."""

from bergamotridge.operators import text
from tests import quota_fleet

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


def test_a_process_that_takes_over_waits():
    fleet = quota_fleet.Fleet(1, 1, TEAM)
    admitted_soon_after_start(fleet, "a0")
    fleet.start("a0")
    assert admitted_soon_after_start(fleet, "a0") == 0
    fleet.now += quota_fleet.TIMINGS.loan_s
    fleet.drain()
    assert len(fleet.admitted) > 8
