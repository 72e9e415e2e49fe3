"""What the demo measures: goodput, wrongful refusals, recovery time."""

import collections
from collections.abc import Callable, Iterable, Sequence

import attrs

from bergamotridge.operators import operator_text
from demo import faults
from standins import load

GOOD = 200
RATE_REFUSAL = 429
KEY_REFUSAL = 401
BIN_S = 1.0
RECOVERED_SHARE = 0.9
STEADY_BINS = 3


@attrs.frozen
class Goodput:
    """Calls of one class or team and how many of them ended well.

    Attributes:
        name: Class or team.
        calls: Calls, repeats of callers not counted.
        good: Calls with a whole good answer at some attempt.
        refused: Calls refused for the team's rate at their first attempt.
    """

    name: str
    calls: int
    good: int
    refused: int

    @property
    def share(self) -> float:
        """Good calls of those that were not refused for their rate, 0.0 to 1.0."""
        wanted = self.calls - self.refused
        return self.good / wanted if wanted > 0 else 1.0


def goodput(
    attempts: Iterable[load.Attempt], name_of: Callable[[load.Attempt], str]
) -> list[Goodput]:
    """Returns the goodput of each class or team, as `name_of` groups the attempts."""
    calls: dict[str, dict[str, list[load.Attempt]]] = collections.defaultdict(dict)
    for attempt in attempts:
        calls[name_of(attempt)].setdefault(attempt.tag, []).append(attempt)
    return [
        Goodput(
            name=name,
            calls=len(by_tag),
            good=sum(any(one.status == GOOD for one in tries) for tries in by_tag.values()),
            refused=sum(all(one.status == RATE_REFUSAL for one in t) for t in by_tag.values()),
        )
        for name, by_tag in sorted(calls.items())
    ]


def wrongful_refusals(attempts: Iterable[load.Attempt], team: operator_text.Team) -> int:
    """Returns how many more attempts one exact bucket for the whole fleet would have let in."""
    tokens, at, allowed, admitted = float(team.burst), 0.0, 0, 0
    for attempt in sorted(attempts, key=lambda one: one.start):
        if attempt.team != team.name:
            continue
        tokens = min(float(team.burst), tokens + (attempt.start - at) * team.rate)
        at = attempt.start
        admitted += attempt.status != RATE_REFUSAL
        if tokens >= 1:
            tokens -= 1
            allowed += 1
    return max(0, allowed - admitted)


def recovery_s(attempts: Sequence[load.Attempt], times: faults.Times) -> float | None:
    """Returns the seconds from the end of the slow service until goodput is back, or None.

    Goodput is back in the first of `STEADY_BINS` bins in a row that reach `RECOVERED_SHARE` of
    the mean before the fault.
    """
    ends = [one.end for one in attempts if one.status == GOOD]
    before_s = times.slow_from - times.start - BIN_S
    before = sum(times.start + BIN_S <= end < times.slow_from for end in ends) / before_s
    bins = collections.Counter(int((end - times.slow_until) // BIN_S) for end in ends)
    wanted = RECOVERED_SHARE * before * BIN_S
    last = max(bins, default=0)
    for first in range(max(0, last - STEADY_BINS + 1)):
        if all(bins[first + step] >= wanted for step in range(STEADY_BINS)):
            return first * BIN_S
    return None
