"""Counts the requests that could have been lost, so that a number of findings has a meaning."""

import collections
from collections.abc import Iterable

import attrs

from soak.machines import ends, findings, record, stops

LATE_S = 3.0  # After the first SIGTERM; what was sent until then is still owed an answer.
AFTER_RELOAD_S = 2.0  # `config_apply`.
AFTER_CONFIGURATION_S = 3.0  # `config_apply` and a second more.
MIN_SERVED_FRACTION = 0.5


@attrs.frozen
class Counts:
    """Requests that ran and ended, by what went on; one may count in several places.

    Attributes:
        requests: All requests of clients and servers.
        served: Those that were answered with 200.
        in_stop: Those whose process had a SIGTERM before their end, until 1 s after `grace`.
        late_in_stop: Of these, the ones that ended later than 3 s after the first SIGTERM.
        beside_reload: Those of a machine with a SIGHUP before their end and 2 s at most before
            their last byte.
        beside_configuration: Those beside a configuration, up to 3 s before their last byte.
        undisturbed: Those of machines that were in touch from their begin to their end.
    """

    requests: int = 0
    served: int = 0
    in_stop: int = 0
    late_in_stop: int = 0
    beside_reload: int = 0
    beside_configuration: int = 0
    undisturbed: int = 0

    def __add__(self, other: "Counts") -> "Counts":
        pairs = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        return Counts(*(mine + theirs for mine, theirs in pairs))

    @property
    def is_served(self) -> bool:
        """True if at least half of the requests were answered with 200."""
        return self.served >= MIN_SERVED_FRACTION * self.requests

    def describe(self) -> str:
        """Returns the numbers as a part of a line."""
        return (
            f"{self.in_stop} at risk in a stop ({self.late_in_stop} later than {LATE_S:g} s after"
            f" SIGTERM), {self.beside_reload} beside SIGHUP, {self.beside_configuration} beside a"
            f" configuration, {self.undisturbed} at undisturbed machines"
        )


@attrs.define
class Sum:
    """What several seeds found, of how many requests at risk."""

    seeds: int = 0
    counts: Counts = Counts()
    rules: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def add(self, counts: Counts, found: Iterable[findings.Finding]) -> None:
        """Adds a seed."""
        self.seeds += 1
        self.counts += counts
        self.rules.update(finding.rule for finding in found)

    def describe(self) -> str:
        """Returns the sum as a part of a line."""
        return (
            f"{self.seeds} seeds, {self.counts.requests} requests, {self.counts.served} answered"
            f" 200: {dict(self.rules) or 'no findings'} of {self.counts.describe()}"
        )


class Total:
    """The sums of a run; seeds in which fewer than half were served are held apart."""

    def __init__(self) -> None:
        self._served, self._unserved = Sum(), Sum()

    def add(self, counts: Counts, found: Iterable[findings.Finding]) -> None:
        """Adds a seed."""
        (self._served if counts.is_served else self._unserved).add(counts, found)

    def describe(self) -> str:
        """Returns both sums as one line, the second only if it has any seeds."""
        text = self._served.describe()
        if self._unserved.seeds:
            text += f"; apart, as under half were answered 200: {self._unserved.describe()}"
        return text


def count(rows: record.Record) -> Counts:
    """Returns the counts of a seed.

    Who was killed, or ended by itself, while a request's connection was open has put it at no risk.
    """
    ran = {run.id for run in rows.runs}
    served = sum(item.status == 200 for item in rows.attempts)
    total = Counts(len(rows.attempts), served)
    by_machine = {item.machine: _pick(rows, item.machine) for item in rows.attempts}
    for item in rows.attempts:
        if item.id not in ran or item.sent is None or item.ended is None:
            continue
        of_machine = by_machine[item.machine]
        if not ends.is_killed(of_machine, item):
            total += _place(of_machine, item)
    return total


def _pick(rows: record.Record, machine: int) -> record.Record:
    """Returns what happened on a machine, or to the store or the fleet."""
    picked = record.Record()
    picked.happenings = [item for item in rows.happenings if item.machine in (0, machine)]
    picked.configurations = rows.configurations
    return picked


def _place(of_machine: record.Record, item: record.Attempt) -> Counts:
    gone = {
        other.detail: other.at for other in of_machine.happenings if other.what == "process gone"
    }
    begins = [
        at
        for pid, at in stops.find_told(of_machine, item).items()
        if item.ended <= at + stops.GRACE_S + stops.AFTER_S
        and item.connected < gone.get(pid, float("inf"))
    ]
    reloads = findings.list_times(of_machine, item.machine, ("SIGHUP",))
    changes = [changed.at for changed in of_machine.configurations]
    return Counts(
        in_stop=bool(begins),
        late_in_stop=bool(begins) and item.ended > min(begins) + LATE_S,
        beside_reload=_is_beside(item, reloads, AFTER_RELOAD_S),
        beside_configuration=_is_beside(item, changes, AFTER_CONFIGURATION_S),
        undisturbed=findings.is_in_touch(of_machine, item.machine, item.began, item.ended),
    )


def _is_beside(item: record.Attempt, changes: list[float], after_s: float) -> bool:
    return any(at <= item.ended and item.sent <= at + after_s for at in changes)
