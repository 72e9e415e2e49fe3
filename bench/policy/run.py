"""Runs the simulation and prints its tables: the decision modules against the baseline."""

import concurrent.futures
import multiprocessing
import statistics
import sys
from collections.abc import Sequence

import attrs
from absl import flags

from bench.policy import clients, deployment, measures, scenarios, world

SEED_COUNT = 5
QUICK_SEED_COUNT = 1
DEFAULT_PROCESSES = 3
POLICIES = {
    policy.name: policy
    for policy in (
        world.OURS,
        world.BASELINE,
        world.Policy("no-thresholds", thresholds=False),
        world.Policy("no-fairness", fairness=False),
        world.Policy("no-budgets", budgets=False),
        world.Policy("expected-wait", balancing="expected-wait"),
    )
}


@attrs.frozen
class Case:
    """One row of the tables: names of a deployment, a scenario and a policy."""

    deployment: str
    scenario: str
    policy: str

    def run(self, seed: int) -> measures.Measures:
        """Runs the scenario with `seed` and returns its measures."""
        described = deployment.DEPLOYMENTS[self.deployment]()
        scenario = scenarios.SCENARIOS[self.scenario]
        requests = clients.run(described, scenario, POLICIES[self.policy], seed)
        return measures.measure(described, scenario, requests)


def _format_cell(values: Sequence[float], digits: int) -> str:
    median = statistics.median(values)
    text = f"{median:.{digits}f}"
    if len(values) > 1:
        text += f" ({min(values):.{digits}f}-{max(values):.{digits}f})"
    return text


def _format_row(case: Case, results: Sequence[measures.Measures]) -> str:
    cells = [case.scenario, case.policy]
    for field in attrs.fields(measures.Measures):
        digits = {"recovery_s": 2, "attempts": 0}.get(field.name, 3)
        cells.append(_format_cell([getattr(result, field.name) for result in results], digits))
    return "| " + " | ".join(cells) + " |"


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_bool("quick", False, "one seed for each row", flag_values=values)
    flags.DEFINE_list(
        "deployments", list(deployment.DEPLOYMENTS), "deployments to run", flag_values=values
    )
    flags.DEFINE_list(
        "scenarios", list(scenarios.SCENARIOS), "scenarios to run", flag_values=values
    )
    flags.DEFINE_list("policies", ["ours", "baseline"], "policies to run", flag_values=values)
    flags.DEFINE_integer("processes", DEFAULT_PROCESSES, "processes at once", flag_values=values)


def _print_tables(
    deployments: Sequence[str], cases: Sequence[Case], seeds: range, processes: int
) -> None:
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
                    print(_format_row(case, [run.result() for run in runs]), flush=True)


def main(arguments: Sequence[str]) -> int:
    """Runs the simulation and prints one table for each deployment.

    Args:
        arguments: Flags; see ``--help``.

    Returns:
        The exit code: 0, or 2 if a flag is wrong.
    """
    values = flags.FlagValues()
    _define_flags(values)
    try:
        values(["policy", *arguments])
    except flags.Error as error:
        print(f"{error}\n{values.main_module_help()}", file=sys.stderr)
        return 2
    seeds = range(1, 1 + (QUICK_SEED_COUNT if values.quick else SEED_COUNT))
    cases = [
        Case(name, scenario, policy)
        for name in values.deployments
        for scenario in values.scenarios
        for policy in values.policies
    ]
    _print_tables(values.deployments, cases, seeds, values.processes)
    return 0
