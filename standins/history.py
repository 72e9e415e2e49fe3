"""Compares what callers saw (load records) with what upstreams ran (run records).

Both kinds of record take their times from CLOCK_MONOTONIC of one machine. Each check returns the
violations of one rule, so an empty list means that the rule held.
"""

import bisect
import collections
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from standins import load

NOT_RUN = "not-run"
STATUS_OK = 200


@attrs.frozen
class Run:
    """One run of a call at an upstream.

    Attributes:
        tag: Tag of the call.
        service: Service of the upstream.
        address: Address of the upstream.
        method: HTTP method.
        path: Path.
        start: Start in seconds of CLOCK_MONOTONIC.
        key_seen: True if the upstream received a caller's key with the call.
        outcome: Outcome of the run, "" if the record has no end of it.
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
    """Start and end in seconds of a call as its caller saw it; it was admitted in between."""

    start: float
    end: float


@attrs.frozen
class Excess:
    """A time window in which certainly more calls were admitted than rate and burst allow.

    Attributes:
        start: Start of the window in seconds.
        end: End of the window in seconds.
        admitted: Calls that were certainly admitted in it.
        allowed: Calls that rate and burst allow in it.
    """

    start: float
    end: float
    admitted: int
    allowed: float


@attrs.frozen
class Limit:
    """Rate in calls per second, and burst in calls, of a team over the whole fleet."""

    rate: float
    burst: int


def parse_runs(lines: Iterable[dict]) -> list[Run]:
    """Returns the runs in the lines of run records, in order of their start.

    An upstream that was restarted numbers its runs from 1 again, so an end belongs to the latest
    start of its number.
    """
    collected: list[Run] = []
    index_by_number: dict[tuple[str, int], int] = {}
    for line in sorted(lines, key=lambda line: line["time"]):
        if line["event"] == "start":
            index_by_number[line["address"], line["run"]] = len(collected)
            collected.append(_start_run(line))
        elif line["event"] == "end":
            index = index_by_number[line["address"], line["run"]]
            collected[index] = attrs.evolve(collected[index], outcome=line["outcome"])
    return collected


def _start_run(line: dict) -> Run:
    return Run(
        tag=line["tag"],
        service=line["service"],
        address=line["address"],
        method=line["method"],
        path=line["path"],
        start=line["time"],
        key_seen=line["key_seen"],
    )


def runs_by_tag(history: Iterable[Run]) -> dict[str, list[Run]]:
    """Groups runs by the tag of their call."""
    grouped: dict[str, list[Run]] = collections.defaultdict(list)
    for run in history:
        grouped[run.tag].append(run)
    return grouped


def find_repeated_runs(history: Iterable[Run], repeatable: Callable[[Run], bool]) -> list[Run]:
    """Returns second and later runs of calls that must not be repeated."""
    seen = set()
    repeated = []
    for run in history:
        call = (run.tag, run.service, run.method, run.path)
        if not repeatable(run) and call in seen:
            repeated.append(run)
        seen.add(call)
    return repeated


def find_runs_with_caller_key(history: Iterable[Run]) -> list[Run]:
    """Returns runs in which the upstream received a caller's key."""
    return [run for run in history if run.key_seen]


def find_false_not_run_verdicts(
    attempts: Iterable[load.Attempt], history: Iterable[Run]
) -> list[load.Attempt]:
    """Returns attempts with verdict not-run although the call ran during or after the attempt.

    A run counts for the latest attempt that started before it.
    """
    by_tag = runs_by_tag(history)
    contradicted = []
    for attempts_of_tag in _group_by_tag(attempts).values():
        starts = [attempt.start for attempt in attempts_of_tag]
        for run in by_tag.get(attempts_of_tag[0].tag, ()):
            index = bisect.bisect_right(starts, run.start) - 1
            if index >= 0 and attempts_of_tag[index].verdict == NOT_RUN:
                contradicted.append(attempts_of_tag[index])
    return contradicted


def find_answers_without_run(
    attempts: Iterable[load.Attempt], history: Iterable[Run]
) -> list[load.Attempt]:
    """Returns attempts with a complete 200 response to a call that has no successful run."""
    ended = {run.tag for run in history if run.outcome == "ok"}
    return [
        attempt for attempt in attempts if attempt.status == STATUS_OK and attempt.tag not in ended
    ]


def find_swapped_answers(attempts: Iterable[load.Attempt]) -> list[load.Attempt]:
    """Returns attempts that received the response to another request."""
    return [attempt for attempt in attempts if attempt.body == "crossed"]


def find_runs_after_withdrawal(
    attempts: Iterable[load.Attempt],
    history: Iterable[Run],
    withdrawn: Mapping[str, float],
    grace_s: float,
) -> list[load.Attempt]:
    """Returns attempts that ran although sent more than `grace_s` after the key's withdrawal.

    Args:
        attempts: Attempts as callers saw them.
        history: Runs of upstreams.
        withdrawn: Time of withdrawal in seconds, by the last characters of the key as recorded
            in the attempts.
        grace_s: Seconds within which a withdrawal must take effect.
    """
    runs_of_tag = runs_by_tag(history)
    return [
        attempt
        for attempt in attempts
        if attempt.key in withdrawn
        and attempt.start > withdrawn[attempt.key] + grace_s
        and runs_of_tag.get(attempt.tag)
    ]


def find_runs_started_after(history: Iterable[Run], address: str, time: float) -> list[Run]:
    """Returns runs that an upstream started after `time`, such as some seconds into its drain."""
    return [run for run in history if run.address == address and run.start > time]


def admitted_intervals(
    attempts: Iterable[load.Attempt], history: Iterable[Run], team: str
) -> list[Interval]:
    """Returns the interval of each call of a team that ran, over all its attempts."""
    runs_of_tag = runs_by_tag(history)
    return [
        Interval(attempts_of_tag[0].start, attempts_of_tag[-1].end)
        for tag, attempts_of_tag in _group_by_tag(attempts).items()
        if attempts_of_tag[0].team == team and runs_of_tag.get(tag)
    ]


def find_rate_violations(intervals: Sequence[Interval], limit: Limit) -> list[Excess]:
    """Returns windows with more calls than burst + rate * length, the worst for each start.

    A call counts for a window only if its whole interval lies inside, so that it was certainly
    admitted within the window. A call that waited long counts for fewer windows, never for one
    in which it was not admitted.
    """
    excesses = []
    ends: list[float] = []
    for interval in sorted(intervals, key=lambda span: span.start, reverse=True):
        bisect.insort(ends, interval.end)
        worst = max(range(len(ends)), key=lambda index: index - limit.rate * ends[index])
        allowed = limit.burst + limit.rate * (ends[worst] - interval.start)
        if worst + 1 > allowed:
            excesses.append(Excess(interval.start, ends[worst], worst + 1, allowed))
    return excesses


def find_violations(
    attempts: Sequence[load.Attempt],
    history: Iterable[Run],
    repeatable: Callable[[Run], bool],
) -> list[object]:
    """Returns all violations of the rules that hold for every load.

    Only runs of the calls in `attempts` are checked.
    """
    tags = {attempt.tag for attempt in attempts}
    runs_of_attempts = [run for run in history if run.tag in tags]
    return [
        *find_swapped_answers(attempts),
        *find_repeated_runs(runs_of_attempts, repeatable),
        *find_runs_with_caller_key(runs_of_attempts),
        *find_false_not_run_verdicts(attempts, runs_of_attempts),
        *find_answers_without_run(attempts, runs_of_attempts),
    ]


def _group_by_tag(attempts: Iterable[load.Attempt]) -> dict[str, list[load.Attempt]]:
    grouped: dict[str, list[load.Attempt]] = collections.defaultdict(list)
    for attempt in sorted(attempts, key=lambda item: item.start):
        grouped[attempt.tag].append(attempt)
    return grouped
