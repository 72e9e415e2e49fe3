"""Checks the times of admitted calls against a rate and burst, over every time window."""

from collections.abc import Sequence

ROUNDING = 1e-6  # Rounding error in calls, up to which an excess counts as none.


def worst_excess(admitted: Sequence[float], rate: float, burst: float) -> float:
    """Returns the largest excess of calls over burst + rate * length, over all time windows.

    One pass over the times computes it from the level of a token bucket that may go below zero
    without bound: after each call, this is the lowest level that a bucket can have which was full
    at the start of any window that ends there.

    Args:
        admitted: Times of admission in seconds.
        rate: Rate in calls per second.
        burst: Burst in calls.
    """
    level, last, worst = burst, float("-inf"), float("-inf")
    for now in sorted(admitted):
        level = burst if last == float("-inf") else min(burst, level + (now - last) * rate)
        last = now
        level -= 1.0
        worst = max(worst, -level)
    return worst


def worst_excess_of_spans(
    admitted: Sequence[tuple[float, float]], rate: float, burst: float
) -> float:
    """Returns the largest excess, counting for a window only calls certainly admitted within it.

    Each call was admitted at an unknown time within its span, so a slow machine can hide an excess
    but cannot produce a false one.

    Args:
        admitted: Start and end of the span of each call, in seconds.
        rate: Rate in calls per second.
        burst: Burst in calls.
    """
    spans = sorted(admitted, key=lambda span: span[1])
    worst = float("-inf")
    for first, _ in spans:
        count = 0
        for start, end in spans:
            if start >= first:
                count += 1
                worst = max(worst, count - rate * (end - first) - burst)
    return worst
