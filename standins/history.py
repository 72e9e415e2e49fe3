"""Checkers of histories: what callers saw (load records) against what upstreams ran.

Both records take their times from CLOCK_MONOTONIC of one machine. Each checker returns what
breaks its rule, so an empty list means that the rule held.
"""

import bisect
import collections
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from standins import load

NOT_RUN = "not-run"
WHOLE = 200


@attrs.frozen
class Run:
    """One run of a call at an upstream.

    Attributes:
        tag: Tag of the call.
        service: Service of the upstream.
        address: Address of the upstream.
        method: HTTP method.
        path: Path.
        start: Start in seconds.
        key_seen: True if the call carried a key.
        outcome: Its end, "" if it never ended.
    """

    tag: str
    service: str
    address: str
    method: str
    path: str
    start: float
    key_seen: bool
    outcome: str = ""


@attrs.frozen
class Interval:
    """Start and end of a call as its caller saw it; it was admitted somewhere between."""

    start: float
    end: float


@attrs.frozen
class Excess:
    """A window in which more calls were surely admitted than rate and burst allow."""

    start: float
    end: float
    admitted: int
    allowed: float


@attrs.frozen
class Limit:
    """Rate in calls per second and burst of a team over the whole fleet."""

    rate: float
    burst: int


def runs(lines: Iterable[dict]) -> list[Run]:
    """Returns the runs that the lines of run records tell of, in order of time."""
    lines = list(lines)
    ends = {(line["address"], line["run"]): line for line in lines if line["event"] == "end"}
    found = []
    for line in lines:
        if line["event"] == "start":
            end = ends.get((line["address"], line["run"]), {})
            found.append(
                Run(
                    tag=line["tag"],
                    service=line["service"],
                    address=line["address"],
                    method=line["method"],
                    path=line["path"],
                    start=line["time"],
                    key_seen=line["key_seen"],
                    outcome=end.get("outcome", ""),
                )
            )
    return sorted(found, key=lambda run: run.start)


def runs_by_tag(history: Iterable[Run]) -> dict[str, list[Run]]:
    """Returns the runs of each tag."""
    found: dict[str, list[Run]] = collections.defaultdict(list)
    for run in history:
        found[run.tag].append(run)
    return found


def doubled(history: Iterable[Run], repeatable: Callable[[Run], bool]) -> list[Run]:
    """Returns second and later runs of calls that may not be repeated."""
    seen = set()
    again = []
    for run in history:
        name = (run.tag, run.service, run.method, run.path)
        if not repeatable(run) and name in seen:
            again.append(run)
        seen.add(name)
    return again


def with_key(history: Iterable[Run]) -> list[Run]:
    """Returns runs at which the upstream saw a caller's key."""
    return [run for run in history if run.key_seen]


def false_not_run(attempts: Iterable[load.Attempt], history: Iterable[Run]) -> list[load.Attempt]:
    """Returns attempts refused as not run although the call ran, in the attempt or after it."""
    by_tag = runs_by_tag(history)
    false = []
    for number_of_tag in _by_tag(attempts).values():
        starts = [attempt.start for attempt in number_of_tag]
        for run in by_tag.get(number_of_tag[0].tag, ()):
            at = bisect.bisect_right(starts, run.start) - 1
            if at >= 0 and number_of_tag[at].verdict == NOT_RUN:
                false.append(number_of_tag[at])
    return false


def answered_without_run(
    attempts: Iterable[load.Attempt], history: Iterable[Run]
) -> list[load.Attempt]:
    """Returns attempts with a whole good answer to a call that never ran to its end."""
    ended = {run.tag for run in history if run.outcome == "ok"}
    return [one for one in attempts if one.status == WHOLE and one.tag not in ended]


def crossed(attempts: Iterable[load.Attempt]) -> list[load.Attempt]:
    """Returns attempts that got the answer to another request."""
    return [attempt for attempt in attempts if attempt.body == "crossed"]


def ran_after_withdrawal(
    attempts: Iterable[load.Attempt],
    history: Iterable[Run],
    withdrawn: Mapping[str, float],
    grace_s: float,
) -> list[load.Attempt]:
    """Returns attempts that ran though they were sent `grace_s` after their key was withdrawn.

    Args:
        attempts: What callers saw.
        history: What ran.
        withdrawn: Time of the withdrawal by the key's last characters, as in the attempts.
        grace_s: Seconds in which a withdrawal takes effect.
    """
    ran = runs_by_tag(history)
    return [
        attempt
        for attempt in attempts
        if attempt.key in withdrawn
        and attempt.start > withdrawn[attempt.key] + grace_s
        and ran.get(attempt.tag)
    ]


def started_after(history: Iterable[Run], address: str, time: float) -> list[Run]:
    """Returns runs that an upstream started after a time, such as some seconds into its drain."""
    return [run for run in history if run.address == address and run.start > time]


def admitted_intervals(
    attempts: Iterable[load.Attempt], history: Iterable[Run], team: str
) -> list[Interval]:
    """Returns the calls of a team that ran, each as the caller saw it."""
    ran = runs_by_tag(history)
    return [
        Interval(of_tag[0].start, of_tag[-1].end)
        for tag, of_tag in _by_tag(attempts).items()
        if of_tag[0].team == team and ran.get(tag)
    ]


def above_rate(intervals: Sequence[Interval], limit: Limit) -> list[Excess]:
    """Returns windows with more calls than burst + rate * length, the worst for each start.

    A call counts for a window only if its whole interval lies inside, so it was surely admitted
    within the window; a call that waited long is counted in fewer windows, never in a wrong one.
    """
    excesses = []
    ends: list[float] = []
    for interval in sorted(intervals, key=lambda one: one.start, reverse=True):
        bisect.insort(ends, interval.end)
        worst = max(range(len(ends)), key=lambda at: at - limit.rate * ends[at])
        allowed = limit.burst + limit.rate * (ends[worst] - interval.start)
        if worst + 1 > allowed:
            excesses.append(Excess(interval.start, ends[worst], worst + 1, allowed))
    return excesses


def faults(
    attempts: Sequence[load.Attempt],
    history: Iterable[Run],
    repeatable: Callable[[Run], bool],
) -> list[object]:
    """Returns all that breaks a rule which holds for every load, among the runs of its calls."""
    tags = {attempt.tag for attempt in attempts}
    own = [run for run in history if run.tag in tags]
    return [
        *crossed(attempts),
        *doubled(own, repeatable),
        *with_key(own),
        *false_not_run(attempts, own),
        *answered_without_run(attempts, own),
    ]


def _by_tag(attempts: Iterable[load.Attempt]) -> dict[str, list[load.Attempt]]:
    found: dict[str, list[load.Attempt]] = collections.defaultdict(list)
    for attempt in sorted(attempts, key=lambda one: one.start):
        found[attempt.tag].append(attempt)
    return found
