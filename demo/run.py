"""Runs the demo and exits with 0 only if the record breaks no rule."""

import contextlib
import json
import pathlib
import sys
import tempfile
import time

import attrs
from absl import app, flags

from bergamotridge.operators import operator_text
from demo import checks, faults, measures, plan, table
from standins import fleet, load, processes

SETTLE_S = 1.0
LOAD_LIMIT_S = plan.LOAD_S + 60.0
EXIT_BROKEN = 1


def _send(running: fleet.Fleet, directory: pathlib.Path, wanted: load.Plan) -> processes.Process:
    path = directory / "plan.json"
    path.write_text(json.dumps(attrs.asdict(wanted)), encoding="utf-8")
    record = directory / "load.record"
    return running.launch("load", "standins.load", f"--plan={path}", f"--record={record}")


def _report(
    running: fleet.Fleet,
    declared: operator_text.OperatorText,
    attempts: list[load.Attempt],
    happened: faults.Faults,
    withdrawn: fleet.Key,
) -> list[checks.Check]:
    drained = running.addresses(faults.DRAINED_HOST).server
    times = happened.times
    taken = [attempt for attempt in attempts if attempt.status != measures.KEY_REFUSAL]
    made = checks.run(attempts, running.records(), declared, times, withdrawn, drained)
    wrongful = {
        name: measures.wrongful_refusals(attempts, team) for name, team in declared.teams.items()
    }
    report = table.lines(
        measures.goodput(taken, lambda one: one.importance),
        measures.goodput(taken, lambda one: one.team),
        wrongful,
        measures.recovery_s(attempts, times),
        times,
        running.platform_statistics(),
        made,
        running.timeline(),
    )
    print("\n".join(report))
    return made


def _run(directory: pathlib.Path) -> int:
    source = plan.TEXT.read_text(encoding="utf-8")
    declared = operator_text.parse(source, plan.TEXT.name)
    with fleet.Fleet(directory, plan.hosts(), source) as running:
        keys = {team: running.grant(team) for team in declared.teams}
        new_key = running.grant(plan.WITHDRAWN_TEAM)
        running.wait_ready()
        rates = {name: team.rate for name, team in declared.teams.items()}
        running.wait_rates(rates)
        print(f"{len(running.members)} nodes are ready; load for {plan.LOAD_S:g} s", flush=True)
        wanted = plan.load_plan(
            rates,
            {name: key.secret for name, key in keys.items()},
            new_key.secret,
            tuple(member.addresses.callers for member in running.members.values()),
        )
        withdrawn = keys[plan.WITHDRAWN_TEAM]
        happened = faults.Faults(running, withdrawn)
        sender = _send(running, directory, wanted)
        happened.start()
        sender.wait(LOAD_LIMIT_S)
        happened.join()
        time.sleep(SETTLE_S)
        attempts = load.read_record(str(directory / "load.record"))
        made = _report(running, declared, attempts, happened, withdrawn)
    for failure in happened.failed:
        print(f"a fault was not brought about: {failure}")
    broken = any(check.broken for check in made) or happened.failed or not attempts
    return EXIT_BROKEN if broken else 0


def main(_: list[str]) -> int:
    """Runs the demo and returns the exit code."""
    with contextlib.ExitStack() as stack:
        directory = flags.FLAGS.directory
        if not directory:
            directory = stack.enter_context(tempfile.TemporaryDirectory(prefix="bergamotridge-"))
        try:
            return _run(pathlib.Path(directory))
        except processes.NotReadyError as error:
            print(f"the fleet did not come up: {error}", file=sys.stderr)
            return EXIT_BROKEN


if __name__ == "__main__":
    flags.DEFINE_string("directory", "", "empty directory that keeps all records and logs")
    app.run(main)
