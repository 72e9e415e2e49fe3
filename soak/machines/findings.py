"""Findings, and when the rules excuse them because a machine was disturbed."""

import attrs

from soak.machines import record

CONTACT_S = 3.0
ENDS = ("SIGTERM", "SIGKILL", "node exits")
DISTURBANCES = (*ENDS, "node starts")
FREEZES = ("SIGSTOP", "SIGCONT")
UNPLANNED = ("connections reset", "clock step")
LEAVES = "machine leaves"


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
    """Returns begin and end of each trouble of the store; the first end ends all."""
    begins = [item.at for item in rows.happenings if item.what == "store trouble"]
    ends = [item.at for item in rows.happenings if item.what == "store works again"]
    return [(begin, next((at for at in ends if at >= begin), float("inf"))) for begin in begins]


def list_store_cuts(rows: record.Record, machine: int) -> list[tuple[float, float]]:
    """Returns from when until when the store turned a single machine away."""
    begins = list_times(rows, machine, ("store cut",))
    ends = list_times(rows, machine, ("store cut ends",))
    return [(begin, next((at for at in ends if at >= begin), float("inf"))) for begin in begins]


def is_in_touch(rows: record.Record, machine: int, begin: float, end: float) -> bool:
    """Returns True if a machine was in touch from `begin` to `end`."""
    since = begin - CONTACT_S
    away = [*list_store_troubles(rows), *list_store_cuts(rows, machine)]
    if any(first <= end and last >= since for first, last in away):
        return False
    of_machine = [item for item in rows.happenings if item.machine == machine and item.at <= end]
    disturbances = _without_own_ends(of_machine)
    is_disturbed = any(item.at >= since for item in disturbances)
    return not is_disturbed and not _is_last_process_gone(disturbances, of_machine)


def _without_own_ends(of_machine: list[record.Happening]) -> list[record.Happening]:
    """Returns the disturbances; who ends by itself counts as running until it is started again."""
    found, ends_itself = [], False
    for item in of_machine:
        if item.what == "node exits" and "by itself" in item.detail:
            ends_itself = True
        elif item.what == "node starts" and ends_itself:
            ends_itself = False
        elif item.what in (*DISTURBANCES, *FREEZES, *UNPLANNED):
            found.append(item)
    return found


def _is_last_process_gone(
    disturbances: list[record.Happening], of_machine: list[record.Happening]
) -> bool:
    """Returns True if the process that was started last was told to stop, or was killed."""
    starts = [item.detail for item in of_machine if item.what == "node starts"]
    return bool(starts) and any(
        item.what in ENDS and item.detail.split(" ")[0] == starts[-1] for item in disturbances
    )
