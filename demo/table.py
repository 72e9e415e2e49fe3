"""Formats the report of the demo."""

from collections.abc import Iterable, Sequence

from demo import checks, faults, measures

TIMELINE_LINES = 12
CALL_EVENT_MARK = "  call."


def _format_goodput(
    title: str, rows: Iterable[measures.Goodput], wrongful: dict[str, int]
) -> list[str]:
    lines = [f"{title:<18}{'calls':>8}{'good':>8}{'above rate':>12}{'goodput':>10}"]
    if wrongful:
        lines[0] += f"{'wrongly refused':>17}"
    for row in rows:
        line = (
            f"{row.name:<18}{row.calls:>8}{row.good:>8}{row.refused:>12}{row.good_fraction:>10.1%}"
        )
        lines.append(line + (f"{wrongful[row.name]:>17}" if wrongful else ""))
    return lines


def format_report(
    by_class: Sequence[measures.Goodput],
    by_team: Sequence[measures.Goodput],
    wrongful: dict[str, int],
    recovery_s: float | None,
    times: faults.Times,
    platform: dict[str, int],
    results: Sequence[checks.Check],
    timeline: Sequence[str],
) -> list[str]:
    """Returns the report line by line.

    Args:
        by_class: Goodput of each class of importance.
        by_team: Goodput of each team.
        wrongful: Number of wrongful refusals of each team.
        recovery_s: Seconds until goodput was back, None if it never was.
        times: When the faults happened.
        platform: Number of requests that the platform received, by kind.
        results: Outcome of each rule.
        timeline: Lines of the merged timeline of all nodes, of which the last without calls are
            shown.
    """
    recovery = "not within the run" if recovery_s is None else f"{recovery_s:g} s"
    report = [
        "",
        *_format_goodput("class", by_class, {}),
        "",
        *_format_goodput("team", by_team, wrongful),
    ]
    report += ["", f"goodput back after the slow service: {recovery}"]
    report.append(f"change in force at every node: {times.in_force - times.accepted:.1f} s")
    counts = ", ".join(f"{count} {name}" for name, count in platform.items())
    report += [f"requests that the platform took: {counts}", ""]
    for check in results:
        outcome = f"broken: {check.violations}" if check.violations else "held"
        report.append(f"{outcome:<14}{check.rule}")
    changes = [line for line in timeline if CALL_EVENT_MARK not in line]
    report += ["", f"end of the time line of all nodes, {len(timeline)} events, without calls:"]
    return report + [f"  {line}" for line in changes[-TIMELINE_LINES:]]
