"""The demo's figures, from small records whose outcome is known."""

import attrs

from bergamotridge.operators import operator_text
from demo import faults, measures
from standins import load

GOOD = load.Attempt("t", 1, "small", "k", "r", "standard", "n", 0.0, 0.1, 200, "run", "ok", "id")


def attempt(tag: str, at: float, status: int = 200, number: int = 1) -> load.Attempt:
    return attrs.evolve(GOOD, tag=tag, start=at, end=at + 0.1, status=status, number=number)


def test_goodput_counts_calls_and_not_their_repeats():
    attempts = [
        attempt("a", 0),
        attempt("b", 0, 503),
        attempt("b", 1, 200, number=2),
        attempt("c", 0, 503),
        attempt("d", 0, 429),
    ]
    (row,) = measures.goodput(attempts, lambda one: one.importance)
    assert (row.calls, row.good, row.refused) == (4, 2, 1)
    assert row.share == 2 / 3


def test_refusal_is_wrongful_only_within_rate_and_burst():
    team = operator_text.Team("small", rate=1.0, burst=2)
    above = [attempt("a", 0.0), attempt("b", 0.1), attempt("c", 0.2, 429)]
    assert measures.wrongful_refusals(above, team) == 0
    assert measures.wrongful_refusals([*above, attempt("d", 1.5, 429)], team) == 1


def test_recovery_waits_until_goodput_stays():
    times = faults.Times(start=0.0, slow_from=5.0, slow_until=10.0)
    before = [attempt(f"b{at}", at / 10) for at in range(50)]
    slowly = [attempt("s", 10.5)] + [attempt(f"s{at}", 12 + at / 10) for at in range(40)]
    assert measures.recovery_s(before + slowly, times) == 2.0
    assert measures.recovery_s(before, times) is None
