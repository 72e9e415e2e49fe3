"""Retry budget: retries are limited to a fraction of the first attempts and the initial tokens."""

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
