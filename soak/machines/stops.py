"""Planned stops of a machine, and which ends of requests they excuse."""

from soak.machines import record

GRACE_S = 6.0
AFTER_S = 1.0  # After `grace`, until which a SIGTERM counts as planned work.
LAST_SIXTH_S = GRACE_S * 5 / 6  # From here on a node may break off what it took in time.
IN_TIME_S = 3.0


def list_begins(rows: record.Record, item: record.Attempt) -> list[float]:
    """Returns when the stops began that an attempt may have met, in the order of time."""
    return sorted(find_told(rows, item).values())


def find_told(rows: record.Record, item: record.Attempt) -> dict[str, float]:
    """Returns the processes that were told to stop before an attempt ended, and when.

    A process that gets more than one SIGTERM stops from the first on, and one that started after
    the client had connected didn't take the request.
    """
    of_machine = [other for other in rows.happenings if other.machine == item.machine]
    later = {
        other.detail
        for other in of_machine
        if other.what == "node starts" and other.at > item.connected
    }
    begins: dict[str, float] = {}
    for other in of_machine:
        if other.what == "SIGTERM" and other.detail not in later and other.at <= item.ended:
            begins.setdefault(other.detail, other.at)
    return begins


def forbid_own_answer(begins: list[float], item: record.Attempt) -> bool:
    """Returns True if one of the stops allows no answer of the node's in place of its server's."""
    return any(
        item.ended <= begin + GRACE_S + AFTER_S and not may_break_off(begin, item)
        for begin in begins
    )


def may_break_off(begin: float, item: record.Attempt) -> bool:
    """Returns True if a request was sent in time and ended in the last sixth of the stop."""
    return item.sent <= begin + IN_TIME_S and item.ended >= begin + LAST_SIXTH_S
