"""The rules that the recorded calls of the demo must obey."""

from collections.abc import Sequence

import attrs

from bergamotridge.operators import operator_text
from demo import faults, plan
from standins import fleet, history, load

MAX_WITHDRAWAL_DELAY_S = 5.0
MAX_DRAIN_DELAY_S = 2.0
MAX_CHANGE_DELAY_S = 5.0


@attrs.frozen
class Check:
    """One rule and how often the recorded calls break it.

    Attributes:
        rule: The rule as the report prints it.
        violations: Number of violations; 0 if the rule held.
    """

    rule: str
    violations: int


def _is_repeatable(run: history.Run) -> bool:
    return run.method in plan.REPEATABLE_METHODS


def _count_rate_excesses(
    attempts: Sequence[load.Attempt],
    runs: Sequence[history.Run],
    declared: operator_text.OperatorText,
) -> int:
    excesses = 0
    for team in declared.teams.values():
        intervals = history.admitted_intervals(attempts, runs, team.name)
        excesses += len(
            history.find_rate_violations(intervals, history.Limit(team.rate, team.burst))
        )
    return excesses


def run_checks(
    attempts: Sequence[load.Attempt],
    lines: Sequence[dict],
    declared: operator_text.OperatorText,
    times: faults.Times,
    withdrawn_key: fleet.Key,
    drained_address: str,
) -> list[Check]:
    """Checks all rules and returns one `Check` for each.

    Args:
        attempts: Attempts of all callers with their answers.
        lines: Records of the runs at all upstreams.
        declared: The operator's text, which declares rate and burst of each team.
        times: When the faults happened.
        withdrawn_key: Key that was withdrawn during the load.
        drained_address: Address of the drained upstream.
    """
    runs = history.parse_runs(lines)
    withdrawal_times = {withdrawn_key.secret[-load.RECORDED_KEY_CHARS :]: times.withdrawn}
    after_withdrawal = history.find_runs_after_withdrawal(
        attempts, runs, withdrawal_times, MAX_WITHDRAWAL_DELAY_S
    )
    after_drain = history.find_runs_started_after(
        runs, drained_address, times.drained + MAX_DRAIN_DELAY_S
    )
    return [
        Check("no second run of a call that may not be repeated", _count_duplicate_runs(runs)),
        Check(
            f"no run of a key {MAX_WITHDRAWAL_DELAY_S:g} s after its withdrawal",
            len(after_withdrawal),
        ),
        Check("no team above its rate and burst", _count_rate_excesses(attempts, runs, declared)),
        Check("no upstream sees a key", len(history.find_runs_with_caller_key(runs))),
        Check(
            "every refusal as not run is true",
            len(history.find_false_not_run_verdicts(attempts, runs)),
        ),
        Check("every answer is to its own request", len(history.find_swapped_answers(attempts))),
        Check(
            "every good answer has its run", len(history.find_answers_without_run(attempts, runs))
        ),
        Check(
            f"a change is in force everywhere in {MAX_CHANGE_DELAY_S:g} s",
            int(not _is_change_in_time(times)),
        ),
        Check(f"no new work {MAX_DRAIN_DELAY_S:g} s into a drain", len(after_drain)),
    ]


def _is_change_in_time(times: faults.Times) -> bool:
    return 0.0 < times.in_force - times.accepted <= MAX_CHANGE_DELAY_S


def _count_duplicate_runs(runs: Sequence[history.Run]) -> int:
    return len(history.find_repeated_runs(runs, _is_repeatable))
