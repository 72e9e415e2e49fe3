"""Many nodes that choose at once from old reports, before and after, in virtual time."""

import attrs
import pytest

from bench import even_load

FLEET = even_load.Fleet(slots=24, work_s=0.5)


def run_both(fleet, seed=2, duration_s=12.0):
    return [
        even_load.run(fleet, name, seed, duration_s) for name in ("least-loaded", "expected-wait")
    ]


# Upstreams of different speeds were overloaded in turns while others were idle.
@pytest.mark.parametrize("utilization", [0.7, 0.85])
def test_busy_slots_are_spread_more_evenly_and_calls_take_less_time(utilization):
    before, after = run_both(attrs.evolve(FLEET, utilization=utilization))
    assert after.ages_s[0] < 0.2 and after.ages_s[1] > 1.0
    assert after.spread < 0.9 * before.spread
    assert after.p99_s < 0.9 * before.p99_s


def test_without_reports_calls_are_still_spread_evenly():
    before, after = run_both(attrs.evolve(FLEET, reports_end_at=2.0))
    assert after.spread < 0.9 * before.spread
    assert after.p99_s < 0.9 * before.p99_s


def test_an_upstream_that_is_slow_for_a_moment_gets_few_calls_then_and_its_share_afterwards():
    fleet = even_load.Fleet(nodes=14, upstreams=5, slots=60, work_s=0.058, slow_fraction=0.2)
    before, after = run_both(fleet, duration_s=8.0)
    assert after.spread < 0.9 * before.spread
    assert after.while_slow < min(0.6, before.while_slow)
    assert after.afterwards > 0.7
