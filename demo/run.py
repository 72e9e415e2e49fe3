"""Runs the demo; the exit code is 0 only if the recorded calls break no rule."""

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
LOAD_TIMEOUT_S = plan.LOAD_DURATION_S + 60.0
EXIT_FAILED = 1


def _start_load(
    running: fleet.Fleet, directory: pathlib.Path, load_plan: load.Plan
) -> processes.Process:
    path = directory / "plan.json"
    path.write_text(json.dumps(attrs.asdict(load_plan)), encoding="utf-8")
    record = directory / "load.record"
    return running.launch("load", "standins.load", f"--plan={path}", f"--record={record}")


def _print_report(
    running: fleet.Fleet,
    declared: operator_text.OperatorText,
    attempts: list[load.Attempt],
    injector: faults.FaultInjector,
    withdrawn_key: fleet.Key,
) -> list[checks.Check]:
    drained = running.addresses(faults.DRAINED_HOST).server
    times = injector.times
    authenticated = [
        attempt for attempt in attempts if attempt.status != measures.KEY_REFUSAL_STATUS
    ]
    results = checks.run_checks(
        attempts, running.records(), declared, times, withdrawn_key, drained
    )
    wrongful = {
        name: measures.count_wrongful_refusals(attempts, team)
        for name, team in declared.teams.items()
    }
    report = table.format_report(
        measures.measure_goodput(authenticated, lambda item: item.importance),
        measures.measure_goodput(authenticated, lambda item: item.team),
        wrongful,
        measures.measure_recovery_s(attempts, times),
        times,
        running.platform_statistics(),
        results,
        running.timeline(),
    )
    print("\n".join(report))
    return results


def _run(directory: pathlib.Path) -> int:
    source = plan.TEXT_PATH.read_text(encoding="utf-8")
    declared = operator_text.parse(source, plan.TEXT_PATH.name)
    with fleet.Fleet(directory, plan.build_hosts(), source) as running:
        keys = {team: running.grant(team) for team in declared.teams}
        new_key = running.grant(plan.WITHDRAWN_TEAM)
        running.wait_ready()
        rates = {name: team.rate for name, team in declared.teams.items()}
        running.wait_rates(rates)
        print(
            f"{len(running.members)} nodes are ready; load for {plan.LOAD_DURATION_S:g} s",
            flush=True,
        )
        load_plan = plan.build_load_plan(
            rates,
            {name: key.secret for name, key in keys.items()},
            new_key.secret,
            tuple(member.addresses.callers for member in running.members.values()),
        )
        withdrawn_key = keys[plan.WITHDRAWN_TEAM]
        injector = faults.FaultInjector(running, withdrawn_key)
        sender = _start_load(running, directory, load_plan)
        injector.start()
        sender.wait(LOAD_TIMEOUT_S)
        injector.join()
        time.sleep(SETTLE_S)
        attempts = load.read_record(str(directory / "load.record"))
        results = _print_report(running, declared, attempts, injector, withdrawn_key)
    for failure in injector.failures:
        print(f"a step of the demo failed: {failure}")
    is_failed = any(check.violations for check in results) or injector.failures or not attempts
    return EXIT_FAILED if is_failed else 0


def main(_: list[str]) -> int:
    """Runs the demo and returns the exit code."""
    with contextlib.ExitStack() as stack:
        directory = flags.FLAGS.directory
        if not directory:
            directory = stack.enter_context(tempfile.TemporaryDirectory(prefix="bergamotridge-"))
        try:
            return _run(pathlib.Path(directory))
        except processes.NotReadyError as error:
            print(f"the fleet did not start: {error}", file=sys.stderr)
            return EXIT_FAILED


if __name__ == "__main__":
    flags.DEFINE_string("directory", "", "empty directory that keeps all records and logs")
    app.run(main)
