"""Checks the rules on what the stand-ins saw; a finding names its rule and its time."""

import bisect
import collections
import itertools

from soak.machines import (
    answer_checks,
    ends,
    findings,
    record,
    server_faults,
    stops,
    team_checks,
    timeout_checks,
)

DRAIN_S = 2.0
START_S = 1.0  # A signal ends a process whose interpreter still starts.
MOMENTS_S = (0.0, 0.5, 2.0, 3.0, 6.0)  # Of a stop, to count findings by.
AT_EXIT_S = 0.05
AT_END_S = 0.1  # Between the end of a run and that of its request.
REFUSALS = (408, 421, 429, 503)
OWN_FAILURES_FROM = 300
NOTED_S = 0.01  # For which the node may have a last byte before its client notes that it was sent.


def find_broken(rows: record.Record) -> list[findings.Finding]:
    """Returns what broke a rule, in the order of time."""
    runs = collections.defaultdict(list)
    for run in rows.runs:
        runs[run.id].append(run)
    found = [
        *_find_lost(rows, runs),
        *answer_checks.find_broken(rows),
        *_find_untrue(rows, runs),
        *_find_late_runs(rows),
        *_find_exits(rows),
        *team_checks.find_broken(rows, runs),
        *timeout_checks.find_broken(rows),
    ]
    return sorted(found, key=lambda finding: finding.at)


def _is_broken_off(rows: record.Record, attempt: record.Attempt, machines: set[int]) -> bool:
    """Returns True if the node, or a server or node on the way, was killed or ended meanwhile."""
    begin = attempt.began if machines else attempt.connected
    return any(
        (item.machine == attempt.machine and "by itself" in item.detail)
        or (item.machine == attempt.machine and ends.is_kill(rows, item))
        or (item.machine in machines and (item.what == "server ends" or ends.is_kill(rows, item)))
        for item in rows.happenings
        if begin - 0.1 <= item.at <= attempt.ended + 0.1
    )


def _find_lost(rows: record.Record, runs) -> list[findings.Finding]:
    """LOST: a request that was read, or ran, has no whole answer, or one of the node instead."""
    found = []
    for item in filter(lambda attempt: attempt.ended is not None, rows.attempts):
        at_server = runs.get(item.id, [])
        begins = stops.list_begins(rows, item)
        since_s = item.ended - begins[-1] if begins else float("inf")
        if item.end in ("closed", "reset") and item.sent is not None:
            was_read = item.end == "closed" or not ends.is_known_unread(item)
            is_lost = (ends.is_late(rows, item) and was_read) or bool(at_server)
        else:
            is_own = item.status >= OWN_FAILURES_FROM and not item.sealed and item.sent is not None
            is_own = is_own and item.ended < item.sent + item.timeout_s - NOTED_S
            is_lost = is_own and stops.forbid_own_answer(begins, item)
            is_lost = is_lost and any(_is_at_work(run, item) for run in at_server)
        if not is_lost or _is_broken_off(rows, item, {run.machine for run in at_server}):
            continue
        if at_server and at_server[-1].fault in server_faults.BREAK_OFF:
            continue
        text = (
            f"{item.id} {item.by}, {item.method} {item.path}: connection lasted"
            f" {item.ended - item.connected:.2f}, ended ({item.end} {item.status})"
            f" {item.ended - (item.sent or item.ended):.2f} after the last byte,"
            f" {since_s:.2f} s after the first SIGTERM; {len(at_server)} runs,"
            f" {item.got} bytes came"
        )
        kind = _name_kind(rows, item, since_s, bool(at_server))
        if any(_is_at_work(run, item) for run in at_server) and begins:
            kind += ", in time, at work in the last sixth" * stops.may_break_off(begins[-1], item)
        found.append(findings.Finding("LOST", item.ended, item.machine, text, kind))
    return found


def _name_kind(rows: record.Record, item: record.Attempt, since_s: float, ran: bool) -> str:
    """Returns how the request ended, who sent it, and at which moment of a stop."""
    exits = findings.list_times(rows, item.machine, ("node exits",))
    is_exit = any(abs(at - item.ended) < AT_EXIT_S for at in exits)
    moments = [
        f"{low:g} to {high:g} s after SIGTERM" for low, high in itertools.pairwise(MOMENTS_S)
    ]
    index = bisect.bisect_right(MOMENTS_S, since_s) - 1
    moment = moments[index] if index < len(moments) else "no stop"
    sender = "a server's call" if item.by.startswith("server") else item.by
    end = f"{item.end} {item.status or ''}".strip()
    end += "" if item.end == "answer" else f" ({ends.name_end(rows, item)})"
    parts = [end, "ran" if ran else "did not run", sender, moment]
    return ", ".join(parts + ["as its process ends"] * is_exit)


def _is_at_work(run: record.Run, attempt: record.Attempt) -> bool:
    """Returns True if a run went on, or ended well, or gave up at the deadline that it was told."""
    gave_up = run.status == 504 and run.ended is not None and run.ended > attempt.ended - AT_END_S
    return run.ended is None or run.ended > attempt.ended or run.status == 200 or gave_up


def _find_untrue(rows: record.Record, runs) -> list[findings.Finding]:
    """TWICE, REFUSED, MIXED, UNASKED and ROUTE."""
    found = []
    attempts = {item.id: item for item in rows.attempts}
    for item in rows.attempts:
        at_server = runs.get(item.id, [])
        broken = []
        if not item.safe and len(at_server) > 1:
            broken.append("TWICE")
        if not item.safe and at_server and item.status in REFUSALS and not item.sealed:
            broken.append("REFUSED")
        if item.status == 200 and not (item.whole and item.sealed):
            broken.append("MIXED")
        is_of_server = item.status == 200 or (item.status > 0 and item.sealed)
        if is_of_server and not any(run.status in (item.status, -1) for run in at_server):
            broken.append("MIXED")
        what = f"{item.id} {item.by}, {item.method} {item.path}: {item.status}, {at_server}"
        found += [
            findings.Finding(rule, item.ended or item.began, item.machine, what) for rule in broken
        ]
    for run in rows.runs:
        item = attempts.get(run.id)
        if (
            item is None
            or (run.method, run.path) != (item.method, item.path)
            or run.digest not in ("", item.digest)
            or run.caller_service != item.service
        ):
            found.append(findings.Finding("UNASKED", run.at, run.machine, f"{run}, sent: {item}"))
        if run.host != f"{run.service}.test":
            found.append(findings.Finding("ROUTE", run.at, run.machine, f"{run}"))
    found += [
        findings.Finding("UNASKED", item.at, item.machine, f"{item.what}: {item.detail}")
        for item in rows.happenings
        if item.what == "server reads no request"
    ]
    return found


def _find_late_runs(rows: record.Record) -> list[findings.Finding]:
    """DRAIN: a request runs later than `drain` after a confirmed leave; excuse: not in touch."""
    left = {item.detail: item for item in rows.happenings if item.what == "leave confirmed"}
    troubles = findings.list_store_troubles(rows)
    attempts = {item.id: item for item in rows.attempts}
    found = []
    for run in rows.runs:
        leave, item = left.get(run.server), attempts.get(run.id)
        if leave is None or item is None or run.at <= leave.at + DRAIN_S:
            continue
        whats = (*findings.DISTURBANCES, *findings.UNPLANNED)
        disturbed = findings.list_times(rows, item.machine, whats)
        if any(item.began - findings.CONTACT_S <= at <= run.at for at in disturbed):
            continue
        own = item.machine == leave.machine
        store = [*troubles, *findings.list_store_cuts(rows, item.machine)]
        if not own and any(
            a - findings.CONTACT_S <= run.at and item.began <= b + findings.CONTACT_S
            for a, b in store
        ):
            continue
        text = f"{run.id} runs at {run.server} {run.at - leave.at:.2f} s after its leave"
        found.append(findings.Finding("DRAIN", run.at, item.machine, text))
    return found


def _find_exits(rows: record.Record) -> list[findings.Finding]:
    """FAULT: a process ends by itself, or with a status; GRACE: it must be killed after `grace`."""
    started = {item.detail: item.at for item in rows.happenings if item.what == "node starts"}
    found = []
    for item in rows.happenings:
        if item.what == "grace is over":
            found.append(
                findings.Finding("GRACE", item.at, item.machine, f"pid {item.detail}: no end")
            )
        if item.what != "node exits":
            continue
        pid, code, cause = item.detail.split(" ", 2)
        early = code == "-15" and item.at < started[pid] + START_S
        if cause == "by itself" or (cause == "stopped" and code != "0" and not early):
            text = f"pid {pid} ended {item.at - started[pid]:.2f} s after its start: {code} {cause}"
            found.append(findings.Finding("FAULT", item.at, item.machine, text))
    return found
