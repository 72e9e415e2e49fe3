"""The measures of the demo: goodput, wrongful refusals and recovery time."""

import collections
from collections.abc import Callable, Iterable, Sequence

import attrs

from bergamotridge.operators import operator_text
from demo import faults
from standins import load

GOOD_STATUS = 200
RATE_REFUSAL_STATUS = 429
KEY_REFUSAL_STATUS = 401
BIN_S = 1.0
RECOVERED_FRACTION = 0.9
STEADY_BINS = 3


@attrs.frozen
class Goodput:
    """Calls of one class or team and how many of them succeeded.

    Attributes:
        name: Name of the class or team.
        calls: Number of calls; retries by callers are not counted.
        good: Calls of which at least one attempt got a whole good answer.
        refused: Calls of which every attempt was refused for the team's rate.
    """

    name: str
    calls: int
    good: int
    refused: int

    @property
    def good_fraction(self) -> float:
        """Fraction of good calls among those not refused for their rate, 0.0 to 1.0."""
        not_refused = self.calls - self.refused
        return self.good / not_refused if not_refused > 0 else 1.0


def measure_goodput(
    attempts: Iterable[load.Attempt], name_of: Callable[[load.Attempt], str]
) -> list[Goodput]:
    """Returns the goodput of each class or team, sorted by name.

    Args:
        attempts: Attempts of all calls.
        name_of: Returns the class or team to which an attempt counts.
    """
    calls: dict[str, dict[str, list[load.Attempt]]] = collections.defaultdict(dict)
    for attempt in attempts:
        calls[name_of(attempt)].setdefault(attempt.tag, []).append(attempt)
    return [
        Goodput(
            name=name,
            calls=len(by_tag),
            good=sum(
                any(item.status == GOOD_STATUS for item in tries) for tries in by_tag.values()
            ),
            refused=sum(
                all(item.status == RATE_REFUSAL_STATUS for item in of_call)
                for of_call in by_tag.values()
            ),
        )
        for name, by_tag in sorted(calls.items())
    ]


def count_wrongful_refusals(attempts: Iterable[load.Attempt], team: operator_text.Team) -> int:
    """Returns how many more attempts one token bucket for the whole fleet would have admitted."""
    tokens, refilled_at, allowed, admitted = float(team.burst), 0.0, 0, 0
    for attempt in sorted(attempts, key=lambda item: item.start):
        if attempt.team != team.name:
            continue
        tokens = min(float(team.burst), tokens + (attempt.start - refilled_at) * team.rate)
        refilled_at = attempt.start
        admitted += attempt.status != RATE_REFUSAL_STATUS
        if tokens >= 1:
            tokens -= 1
            allowed += 1
    return max(0, allowed - admitted)


def measure_recovery_s(attempts: Sequence[load.Attempt], times: faults.Times) -> float | None:
    """Returns the seconds from the end of the slow service until goodput is back, or None.

    Goodput is back in the first of `STEADY_BINS` consecutive bins of `BIN_S` seconds that reach
    `RECOVERED_FRACTION` of the mean goodput before the fault. None means that it never was.
    """
    ends = [attempt.end for attempt in attempts if attempt.status == GOOD_STATUS]
    steady_s = times.slow_from - times.start - BIN_S
    good_per_s = sum(times.start + BIN_S <= end < times.slow_from for end in ends) / steady_s
    bins = collections.Counter(int((end - times.slow_until) // BIN_S) for end in ends)
    required_per_bin = RECOVERED_FRACTION * good_per_s * BIN_S
    last = max(bins, default=0)
    for first in range(max(0, last - STEADY_BINS + 1)):
        if all(bins[first + step] >= required_per_bin for step in range(STEADY_BINS)):
            return first * BIN_S
    return None
