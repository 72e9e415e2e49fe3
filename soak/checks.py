"""The promises that a run of the soak checks, from what callers and upstreams saw."""

from collections.abc import Mapping, Sequence

import attrs

from soak import answers, disturbances, observations, operators, plan
from standins import fleet, history, load

IN_FORCE_BOUND_S = 5.0
DRAIN_BOUND_S = 2.0
# Of the news of a change to a node.
PARTS_ON_THE_WAY = (
    disturbances.Part.NODE,
    disturbances.Part.PLATFORM,
    disturbances.Part.NETWORK,
)


@attrs.frozen
class Evidence:
    """All that was seen up to some time.

    Attributes:
        attempts: Attempts of all callers, read before the runs.
        runs: Runs of all upstreams.
        probes: Probes of the generations of the operator's text.
        generations: All changes of the operator's text, by generation.
        withdrawals: All withdrawals, by the end of the key.
        log: All disturbances in order of their start.
        addresses: Addresses of each host.
        caller_links: Address of the link at which some callers call each host.
    """

    attempts: Sequence[load.Attempt]
    runs: Sequence[history.Run]
    probes: Sequence[observations.Probe]
    generations: Mapping[int, operators.Change]
    withdrawals: Mapping[str, operators.Change]
    log: Sequence[disturbances.Disturbance]
    addresses: Mapping[str, fleet.Addresses]
    caller_links: Mapping[str, str] = attrs.field(factory=dict)

    def node_disturbances(self) -> dict[str, list[disturbances.Disturbance]]:
        """Returns the disturbances of each host's node process."""
        return {
            host: [
                entry
                for entry in self.log
                if entry.part is disturbances.Part.NODE and entry.host == host
            ]
            for host in self.addresses
        }

    def out_of_touch(self) -> dict[str, list[disturbances.Disturbance]]:
        """Returns for each host what kept its node from hearing of changes."""
        return {
            host: [
                entry
                for entry in self.log
                if entry.part in PARTS_ON_THE_WAY and entry.host in ("", host)
            ]
            for host in self.addresses
        }

    def hosts_called_directly(self) -> dict[str, str]:
        """Returns the host of each address at which callers call without a link."""
        return {addresses.callers: host for host, addresses in self.addresses.items()}

    def hosts_called(self) -> dict[str, str]:
        """Returns the host of each address that callers call."""
        linked = {address: host for host, address in self.caller_links.items()}
        return {**self.hosts_called_directly(), **linked}


@attrs.frozen
class Violation:
    """One broken promise.

    Attributes:
        promise: The promise.
        detail: What broke it.
    """

    promise: str
    detail: object

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"


def is_repeatable(run: history.Run) -> bool:
    """Returns True if the route of the run may be repeated; only GET routes are."""
    return run.method == "GET"


def find_violations(evidence: Evidence) -> list[Violation]:
    """Checks all promises."""
    attempts, runs = evidence.attempts, evidence.runs
    node_disturbances = evidence.node_disturbances()
    found = {
        "each answer is whole and to its own request": [
            *history.find_swapped_answers(attempts),
            *answers.find_incomplete(attempts),
            *history.find_answers_without_run(attempts, runs),
        ],
        "a call that may not be repeated runs at most once": history.find_repeated_runs(
            runs, is_repeatable
        ),
        "no upstream sees a key": history.find_runs_with_caller_key(runs),
        "a refusal as not run is true": history.find_false_not_run_verdicts(attempts, runs),
        "a valid key is not refused": observations.find_refused_valid_keys(
            attempts, evidence.withdrawals
        ),
        "a request that was read is answered": answers.find_lost(
            attempts, runs, node_disturbances, evidence.hosts_called_directly()
        ),
        "a planned stop fails no call": answers.find_failed_in_calm(attempts, evidence.log),
        "a team keeps to its rate and burst": [
            excess
            for team, (rate, burst) in plan.LIMITS.items()
            for excess in _find_excesses(attempts, runs, team, history.Limit(rate, burst))
        ],
        "a draining upstream gets no new work": _find_runs_in_drains(evidence),
        **_find_propagation_faults(evidence, node_disturbances),
    }
    return [Violation(promise, detail) for promise, details in found.items() for detail in details]


def _find_excesses(
    attempts: Sequence[load.Attempt],
    runs: Sequence[history.Run],
    team: str,
    limit: history.Limit,
) -> list[history.Excess]:
    intervals = history.admitted_intervals(attempts, runs, team)
    # A team that sends less than its burst cannot exceed it.
    return history.find_rate_violations(intervals, limit) if len(intervals) > limit.burst else []


def _find_runs_in_drains(evidence: Evidence) -> list[history.Run]:
    """Returns runs that began later in a planned stop of their upstream than is allowed.

    The time counts only while neither the upstream nor its node is disturbed otherwise, since the
    upstream may not have announced its stop.
    """
    found = []
    for stop in evidence.log:
        if stop.part is disturbances.Part.UPSTREAM and stop.cause is disturbances.Cause.STOP:
            address = evidence.addresses[stop.host].server
            others = [
                entry for entry in evidence.log if entry.host == stop.host and entry is not stop
            ]
            found += [
                run
                for run in history.find_runs_started_after(evidence.runs, address, stop.start)
                if run.start <= stop.end
                and disturbances.calm_since(others, stop.start, run.start, DRAIN_BOUND_S)
            ]
    return found


def _find_propagation_faults(
    evidence: Evidence, node_disturbances: Mapping[str, Sequence[disturbances.Disturbance]]
) -> dict[str, list[observations.Observation]]:
    out_of_touch = evidence.out_of_touch()
    texts = observations.observe_generations(evidence.probes, evidence.generations)
    keys = observations.observe_withdrawals(
        evidence.attempts,
        evidence.runs,
        evidence.withdrawals,
        evidence.hosts_called(),
    )
    bound_s = IN_FORCE_BOUND_S
    return {
        "a changed text is in force in time": observations.find_late(
            texts, evidence.generations, out_of_touch, bound_s
        ),
        "a changed text stays in force": observations.find_reverted(texts, node_disturbances),
        "a withdrawn key is refused in time": observations.find_late(
            keys, evidence.withdrawals, out_of_touch, bound_s
        ),
        "a withdrawn key stays refused": observations.find_reverted(keys, node_disturbances),
    }
