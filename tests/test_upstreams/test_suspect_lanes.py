"""Suspects that run together at one upstream become stronger suspects together, so few do."""

from bergamotridge.upstreams import suspect_lanes


def test_one_call_of_a_kind_and_a_limited_number_of_kinds_run_together():
    lanes = suspect_lanes.SuspectLanes()
    entered = [key for key in range(100) if lanes.try_enter(key, 1)]
    assert len(entered) == suspect_lanes.SUSPECTS_AT_ONCE
    assert not lanes.try_enter(entered[0], 1)
    lanes.leave(entered[0])
    assert lanes.try_enter(entered[0], 1)


def test_a_strong_suspect_runs_with_no_other_one():
    lanes = suspect_lanes.SuspectLanes()
    assert lanes.try_enter(1, 1)
    assert not lanes.try_enter(2, 2)
    lanes.leave(1)
    assert lanes.try_enter(2, 2)
    assert not lanes.try_enter(1, 1)
    assert not lanes.try_enter(3, 2)
