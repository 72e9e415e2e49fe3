"""Tells how requests ended that have no answer, those included that the rules excuse."""

import collections

from soak.machines import record

GRACE_S, LOST_SLACK_S = 6.0, 0.2
AROUND_S = 0.1  # Between what is done to a process and what its clients see of it.
KILLED = "killed node"
KILLED_BACKLOG = "backlog of a killed process"
NOT_WHOLE = "not sent whole"
LISTENER = "listener closed in a stop"
CROSSING = "idle close that crosses"
BEHIND_LAST = "behind an answer that closes"
DEADLINE = "client's deadline"
CALLER_ENDED = "calling server ended"
TORN = "reset from outside"
OTHER = "other"


def count(rows: record.Record) -> collections.Counter[str]:
    """Returns how many requests ended in each way."""
    return collections.Counter(
        name_end(rows, item) for item in rows.attempts if item.end not in ("", "answer")
    )


def name_end(rows: record.Record, item: record.Attempt) -> str:
    """Returns how a request without an answer ended."""
    if item.end in ("timeout", "gave up"):
        return DEADLINE if item.end == "timeout" else CALLER_ENDED
    if item.end == "torn":
        return TORN
    if is_killed(rows, item):
        return KILLED if item.accepted else KILLED_BACKLOG
    if item.sent is None:
        return NOT_WHOLE
    if is_known_unread(item) and not item.accepted and _is_stopping(rows, item):
        return LISTENER
    is_at_once = not is_late(rows, item)
    if item.taken is None and is_at_once and item.end == "closed" and not item.alone:
        return BEHIND_LAST
    if item.taken is None and is_at_once and item.reused:
        return CROSSING
    return OTHER


def is_late(rows: record.Record, item: record.Attempt) -> bool:
    """Returns True if a connection ended later than the slack after the last byte.

    While the stand-ins stood still, the end of a kept connection may have come as the request was
    on its way: their time doesn't count if the kernel told nothing of the request.
    """
    took_s = item.ended - item.sent
    if item.reused and item.taken is None and (item.looked is None or item.looked < item.sent):
        took_s -= rows.sum_stalls_s(item.sent, item.ended)
    return took_s > LOST_SLACK_S


def is_known_unread(item: record.Attempt) -> bool:
    """Returns True if the kernel told after the last byte, up to the end, that it wasn't read."""
    since = max(item.sent, item.ended - LOST_SLACK_S)
    return item.looked is not None and item.looked >= since and item.taken is None


def is_killed(rows: record.Record, item: record.Attempt) -> bool:
    """Returns True if the node was killed, or ended by itself, while the connection was open."""
    return any(
        other.machine == item.machine and (is_kill(rows, other) or "by itself" in other.detail)
        for other in rows.happenings
        if item.connected - AROUND_S <= other.at <= item.ended + AROUND_S
    )


def is_kill(rows: record.Record, item: record.Happening) -> bool:
    """Returns True for a SIGKILL, but for those at the end of `grace`, which belong to a stop."""
    return item.what == "SIGKILL" and not any(
        other.what == "grace is over" and other.detail == item.detail for other in rows.happenings
    )


def _is_stopping(rows: record.Record, item: record.Attempt) -> bool:
    return any(
        other.machine == item.machine
        and other.what == "SIGTERM"
        and other.at <= item.ended <= other.at + GRACE_S + AROUND_S
        for other in rows.happenings
    )
