"""Checks that requests which last longer than their route's timeout are answered soon after it.

The answer to a client that reads slowly counts from its head. A request is left out if the
stand-ins stood still meanwhile, as its answer may have come in time.
"""

from collections.abc import Iterator

from soak.machines import findings, record

LATE_S = 0.5
MIN_LATE, MAX_LATE_FRACTION = 8, 0.25


def find_broken(rows: record.Record) -> Iterator[findings.Finding]:
    """CONFIG: too many of the requests that outlast the timeout have no answer soon after it."""
    lasting = [
        item
        for item in rows.attempts
        if _outlasts(item, 0.0) and not rows.stood_still(item.sent, item.ended)
    ]
    late = [
        item
        for item in lasting
        if _outlasts(item, LATE_S)
        and findings.is_in_touch(rows, item.machine, item.sent, item.ended)
    ]
    if len(late) < MIN_LATE or len(late) <= MAX_LATE_FRACTION * len(lasting):
        return
    for item in late:
        text = (
            f"{item.id} {item.by} {item.path} ended ({item.end} {item.status})"
            f" {item.ended - item.sent:.2f} s after its last byte, the timeout is {item.timeout_s}"
        )
        yield findings.Finding("CONFIG", item.ended, item.machine, text)


def _outlasts(item: record.Attempt, by_s: float) -> bool:
    """Returns True if a request that was sent whole had no answer `by_s` after its timeout."""
    if item.sent is None or item.ended is None or not item.alone:
        return False
    answered = item.ended
    if item.head_at is not None and (item.reads_slowly or item.end == "timeout"):
        answered = item.head_at
    return answered > item.sent + item.timeout_s + by_s
