"""Checker of histories of admitted calls against a rate and burst, over every window."""

from collections.abc import Sequence

ROUNDING = 1e-6


def worst_excess(admitted: Sequence[float], rate: float, burst: float) -> float:
    """Returns how far the worst window of any length is above burst + rate * t.

    The level of a bucket of unbounded debt tells it in one pass: it is the least that the bucket
    could have held when it started each window full.
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
    """Returns the worst excess of windows that surely hold all of their calls.

    Each call was admitted at some moment of its span, so a slow machine hides an excess but never
    makes one up.
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
