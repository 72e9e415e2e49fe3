"""Completed requests are remembered for some seconds, in bounded memory."""

from bergamotridge.upstreams import recent_completions


def test_a_completed_request_is_remembered_for_a_generation_and_then_forgotten():
    completions = recent_completions.RecentCompletions()
    completions.add(1, 0.0)
    assert completions.has(1, recent_completions.GENERATION_S)
    assert not completions.has(1, 2 * recent_completions.GENERATION_S)
    assert not completions.has(2, 0.0)


def test_nothing_is_recent_after_a_long_pause():
    completions = recent_completions.RecentCompletions()
    completions.add(1, 0.0)
    assert not completions.has(1, 3 * recent_completions.GENERATION_S)


def test_many_different_requests_fill_no_memory():
    completions = recent_completions.RecentCompletions()
    for number in range(20_000):
        completions.add(number, 0.0)
    remembered = sum(completions.has(number, 0.0) for number in range(20_000))
    assert 0 < remembered <= 2 * recent_completions.MAX_GENERATION_SIZE
