"""Checks that calls between machines are given up only if a server or an end gave the reason."""

import collections
from collections.abc import Iterator

from soak.machines import answer_checks, ends, findings, record

AROUND_S = 0.1
BAD_GATEWAY, GATEWAY_TIMEOUT, OWN_FAILURES_FROM = 502, 504, 300
CROSSING_S = 0.2  # An answer that becomes whole at the deadline may cross the node's own.
LAST_SIXTH = 5 / 6  # Of `grace`, after which a node may cut off what its server works on.
NODE_REASONS = ("node-failed", "cancelled")


def find_broken(rows: record.Record) -> Iterator[findings.Finding]:
    """GIVEN UP: an own answer for a request whose answer was whole, or 502 because of another node.

    With 502 it had reached no server, or a server was at work on it. Excused: a machine of the
    request was killed, a server ended, or the last sixth of `grace` had begun at one of them.
    """
    runs = collections.defaultdict(list)
    for run in rows.runs:
        runs[run.id].append(run)
    for item in rows.attempts:
        if item.status < OWN_FAILURES_FROM or item.sealed:
            continue
        at_server = runs[item.id]
        was_whole = any(_was_whole(rows, run, item) for run in at_server)
        is_of_node = item.status == BAD_GATEWAY and item.text.startswith(NODE_REASONS)
        was_unsent = is_of_node and not at_server
        was_at_work = is_of_node and any(_is_at_work(run, item.ended) for run in at_server)
        if not (was_whole or was_unsent or was_at_work) or _is_excused(rows, item, at_server):
            continue
        what = (
            "its answer was whole"
            if was_whole
            else "it reached no server" if was_unsent else "its server was at work"
        )
        own = f"{item.status} {item.text.strip()}"
        text = f"{item.id} {item.by}, {item.method} {item.path}: {own}, {what}"
        yield findings.Finding("GIVEN UP", item.ended, item.machine, text, what)


def _find_due(item: record.Attempt) -> float:
    """Returns until when an answer has to be whole so that no own one may take its place.

    A node under load, or one that stood still, sends its 504 later than the timeout of the route;
    what became whole just before the timeout may have crossed it, what did so later came too late.
    """
    if item.status == BAD_GATEWAY:
        return item.ended
    due = item.ended
    if item.status == GATEWAY_TIMEOUT and item.sent is not None:
        due = min(due, item.sent + item.timeout_s)
    return due - CROSSING_S


def _was_whole(rows: record.Record, run: record.Run, item: record.Attempt) -> bool:
    """Returns True if a sound server had sent its whole answer in time.

    Of an answer that became whole just before the stand-ins stood still, the end may not have been
    sent until they went on, which may be past the timeout.
    """
    if run.status != 200 or run.fault:
        return False
    if run.ended is None:
        return True
    if item.status == GATEWAY_TIMEOUT and rows.stood_still(run.ended, item.ended):
        return False
    due = _find_due(item)
    return run.ended <= due and not _stood_until(rows, item, run, due)


def _stood_until(rows: record.Record, item: record.Attempt, run: record.Run, due: float) -> bool:
    """Returns True if a node of a 504 stood still from an answer to the timeout."""
    if item.status != GATEWAY_TIMEOUT:
        return False
    until = due + CROSSING_S
    return any(
        due - run.ended <= answer_checks.find_paused_s(rows, machine, run.ended, until)
        for machine in (item.machine, run.machine)
    )


def _is_at_work(run: record.Run, at: float) -> bool:
    """Returns True if a sound server had begun by then, and goes on."""
    return not run.fault and run.at <= at and (run.ended is None or run.ended > at)


def _is_excused(rows: record.Record, item: record.Attempt, at_server: list[record.Run]) -> bool:
    machines = {item.machine, *(run.machine for run in at_server)}
    begin, end = item.began - AROUND_S, item.ended + AROUND_S
    for other in rows.happenings:
        is_concerned = not at_server or other.machine in machines
        is_end = other.what == "server ends" or ends.is_kill(rows, other)
        is_end |= other.what == "node exits" and "by itself" in other.detail
        if is_concerned and is_end and begin <= other.at <= end:
            return True
        since_s = end - other.at
        is_late = LAST_SIXTH * ends.GRACE_S <= since_s <= ends.GRACE_S + 2 * AROUND_S
        if is_concerned and other.what == "SIGTERM" and is_late:
            return True
    return False
