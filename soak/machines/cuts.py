"""Counts the requests that a machine cut off, beside a change and at other times."""

import attrs

from soak.machines import findings, record

AFTER_S = 3.0  # `config_apply` and a second more.
OWN_FAILURES = (502, 504)


@attrs.define
class Cuts:
    """Requests of one machine: how many ended, and how many of these were cut."""

    beside: int = 0
    beside_cut: int = 0
    other: int = 0
    other_cut: int = 0


def count(rows: record.Record) -> dict[int, Cuts]:
    """Returns the counts by machine; requests around a stop or a kill of it are left out."""
    ran = {run.id for run in rows.runs}
    found: dict[int, Cuts] = {}
    for item in rows.attempts:
        if item.sent is None or item.end not in ("answer", "closed", "reset"):
            continue
        if any(
            at <= item.ended and item.began <= at + findings.CONTACT_S
            for at in findings.list_times(rows, item.machine, findings.DISTURBANCES)
        ):
            continue
        is_cut = _is_cut(item, item.id in ran)
        cuts = found.setdefault(item.machine, Cuts())
        if _is_beside(rows, item):
            cuts.beside, cuts.beside_cut = cuts.beside + 1, cuts.beside_cut + is_cut
        else:
            cuts.other, cuts.other_cut = cuts.other + 1, cuts.other_cut + is_cut
    return found


def _is_cut(item: record.Attempt, has_run: bool) -> bool:
    """Returns True if a request that was read has no answer of a server, and time was left."""
    if item.end != "answer":
        return has_run or item.taken is not None
    is_own = item.status in OWN_FAILURES and not item.sealed
    return is_own and has_run and item.ended < item.began + item.timeout_s


def _is_beside(rows: record.Record, item: record.Attempt) -> bool:
    changes = [changed.at for changed in rows.configurations]
    changes += findings.list_times(rows, item.machine, ("SIGHUP",))
    return any(at <= item.ended and item.sent <= at + AFTER_S for at in changes)


def describe(counted: dict[int, Cuts]) -> str:
    """Returns the sums over all machines, and the machines that cut off any."""
    each = [
        f"{number}: {cuts.beside_cut}/{cuts.beside} and {cuts.other_cut}/{cuts.other}"
        for number, cuts in sorted(counted.items())
        if cuts.beside_cut or cuts.other_cut
    ]
    beside = sum(cuts.beside for cuts in counted.values())
    other = sum(cuts.other for cuts in counted.values())
    return f"cut off of {beside} beside a change and {other} at other times: {each or 'none'}"
