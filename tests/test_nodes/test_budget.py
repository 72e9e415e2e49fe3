"""Retry budget: retries are limited to a fraction of the first attempts and the initial tokens."""

import random

import pytest

from bergamotridge.nodes import budget


def test_retries_are_limited_to_the_ratio_and_the_initial_tokens():
    retries = budget.RetryBudget(ratio=0.1, slack=10.0, window_s=float("inf"))
    granted = 0
    for attempt in range(2000):
        now = attempt / 1000
        retries.add_first_attempt("depot", now)
        granted += sum(retries.try_take("depot", now) for _ in range(3))
    assert granted <= 10 + 0.1 * 2000
    assert granted >= 0.1 * 2000
    assert retries.try_take("booking", 2.0)


# Nine in ten first attempts at a scarce service are unattributed, and used up all tokens: a direct
# call found none. With 72 nodes a bucket holds a single token.
@pytest.mark.parametrize(("fleet_size", "has_reserve"), [(1, True), (72, True), (72, False)])
def test_unattributed_calls_leave_retries_to_direct_ones(fleet_size, has_reserve):
    retries = budget.RetryBudget(0.1, 40.0, 10.0, lambda: fleet_size, has_reserve=has_reserve)
    granted, rng = {True: 0, False: 0}, random.Random(3)
    for attempt in range(20_000):
        now = attempt / 100
        retries.add_first_attempt("depot", now)
        is_unattributed = rng.random() < 0.9
        granted[is_unattributed] += retries.try_take("depot", now, is_unattributed=is_unattributed)
    initial = max(1.0, 40.0 / fleet_size)
    refill = 40.0 / fleet_size * 200.0 / 10.0
    assert sum(granted.values()) <= initial + refill + 0.1 * 20_000
    served = granted[False] / 2000
    assert served > 0.3 if has_reserve else served < 0.15


def test_unattributed_calls_stop_at_half_of_a_bucket_and_get_retries_beside_no_others():
    retries = budget.RetryBudget(0.1, 10.0, 50.0, has_reserve=True)
    taken = sum(retries.try_take("depot", 0.0, is_unattributed=True) for _ in range(20))
    assert taken == 5
    assert sum(retries.try_take("depot", 0.0) for _ in range(20)) == 5
    for _ in range(1000):
        retries.add_first_attempt("depot", 0.0)
    assert retries.try_take("depot", 0.0, is_unattributed=True)


# A bucket of one token that was full again gave unattributed calls nothing more: with no direct
# call that took a retry, they got two retries and then none for minutes.
def test_unattributed_calls_get_their_part_of_the_tokens_although_no_direct_call_takes_any():
    retries = budget.RetryBudget(0.1, 10.0, float("inf"), lambda: 72, has_reserve=True)
    granted = 0
    for _ in range(2000):
        retries.add_first_attempt("depot", 0.0)
        granted += retries.try_take("depot", 0.0, is_unattributed=True)
    assert 0.8 * 100 <= granted <= 1 + 100


# A process that is ended again and again had its share of the slack each time.
def test_the_retries_of_processes_that_start_again_stay_within_the_slack():
    granted, fleet_size = 0, 8
    for start in range(10):
        retries = budget.RetryBudget(0.1, 20.0, 10.0, lambda: fleet_size, started_at=float(start))
        granted += fleet_size * sum(retries.try_take("depot", start + 0.9) for _ in range(20))
    assert granted <= 20.0


def test_a_process_that_has_run_for_the_window_has_its_whole_share_of_the_slack():
    retries = budget.RetryBudget(0.1, 20.0, 10.0, lambda: 4, started_at=100.0)
    assert sum(retries.try_take("depot", 104.5) for _ in range(20)) == 2
    assert sum(retries.try_take("shop", 111.0) for _ in range(20)) == 5
