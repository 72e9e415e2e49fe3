"""Checks that each request that was sent whole is answered, or its connection ended."""

import collections
from collections.abc import Iterator

from soak.machines import findings, record

LATE_S = 0.5  # After the timeout, for the node's own answer.
NO_ANSWER = "no answer came"
EXIT = "node exits"


def find_broken(rows: record.Record) -> Iterator[findings.Finding]:
    """LOST: a client waits past the route's timeout, and its node gives no answer at all.

    Time in which the node stood still before it had read the request, or past the timeout, doesn't
    count.
    Excused: the stand-ins stood still past the timeout. A client that reads slowly may still be at
    the body of its answer.
    """
    for item in rows.attempts:
        if item.end != "timeout" or item.sent is None:
            continue
        if item.reads_slowly and item.head_at is not None:
            continue
        due, read_at = item.sent + item.timeout_s, item.ended if item.taken is None else item.taken
        paused_s = find_paused_s(rows, item.machine, item.sent, read_at)
        paused_s += find_paused_s(rows, item.machine, max(due, read_at), item.ended)
        if item.ended - due - paused_s < LATE_S or rows.stood_still(due, item.ended):
            continue
        text = (
            f"{item.id} {item.by}, {item.method} {item.path}: no answer"
            f" {item.ended - item.sent:.2f} after the last byte, the timeout is {item.timeout_s},"
            f" {item.got} bytes came"
        )
        yield findings.Finding("LOST", item.ended, item.machine, text, NO_ANSWER)


def find_paused_s(rows: record.Record, machine: int, begin: float, end: float) -> float:
    """Returns for how many seconds from `begin` to `end` a process of a machine stood still.

    Of more than one process, it is the one that did so for longest. A pause ends with its process.
    """
    paused_s: collections.Counter[str] = collections.Counter()
    since: dict[str, float] = {}
    ends = [record.Happening(end, "SIGCONT", machine, process) for process in _list_processes(rows)]
    for item in [*sorted(rows.happenings, key=lambda item: item.at), *ends]:
        if item.machine != machine or item.what not in (*findings.FREEZES, EXIT):
            continue
        process = item.detail.partition(" ")[0]
        if item.what == "SIGSTOP":
            since.setdefault(process, item.at)
        elif process in since:
            began = max(since.pop(process), begin)
            paused_s[process] += max(0.0, min(item.at, end) - began)
    return max(paused_s.values(), default=0.0)


def _list_processes(rows: record.Record) -> set[str]:
    return {item.detail for item in rows.happenings if item.what == "SIGSTOP"}
