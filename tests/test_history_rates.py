"""The single-pass check of windows agrees with a brute-force count over every window."""

import random

import pytest

from tests import history_rates


@pytest.mark.parametrize("seed", range(10))
def test_worst_excess_equals_brute_force_maximum(seed):
    rng = random.Random(seed)
    times = sorted(rng.uniform(0.0, 5.0) for _ in range(40))
    worst = max(
        (last - first + 1) - 6.0 * (times[last] - times[first]) - 4.0
        for first in range(40)
        for last in range(first, 40)
    )
    assert history_rates.worst_excess(times, 6.0, 4.0) == pytest.approx(worst)
