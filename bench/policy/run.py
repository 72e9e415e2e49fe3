"""Prints the policy tables: the decision modules beside the baseline, from one run."""

import concurrent.futures
import multiprocessing
import statistics
import sys
from collections.abc import Sequence

import attrs
from absl import flags

from bench.policy import clients, deployment, measures, scenarios, world

SEEDS = 5
QUICK_SEEDS = 1
PROCESSES = 3
POLICIES = {
    policy.name: policy
    for policy in (
        world.OURS,
        world.BASELINE,
        world.Policy("no-thresholds", thresholds=False),
        world.Policy("no-fairness", fairness=False),
        world.Policy("no-budgets", budgets=False),
    )
}


@attrs.frozen
class Case:
    """One row of the tables."""

    deployment: str
    scenario: str
    policy: str

    def run(self, seed: int) -> measures.Measures:
        """Returns the measures of the run with `seed`."""
        described = deployment.ALL[self.deployment]()
        scenario = scenarios.ALL[self.scenario]
        wishes = clients.run(described, scenario, POLICIES[self.policy], seed)
        return measures.measure(described, scenario, wishes)


def _cell(values: Sequence[float], digits: int) -> str:
    middle = statistics.median(values)
    text = f"{middle:.{digits}f}"
    if len(values) > 1:
        text += f" ({min(values):.{digits}f}-{max(values):.{digits}f})"
    return text


def _row(case: Case, results: Sequence[measures.Measures]) -> str:
    cells = [case.scenario, case.policy]
    for field in attrs.fields(measures.Measures):
        digits = {"recovery_s": 2, "attempts": 0}.get(field.name, 3)
        cells.append(_cell([getattr(result, field.name) for result in results], digits))
    return "| " + " | ".join(cells) + " |"


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_bool("quick", False, "one seed for each row", flag_values=values)
    flags.DEFINE_list("deployments", list(deployment.ALL), "deployments to run", flag_values=values)
    flags.DEFINE_list("scenarios", list(scenarios.ALL), "scenarios to run", flag_values=values)
    flags.DEFINE_list("policies", ["ours", "baseline"], "policies to run", flag_values=values)
    flags.DEFINE_integer("processes", PROCESSES, "processes at once", flag_values=values)


def _print(deployments: Sequence[str], cases: Sequence[Case], seeds: range, processes: int) -> None:
    names = ["scenario", "policy", *(field.name for field in attrs.fields(measures.Measures))]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(processes, mp_context=context) as pool:
        futures = {case: [pool.submit(case.run, seed) for seed in seeds] for case in cases}
        for name in deployments:
            print(f"\n{name}: median (least-most) of seeds {seeds.start} to {seeds.stop - 1}\n")
            print("| " + " | ".join(names) + " |")
            print("|" + "---|" * len(names))
            for case, runs in futures.items():
                if case.deployment == name:
                    print(_row(case, [run.result() for run in runs]), flush=True)


def main(arguments: Sequence[str]) -> int:
    """Runs the model and prints one table for each deployment.

    Args:
        arguments: Flags; see ``--help``.

    Returns:
        The exit code.
    """
    values = flags.FlagValues()
    _define_flags(values)
    try:
        values(["policy", *arguments])
    except flags.Error as error:
        print(f"{error}\n{values.main_module_help()}", file=sys.stderr)
        return 2
    seeds = range(1, 1 + (QUICK_SEEDS if values.quick else SEEDS))
    cases = [
        Case(name, scenario, policy)
        for name in values.deployments
        for scenario in values.scenarios
        for policy in values.policies
    ]
    _print(values.deployments, cases, seeds, values.processes)
    return 0
