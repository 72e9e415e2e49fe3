"""Findings, and when the rules excuse them because a machine was disturbed."""

import itertools

import attrs

from soak.machines import record

CONTACT_S = 3.0
DISTURBANCES = ("SIGTERM", "SIGKILL", "node starts", "node exits")


@attrs.frozen
class Finding:
    """A broken rule: when, on which machine, what was seen, and a kind to count it by."""

    rule: str
    at: float
    machine: int
    text: str
    kind: str = ""

    def to_line(self) -> str:
        """Returns it as one line."""
        return f"{self.rule} at {self.at:.3f} on machine {self.machine}: {self.text}"


def list_times(rows: record.Record, machine: int, whats: tuple[str, ...]) -> list[float]:
    """Returns when something of a kind happened on a machine."""
    return [item.at for item in rows.happenings if item.machine == machine and item.what in whats]


def list_store_troubles(rows: record.Record) -> list[tuple[float, float]]:
    """Returns begin and end of each trouble of the store."""
    begins = [item.at for item in rows.happenings if item.what == "store trouble"]
    ends = [item.at for item in rows.happenings if item.what == "store works again"]
    return list(itertools.zip_longest(begins, ends, fillvalue=float("inf")))


def is_in_touch(rows: record.Record, machine: int, begin: float, end: float) -> bool:
    """Returns True if a machine was in touch from `begin` to `end`."""
    since = begin - CONTACT_S
    if any(a <= end and b >= since for a, b in list_store_troubles(rows)):
        return False
    disturbances = (*DISTURBANCES, "SIGSTOP", "SIGCONT")
    before = []
    for item in rows.happenings:
        if item.machine != machine or item.what not in disturbances or item.at > end:
            continue
        if "by itself" in item.detail:  # Counts as running all the while.
            continue
        if item.at >= since:
            return False
        before.append(item)
    return not before or not _is_last_process_gone(before)


def _is_last_process_gone(before: list[record.Happening]) -> bool:
    starts = [item.detail for item in before if item.what == "node starts"]
    return bool(starts) and any(
        item.what != "node starts" and item.detail.split(" ")[0] == starts[-1] for item in before
    )
