"""The rules that the demo's record must not break."""

from collections.abc import Sequence

import attrs

from bergamotridge.operators import operator_text
from demo import faults, plan
from standins import fleet, history, load

WITHDRAWAL_S = 5.0
DRAIN_S = 2.0
IN_FORCE_S = 5.0


@attrs.frozen
class Check:
    """One rule and how often the record breaks it."""

    rule: str
    broken: int


def _is_repeatable(run: history.Run) -> bool:
    return run.method in plan.REPEATABLE_METHODS


def _above_rate(
    attempts: Sequence[load.Attempt],
    runs: Sequence[history.Run],
    declared: operator_text.OperatorText,
) -> int:
    excesses = 0
    for team in declared.teams.values():
        intervals = history.admitted_intervals(attempts, runs, team.name)
        excesses += len(history.above_rate(intervals, history.Limit(team.rate, team.burst)))
    return excesses


def run(
    attempts: Sequence[load.Attempt],
    lines: Sequence[dict],
    declared: operator_text.OperatorText,
    times: faults.Times,
    withdrawn: fleet.Key,
    drained_address: str,
) -> list[Check]:
    """Returns all checks.

    Args:
        attempts: What callers saw.
        lines: Run records of all upstreams.
        declared: The operator's text.
        times: When the faults happened.
        withdrawn: The withdrawn key.
        drained_address: Address of the drained upstream.
    """
    runs = history.runs(lines)
    ends = {withdrawn.secret[-load.KEY_TAIL :]: times.withdrawn}
    after_withdrawal = history.ran_after_withdrawal(attempts, runs, ends, WITHDRAWAL_S)
    after_drain = history.started_after(runs, drained_address, times.drained + DRAIN_S)
    return [
        Check("no second run of a call that may not be repeated", _count_doubled(runs)),
        Check(f"no run of a key {WITHDRAWAL_S:g} s after its withdrawal", len(after_withdrawal)),
        Check("no team above its rate and burst", _above_rate(attempts, runs, declared)),
        Check("no upstream sees a key", len(history.with_key(runs))),
        Check("every refusal as not run is true", len(history.false_not_run(attempts, runs))),
        Check("every answer is to its own request", len(history.crossed(attempts))),
        Check("every good answer has its run", len(history.answered_without_run(attempts, runs))),
        Check(f"a change is in force everywhere in {IN_FORCE_S:g} s", int(not _is_quick(times))),
        Check(f"no new work {DRAIN_S:g} s into a drain", len(after_drain)),
    ]


def _is_quick(times: faults.Times) -> bool:
    return 0.0 < times.in_force - times.accepted <= IN_FORCE_S


def _count_doubled(runs: Sequence[history.Run]) -> int:
    return len(history.doubled(runs, _is_repeatable))
