"""Trials: one run of a suspect at a time, never too soon, and not with the last upstream."""

import random

import pytest

from bergamotridge.nodes import record, suspects, trials

KEY = 7
MANY = trials.Capacity(8, 8)
STARTED_AT = -60.0


def arbiter_with(*crashes, started_at=STARTED_AT):
    table = suspects.SuspectTable()
    table.merge([suspects.Evidence(KEY, tuple(crashes))], 0.0)
    return trials.TrialArbiter(table, started_at, random.Random(1)), table


def crash(number, at, doubtful=False):
    return suspects.Crash(number, at, doubtful)


def test_a_request_that_is_no_suspect_runs_freely():
    arbiter, _ = arbiter_with(crash(1, 0.0))
    assert arbiter.request(KEY + 1, 1.0, MANY, 0.0) is trials.FREE


def test_a_trial_waits_for_the_pause_after_a_crash():
    arbiter, _ = arbiter_with(crash(1, 0.0))
    early = arbiter.request(KEY, 1.0, MANY, 0.1)
    assert early.ruling is trials.Ruling.WAIT
    assert early.wait_s == pytest.approx(trials.PAUSE_AFTER_CRASH_S - 0.1)
    assert arbiter.request(KEY, 1.0, MANY, 0.4).ruling is trials.Ruling.TRIAL


def test_one_trial_runs_at_a_time_and_a_lost_one_expires():
    arbiter, _ = arbiter_with(crash(1, 0.0))
    first = arbiter.request(KEY, 1.0, MANY, 1.0)
    assert arbiter.request(KEY, 1.0, MANY, 1.5).ruling is trials.Ruling.WAIT
    second = arbiter.request(KEY, 1.0, MANY, 2.0)
    assert second.ruling is trials.Ruling.TRIAL
    arbiter.finish(KEY, first.trial_id, completed=True)
    assert arbiter.request(KEY, 1.0, MANY, 2.1).ruling is trials.Ruling.WAIT


def test_a_trial_that_completes_clears_the_request_and_one_that_does_not_lets_the_next_run():
    arbiter, _ = arbiter_with(crash(1, 0.0))
    failed = arbiter.request(KEY, 5.0, MANY, 1.0)
    arbiter.finish(KEY, failed.trial_id, completed=False)
    answered = arbiter.request(KEY, 5.0, MANY, 1.1)
    assert answered.ruling is trials.Ruling.TRIAL
    arbiter.finish(KEY, answered.trial_id, completed=True)
    assert arbiter.request(KEY, 5.0, MANY, 1.2) is trials.FREE


def test_a_crash_during_a_trial_is_not_cleared_by_its_end():
    arbiter, table = arbiter_with(crash(1, 0.0))
    granted = arbiter.request(KEY, 5.0, MANY, 1.0)
    table.merge([suspects.Evidence(KEY, (crash(2, 1.1),))], 1.1)
    arbiter.finish(KEY, granted.trial_id, completed=True)
    assert table.suspicion(KEY, 1.2).crashes == 1


def test_a_request_that_is_held_back_is_tried_again_in_time_and_alone():
    arbiter, table = arbiter_with(*(crash(number, 0.0) for number in range(3)))
    held = arbiter.request(KEY, 1.0, MANY, 10.0)
    assert (held.ruling, held.wait_s) == (trials.Ruling.HELD, 20.0)
    assert arbiter.request(KEY, 1.0, MANY, 30.0).ruling is trials.Ruling.TRIAL
    assert arbiter.request(KEY, 1.0, MANY, 30.0).ruling is trials.Ruling.WAIT
    table.merge([suspects.Evidence(KEY, (crash(3, 30.5),))], 30.5)
    assert arbiter.request(KEY, 1.0, MANY, 31.0).wait_s == pytest.approx(59.5)


# A node that was started anew knew of no trial and granted a second one beside it.
def test_an_arbiter_grants_no_trial_right_after_its_start():
    arbiter, _ = arbiter_with(crash(1, 0.0), started_at=1.0)
    assert arbiter.request(KEY, 1.0, MANY, 1.1).ruling is trials.Ruling.WAIT
    assert arbiter.request(KEY, 1.0, MANY, 1.4).ruling is trials.Ruling.TRIAL


@pytest.mark.parametrize(
    ("crashes", "doubtful", "ready", "total", "ruling"),
    [
        (1, False, 1, 4, trials.Ruling.WAIT),
        (1, False, 2, 4, trials.Ruling.TRIAL),
        (2, False, 2, 4, trials.Ruling.WAIT),
        (2, False, 3, 4, trials.Ruling.TRIAL),
        (2, True, 1, 4, trials.Ruling.TRIAL),
        (1, False, 1, 1, trials.Ruling.TRIAL),
    ],
)
def test_a_trial_spares_the_last_upstreams_but_not_forever(crashes, doubtful, ready, total, ruling):
    arbiter, _ = arbiter_with(*(crash(number, 0.0, doubtful) for number in range(crashes)))
    capacity = trials.Capacity(ready, total)
    assert arbiter.request(KEY, 0.1, capacity, 1.0).ruling is ruling
    late = trials.MAX_SPARE_WAIT_S + 0.1
    assert arbiter.request(KEY, 0.1, capacity, late).ruling is trials.Ruling.TRIAL


def test_a_host_that_leaves_changes_the_arbiter_only_of_the_requests_that_it_had():
    members = [
        record.UpstreamRecord(
            f"host-{number}", 1, 1, "", "", "s", record.State.READY, 8, 0.0, "", ""
        )
        for number in range(8)
    ]
    for key in range(200):
        order = [item.host for item in trials.arbiters(key, members)]
        remaining = [item for item in members if item.host != "host-3"]
        order.remove("host-3")
        assert [item.host for item in trials.arbiters(key, remaining)] == order
