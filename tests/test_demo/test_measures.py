"""Tests of the demo's measures on a few attempts with known results."""

import attrs

from bergamotridge.operators import operator_text
from demo import faults, measures
from standins import load

GOOD_ATTEMPT = load.Attempt(
    "t", 1, "small", "k", "r", "standard", "n", 0.0, 0.1, 200, "run", "ok", "id"
)


def make_attempt(tag: str, start_s: float, status: int = 200, number: int = 1) -> load.Attempt:
    return attrs.evolve(
        GOOD_ATTEMPT, tag=tag, start=start_s, end=start_s + 0.1, status=status, number=number
    )


def test_goodput_counts_calls_and_not_retries():
    attempts = [
        make_attempt("a", 0),
        make_attempt("b", 0, 503),
        make_attempt("b", 1, 200, number=2),
        make_attempt("c", 0, 503),
        make_attempt("d", 0, 429),
    ]
    (row,) = measures.measure_goodput(attempts, lambda attempt: attempt.importance)
    assert (row.calls, row.good, row.refused) == (4, 2, 1)
    assert row.good_fraction == 2 / 3


def test_refusals_are_wrongful_only_within_rate_and_burst():
    team = operator_text.Team("small", rate=1.0, burst=2)
    above_rate = [make_attempt("a", 0.0), make_attempt("b", 0.1), make_attempt("c", 0.2, 429)]
    assert measures.count_wrongful_refusals(above_rate, team) == 0
    assert measures.count_wrongful_refusals([*above_rate, make_attempt("d", 1.5, 429)], team) == 1


def test_recovery_ends_only_when_goodput_is_steady():
    times = faults.Times(start=0.0, slow_from=5.0, slow_until=10.0)
    steady = [make_attempt(f"b{start_s}", start_s / 10) for start_s in range(50)]
    recovering = [make_attempt("s", 10.5)] + [
        make_attempt(f"s{start_s}", 12 + start_s / 10) for start_s in range(40)
    ]
    assert measures.measure_recovery_s(steady + recovering, times) == 2.0
    assert measures.measure_recovery_s(steady, times) is None
