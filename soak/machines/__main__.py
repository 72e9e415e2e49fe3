"""Runs the soak of machines on one or several seeds; the exit code is 0 only if all rules held."""

import asyncio
import collections
import pathlib
import shutil
import signal
import sys

import attrs
from absl import app, flags

from soak.machines import (
    at_risk,
    checks,
    client,
    cuts,
    draw,
    ends,
    far_checks,
    findings,
    fleet,
    machine,
    planted_node,
    record,
    shape,
)

S_PER_MINUTE = 60.0
BEFORE_S, AFTER_S = 4.0, 1.0
LOG_LINES = 12
EXIT_FAILED = 1


def run_plan(
    plan: draw.Plan,
    folder: pathlib.Path,
    of: shape.Shape | None = None,
    tree: pathlib.Path = machine.OWN_TREE,
    starving: tuple[float, float] | None = None,
    planted: str = "",
) -> tuple[record.Record, list[findings.Finding]]:
    """Carries out a plan; logs and records are written to `folder`.

    Args:
        plan: What is done.
        folder: Directory of logs and records.
        of: Shape of the fleet; the one named ``any`` if None.
        tree: Work tree of the nodes, which may be that of an earlier landing.
        starving: The share of time for which all nodes run, and the seconds of a turn.
        planted: A fault of all nodes, see `planted_node`.
    """
    folder.mkdir(parents=True, exist_ok=True)
    running = fleet.Fleet(plan, of or shape.load("any"), folder.resolve(), tree, starving, planted)
    asyncio.run(running.run())
    found = [*checks.find_broken(running.rows), *far_checks.find_broken(running.rows)]
    (folder / "plan").write_text("\n".join(plan.to_lines()) + "\n", encoding="utf-8")
    (folder / "record").write_text("\n".join(running.rows.to_lines()) + "\n", encoding="utf-8")
    return running.rows, found


def describe(rows: record.Record, finding: findings.Finding, folder: pathlib.Path) -> list[str]:
    """Returns the time line around a finding, and the last lines of its node's log until then."""
    events = [
        f"    {item.at:8.3f} {item.what} {item.machine} {item.detail}"
        for item in rows.happenings
        if finding.at - BEFORE_S <= item.at <= finding.at + AFTER_S
        and item.machine in (0, finding.machine)
    ]
    log = (folder / f"node-{finding.machine}.log").read_text(encoding="utf-8", errors="replace")
    lines = [line for line in log.splitlines() if '"member.' not in line]
    named = [line for line in lines if finding.text.split(" ")[0] in line]
    lines = lines[-LOG_LINES:] if finding.text.startswith("pid") else named[-LOG_LINES:]
    return [*events, *(f"    log: {line[:300]}" for line in lines)]


def count(rows: record.Record) -> str:
    """Returns what was seen, as one line."""
    seen = collections.Counter(item.end for item in rows.attempts)
    statuses = collections.Counter(item.status for item in rows.attempts if item.end == "answer")
    steps = collections.Counter(
        item.what for item in rows.happenings if item.what.startswith(("step", "SIG"))
    )
    return (
        f"{len(rows.attempts)} requests {dict(seen)}, statuses {dict(statuses)},"
        f" without an answer {dict(ends.count(rows))},"
        f" {cuts.describe(cuts.count(rows))},"
        f" longest stop {_find_longest_stop(rows):.2f} s,"
        f" {len(rows.stalls)} stalls of the stand-ins, {dict(steps)}"
    )


def list_planted(folder: pathlib.Path) -> list[str]:
    """Returns the ids of the requests on which a planted fault has acted, from the nodes' logs."""
    found = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
            _, acted, request_id = line.partition(planted_node.ACTED)
            found += [request_id.strip()] * bool(acted)
    return found


def _find_longest_stop(rows: record.Record) -> float:
    """Returns the longest time in seconds from a first SIGTERM to the end of its process."""
    told: dict[str, float] = {}
    longest_s = 0.0
    for item in rows.happenings:
        if item.what == "SIGTERM":
            told.setdefault(item.detail, item.at)
        elif item.what == "process gone" and item.detail in told:
            longest_s = max(longest_s, item.at - told[item.detail])
    return longest_s


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_integer("seed", 1, "first seed")
    flags.DEFINE_integer("seeds", 1, "number of seeds, one after another", lower_bound=1)
    flags.DEFINE_float("minutes", 0.5, "time in which scenarios begin, for each seed", 0.05, 2.0)
    flags.DEFINE_integer("hosts", 8, "machines of the fleet", lower_bound=4, upper_bound=16)
    flags.DEFINE_string("shape", "any", "name of a shape in soak/machines/shapes, or a TOML file")
    flags.DEFINE_list("styles", [], "ways in which clients send, by name; all if empty")
    flags.DEFINE_multi_enum(
        "step", [], tuple(draw.KINDS), "kinds of scenarios; all if none is given"
    )
    flags.DEFINE_list(
        "starving", [], "share of time for which all nodes run, and the seconds of a turn"
    )
    flags.DEFINE_string("planted", "", "a fault of all nodes, WAY:PORT:MOMENT:SHARE")
    flags.DEFINE_string("tree", str(machine.OWN_TREE), "work tree whose nodes are started")
    flags.DEFINE_bool("plan", False, "print the plans instead of carrying them out")
    flags.DEFINE_bool("keep", False, "keep the logs of all seeds")
    flags.DEFINE_string("directory", "out/soak-machines", "directory of logs of failed seeds")


def _run_seed(plan: draw.Plan, folder: pathlib.Path, of: shape.Shape, total: at_risk.Total) -> bool:
    shutil.rmtree(folder, ignore_errors=True)
    tree = pathlib.Path(flags.FLAGS.tree).resolve()
    starving = tuple(float(value) for value in flags.FLAGS.starving) or None
    rows, found = run_plan(plan, folder, of, tree, starving, flags.FLAGS.planted)
    acted = f" planted {len(list_planted(folder))} times;" if flags.FLAGS.planted else ""
    risk = at_risk.count(rows)
    total.add(risk, found)
    print(
        f"seed {plan.seed}: {len(found)} findings of {risk.describe()};{acted} {count(rows)}",
        flush=True,
    )
    by_rule, by_kind = collections.Counter(), collections.Counter()
    report = []
    for finding in found:
        by_rule[finding.rule] += 1
        by_kind[f"{finding.rule} {finding.kind}".strip()] += 1
        report += [finding.to_line(), *describe(rows, finding, folder)]
        if by_rule[finding.rule] <= 3:
            print(f"  {finding.to_line()}", flush=True)
    (folder / "findings").write_text("\n".join(report) + "\n", encoding="utf-8")
    if found or flags.FLAGS.keep:
        print(f"  {dict(by_rule)}, logs in {folder}", flush=True)
        print(*(f"    {number} {kind}" for kind, number in sorted(by_kind.items())), sep="\n")
    else:
        shutil.rmtree(folder)
    return not found


def main(_: list[str]) -> int:
    """Runs all seeds and returns the exit code."""
    values = flags.FLAGS
    # The fleet is stopped on the way out, as after an interrupt.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_FAILED))
    broken, of, total = 0, shape.load(values.shape), at_risk.Total()
    of = attrs.evolve(of, styles=tuple(values.styles) or of.styles)
    for seed in range(values.seed, values.seed + values.seeds):
        duration_s = values.minutes * S_PER_MINUTE
        plan = draw.draw_plan(
            seed, duration_s, values.hosts, len(client.STYLES), of.clients, values.step
        )
        if values.plan:
            print(f"seed {seed}", *plan.to_lines(), sep="\n")
            continue
        folder = pathlib.Path(values.directory) / f"seed-{seed}"
        broken += not _run_seed(plan, folder, of, total)
    if not values.plan:
        print(f"{values.seeds} seeds, {broken} with findings; {total.describe()}")
    return EXIT_FAILED if broken else 0


if __name__ == "__main__":
    define_flags()
    app.run(main)
