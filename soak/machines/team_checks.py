"""Checks the rules on teams: keys, the name that servers get, and limits."""

import bisect
import collections
from collections.abc import Iterator

from soak.machines import findings, record

CONFIG_APPLY_S = 2.0
QUOTA_WINDOW_S, QUOTA_OVERSHOOT, QUOTA_SLACK = 5.0, 0.1, 20
DENIED = (401, 403, 404)
DENIED_OUT_OF_TOUCH = 10


def find_broken(rows: record.Record, runs: dict[str, list]) -> list[findings.Finding]:
    """Returns what broke a rule; there is nothing to find without configurations."""
    if not rows.configurations:
        return []
    return [*_find_wrong_teams(rows), *_find_denied(rows), *_find_over_limits(rows, runs)]


def _list_possible(rows: record.Record, began: float, until: float) -> list[record.Configuration]:
    """Returns the configurations that may be in force for a request sent at `began`."""
    times = [item.at for item in rows.configurations]
    first = max(0, bisect.bisect_left(times, began - CONFIG_APPLY_S) - 1)
    return rows.configurations[first : bisect.bisect_right(times, until)]


def _find_wrong_teams(rows: record.Record) -> Iterator[findings.Finding]:
    """UNASKED, ROUTE and CONFIG: a run for another team, or with a key that isn't held."""
    attempts = {item.id: item for item in rows.attempts}
    for run in rows.runs:
        item = attempts.get(run.id)
        if item is None:
            continue
        text = f"{run.id} {run.path} with key {item.key!r} runs for {run.team!r}"
        if run.key:
            yield findings.Finding("UNASKED", run.at, run.machine, f"{text}, with its key")
        if not item.key:
            if run.team:
                yield findings.Finding("UNASKED", run.at, run.machine, text)
            continue
        ever = {config.held.holders.get(item.key) for config in _list_possible(rows, 0.0, run.at)}
        possible = _list_possible(rows, item.began, run.at)
        holders = {config.held.holders.get(item.key) for config in possible}
        if ever == {None}:
            yield findings.Finding("ROUTE", run.at, run.machine, f"{text}, nobody ever held it")
        elif run.team not in ever:
            yield findings.Finding("UNASKED", run.at, run.machine, f"{text}, held by {ever}")
        elif run.team not in holders and findings.is_in_touch(
            rows, item.machine, item.began, run.at
        ):
            late_s = item.began - possible[0].at
            seen = f"{text}, held by {holders} since {late_s:.2f} s before it was sent"
            yield findings.Finding("CONFIG", run.at, item.machine, seen)


def _find_denied(rows: record.Record) -> Iterator[findings.Finding]:
    """CONFIG and DENIED: a refusal of what all possible configurations allow."""
    out_of_touch = []
    for item in rows.attempts:
        if item.status not in DENIED or item.sealed:
            continue
        possible = _list_possible(rows, item.began, item.ended)
        if item.key and any(item.key not in config.held.holders for config in possible):
            continue
        text = f"{item.id} {item.by} {item.path} with key {item.key!r}: {item.status} {item.text}"
        found = findings.Finding("CONFIG", item.ended, item.machine, text)
        if findings.is_in_touch(rows, item.machine, item.began, item.ended):
            yield found
        elif not item.key or all(item.key in each.held.holders for each in rows.configurations):
            out_of_touch.append(findings.Finding("DENIED", found.at, found.machine, text))
    if len(out_of_touch) > DENIED_OUT_OF_TOUCH:
        yield from out_of_touch


def _find_over_limits(rows: record.Record, runs: dict[str, list]) -> Iterator[findings.Finding]:
    """QUOTA: more requests of a team are sent and run in a window than its limit allows."""
    by_team = collections.defaultdict(list)
    for item in rows.attempts:
        first = min(runs.get(item.id, ()), key=lambda run: run.at, default=None)
        if item.key and first is not None and first.team:
            by_team[first.team].append((item.began, first.at))
    bounds = [_find_binding(rows, config) for config in rows.configurations]
    for team, spans in by_team.items():
        spans.sort()
        for index, (begin, _) in enumerate(spans):
            end = begin + QUOTA_WINDOW_S
            last = bisect.bisect_right(spans, (end, end))
            number = sum(at <= end for _, at in spans[index:last])
            most = _find_allowance(rows, bounds, team, begin, end)
            if number > most:
                text = f"{number} requests of {team} in {QUOTA_WINDOW_S:g} s, {most:.1f} allowed"
                yield findings.Finding("QUOTA", begin, 0, text, team)
                break


def _find_allowance(rows, bounds: list[float], team: str, begin: float, end: float) -> float:
    """Returns how many requests of a team a window allows under the highest possible limit."""
    first = max((index for index, at in enumerate(bounds) if at <= begin), default=0)
    possible = [item for item in rows.configurations[first:] if item.at <= end]
    limits = [item.held.limits[team].allowance(QUOTA_WINDOW_S) for item in possible]
    highest = max(limits, default=float("inf"))
    return highest * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK


def _find_binding(rows: record.Record, config: record.Configuration) -> float:
    """Returns the time after which whole windows keep to a configuration's limits."""
    since = config.at + CONFIG_APPLY_S
    latest = since
    for machine in {item.machine for item in rows.happenings if item.machine}:
        marks = [item.at for item in rows.happenings if item.machine in (0, machine)]
        times = [since, *(at + findings.CONTACT_S + 0.001 for at in marks if at > since - 3.1)]
        touched = (
            at
            for at in sorted(times)
            if at >= since and findings.is_in_touch(rows, machine, at, at)
        )
        left = findings.list_times(rows, machine, (findings.LEAVES,))
        latest = max(latest, min([next(touched, float("inf")), *left]))
    return latest
