"""Suspects: what holds a request back, what clears it, and which ones are forgotten."""

import random

import attrs
import pytest

from bergamotridge.nodes import suspects

KEY = 7


def evidence(*crashes, key=KEY, cleared=()):
    return suspects.Evidence(key, tuple(crashes), tuple(cleared))


def crash(number, at=None, doubtful=False):
    return suspects.Crash(number, float(number) if at is None else at, doubtful)


def table_with(*crashes):
    table = suspects.SuspectTable()
    for item in crashes:
        table.merge([evidence(item)], 0.0)
    return table


def test_three_crashes_hold_a_request_back_for_a_time_that_doubles():
    table = table_with(crash(1), crash(2))
    assert table.suspicion(KEY, 3.0) == suspects.Suspicion(2, 2, 2.0)
    for number, hold_s in ((3, 30.0), (4, 60.0), (5, 120.0)):
        table.merge([evidence(crash(number))], 0.0)
        assert table.suspicion(KEY, 6.0).held_until == number + hold_s
    assert table.suspicion(KEY + 1, 6.0) == suspects.NOT_SUSPECTED


def test_the_hold_has_an_upper_limit():
    table = table_with(*(crash(number) for number in range(30)))
    assert table.suspicion(KEY, 30.0).held_until == 29 + suspects.MAX_HOLD_S


def test_one_crash_counts_once_however_often_it_is_told():
    table = table_with(*[crash(1)] * 5)
    assert table.suspicion(KEY, 2.0).crashes == 1


# Popular requests ran at all upstreams of a failure domain that crashed together.
def test_doubtful_evidence_alone_holds_nothing_back():
    doubtful = [crash(number, doubtful=True) for number in range(6)]
    table = table_with(*doubtful)
    assert table.suspicion(KEY, 6.0).held_until < 6.0
    assert not table.suspicion(KEY, 6.0).is_strong(6.0)
    table.merge([evidence(crash(6))], 0.0)
    assert table.suspicion(KEY, 6.0).held_until == 6 + suspects.FIRST_HOLD_IN_DOUBT_S


def test_a_completed_run_clears_the_crashes_before_it_and_no_others():
    table = table_with(crash(1), crash(2), crash(3))
    table.clear(KEY, [1, 2])
    assert table.suspicion(KEY, 4.0).crashes == 1
    table.merge([evidence(crash(1), crash(2))], 0.0)
    assert table.suspicion(KEY, 4.0).crashes == 1


def test_a_suspect_is_forgotten_after_a_long_time():
    table = table_with(crash(1), crash(2), crash(3))
    assert table.suspicion(KEY, 3.0 + suspects.FORGET_S + 1) == suspects.NOT_SUSPECTED
    table.forget_expired(3.0 + suspects.FORGET_S + 1)
    assert len(table) == 0


# A flood of requests that crash one upstream each must not displace one that crashed several.
def test_the_strongest_suspects_are_kept_when_the_table_is_full():
    table = suspects.SuspectTable(capacity=50)
    table.merge([evidence(crash(1), crash(2), crash(3), key=1)], 3.0)
    for number in range(10, 500):
        table.merge([evidence(crash(number), key=number)], float(number))
    assert len(table) == 50
    assert table.suspicion(1, 20.0).crashes == 3
    assert table.suspicion(499, 500.0).crashes == 1


@pytest.mark.parametrize("seed", range(20))
def test_nodes_agree_whatever_the_order_in_which_they_are_told(seed):
    rng = random.Random(seed)
    crashes = [crash(number, doubtful=rng.random() < 0.3) for number in range(6)]
    told = [evidence(item) for item in crashes]
    told += [evidence(cleared=[item]) for item in crashes if rng.random() < 0.3]
    tables = [suspects.SuspectTable(), suspects.SuspectTable()]
    for table in tables:
        for item in rng.sample(told, len(told)) + rng.choices(told, k=5):
            table.merge([item], 10.0)
    known = [attrs.asdict(table.evidence(KEY)) for table in tables]
    assert known[0] == known[1]
