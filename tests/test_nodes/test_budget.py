"""Retry budget: retries vanish when most first attempts fail."""

from bergamotridge.nodes import budget


def test_retries_stay_below_the_ratio_and_the_first_tokens():
    retries = budget.RetryBudget(ratio=0.1, slack=10.0, window_s=float("inf"))
    granted = 0
    for number in range(2000):
        now = number / 1000
        retries.first_attempt("depot", now)
        granted += sum(retries.may_retry("depot", now) for _ in range(3))
    assert granted <= 10 + 0.1 * 2000
    assert granted >= 0.1 * 2000
    assert retries.may_retry("booking", 2.0)
