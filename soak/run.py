"""Runs the soak on one or several seeds; the exit code is 0 only if all promises held."""

import contextlib
import pathlib
import shutil
import signal
import sys
from collections.abc import Sequence

from absl import app, flags

from soak import draw, plan, seeds, session
from standins import processes

EXIT_FAILED = 1
S_PER_MINUTE = 60.0
LINES_PRINTED = 3  # Of each kind; the file of events has all findings.


def _run_seed(case: seeds.Case, directory: pathlib.Path) -> bool:
    """Runs one seed and returns True if all promises held; else its logs are kept."""
    drawn = draw.draw_plan(case.seed, case.minutes * S_PER_MINUTE, case.hosts)
    directory.mkdir(parents=True)
    (directory / "plan").write_text("\n".join(plan.format_plan(drawn)) + "\n", encoding="utf-8")
    with (
        (directory / "events").open("w", encoding="utf-8") as events,
        contextlib.redirect_stdout(events),
    ):
        report = session.run_plan(drawn, directory)
    print(report.to_line(), flush=True)
    _print_lines(report.findings)
    _print_lines([f"note: {line}" for line in report.notes])
    if report.findings or report.notes or flags.FLAGS.keep:
        print(f"  logs in {directory}", flush=True)
    else:
        shutil.rmtree(directory)
    return not report.findings


def _print_lines(lines: Sequence[str]) -> None:
    """Prints lines, of those with the same beginning only the first few."""
    by_beginning: dict[str, list[str]] = {}
    for line in lines:
        by_beginning.setdefault(line.partition(":")[0], []).append(line)
    for beginning, similar in by_beginning.items():
        for line in similar[:LINES_PRINTED]:
            print(f"  {line}", flush=True)
        if len(similar) > LINES_PRINTED:
            print(f"  {beginning}: {len(similar) - LINES_PRINTED} more", flush=True)


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_integer("seed", 1, "first seed")
    flags.DEFINE_integer("seeds", 1, "number of seeds, one after another", lower_bound=1)
    flags.DEFINE_float("minutes", 0.5, "time in which faults begin, for each seed")
    flags.DEFINE_integer("hosts", 8, "hosts of the fleet, 3 or more", lower_bound=3)
    flags.DEFINE_bool("plan", False, "print the plans instead of carrying them out")
    flags.DEFINE_bool("failed", False, "run the seeds that once failed, in soak/failed_seeds.txt")
    flags.DEFINE_bool("keep", False, "keep the logs of all seeds")
    flags.DEFINE_string("directory", "out/soak", "directory that keeps the logs of failed seeds")


def main(_: list[str]) -> int:
    """Runs all seeds and returns the exit code."""
    values = flags.FLAGS
    # The fleet is stopped on the way out, as after an interrupt.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_FAILED))
    cases = (
        seeds.read_failed()
        if values.failed
        else [
            seeds.Case(values.seed + number, values.minutes, values.hosts)
            for number in range(values.seeds)
        ]
    )
    if values.plan:
        for case in cases:
            drawn = draw.draw_plan(case.seed, case.minutes * S_PER_MINUTE, case.hosts)
            print("\n".join(plan.format_plan(drawn)))
        return 0
    broken = 0
    for case in cases:
        directory = pathlib.Path(values.directory) / f"seed-{case.seed}"
        shutil.rmtree(directory, ignore_errors=True)
        try:
            broken += not _run_seed(case, directory)
        except processes.NotReadyError as error:
            print(f"seed {case.seed}: the fleet did not start: {error}", file=sys.stderr)
            broken += 1
    print(f"{len(cases)} seeds, {broken} with findings")
    return EXIT_FAILED if broken else 0


if __name__ == "__main__":
    define_flags()
    app.run(main)
