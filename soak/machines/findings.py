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
