"""Checks of the answers that callers got around planned stops."""

from collections.abc import Mapping, Sequence

from soak import callers, disturbances, plan
from standins import history, load

# Statuses of refusals that have nothing to do with stops: an invalid key, a missing route.
STATUSES_OF_BAD_CALLS = (401, 404)
# Errors of attempts whose caller cannot know whether the node has read the request.
UNREAD_ERRORS = ("reset", "closed-early")
HASTY_TIMEOUT_S = 1.0  # A caller that gives up sooner takes the risk that it gets no answer.
# Time without unplanned faults before a call, after which they no longer affect it.
CALM_BEFORE_S = 5.0
PARTS_OF_CALLS = (
    disturbances.Part.NODE,
    disturbances.Part.UPSTREAM,
    disturbances.Part.NETWORK,
)


def find_incomplete(attempts: Sequence[load.Attempt]) -> list[load.Attempt]:
    """Returns attempts with a good status whose answer is not the upstream's whole answer."""
    return [
        attempt
        for attempt in attempts
        if attempt.status == history.STATUS_OK and attempt.body not in ("ok", "crossed")
    ]


def find_lost(
    attempts: Sequence[load.Attempt],
    runs: Sequence[history.Run],
    node_disturbances: Mapping[str, Sequence[disturbances.Disturbance]],
    hosts: Mapping[str, str],
) -> list[load.Attempt]:
    """Returns attempts without a whole answer whose request the node had read.

    A node may end a connection without an answer if it was killed, or paused in a planned stop.

    Args:
        attempts: Attempts as callers saw them.
        runs: Runs of upstreams.
        node_disturbances: Disturbances of the node process of each host.
        hosts: Host of each address that callers call without a link; calls at other addresses are
            left out.
    """
    runs_of_tag = history.runs_by_tag(runs)
    excuses = {host: _find_excuses(entries) for host, entries in node_disturbances.items()}
    return [
        attempt
        for attempt in attempts
        if attempt.error
        and attempt.target in hosts
        and not _gave_up_soon(attempt)
        and _was_read(attempt, runs_of_tag.get(attempt.tag, ()))
        and not any(
            entry.overlaps(attempt.start, attempt.end) for entry in excuses[hosts[attempt.target]]
        )
    ]


def find_failed_in_calm(
    attempts: Sequence[load.Attempt],
    log: Sequence[disturbances.Disturbance],
) -> list[load.Attempt]:
    """Returns calls that failed although nothing but one planned stop of a node went on.

    Only calls that had a whole answer count, so that none counts twice; refusals as not run are
    allowed, and so is a call that has used the time limit of its route. Calls with an
    Idempotency-Key also depend on the platform, and are left out.
    """
    data_faults = [entry for entry in log if entry.part in PARTS_OF_CALLS]
    return [
        attempt
        for attempt in attempts
        if attempt.status not in (0, history.STATUS_OK, *STATUSES_OF_BAD_CALLS)
        and attempt.verdict != history.NOT_RUN
        and not attempt.route.endswith(callers.KEYED_SUFFIX)
        and attempt.end - attempt.start < plan.TIMEOUT_S
        and _is_calm(attempt, data_faults)
    ]


def _find_excuses(
    entries: Sequence[disturbances.Disturbance],
) -> list[disturbances.Disturbance]:
    """Returns the kills of a node, and its planned stops in which it was paused."""
    kills = [entry for entry in entries if entry.cause is disturbances.Cause.KILL]
    pauses = [entry for entry in entries if entry.cause is disturbances.Cause.PAUSE]
    stops = [entry for entry in entries if entry.cause is disturbances.Cause.STOP]
    paused_stops = [
        stop for stop in stops if any(pause.overlaps(stop.start, stop.end) for pause in pauses)
    ]
    return [*kills, *paused_stops]


def _gave_up_soon(attempt: load.Attempt) -> bool:
    return attempt.error == "timeout" and attempt.end - attempt.start < HASTY_TIMEOUT_S


def _was_read(attempt: load.Attempt, runs: Sequence[history.Run]) -> bool:
    if attempt.error not in UNREAD_ERRORS:
        return True
    return any(attempt.start <= run.start <= attempt.end for run in runs)


def _is_calm(attempt: load.Attempt, data_faults: Sequence[disturbances.Disturbance]) -> bool:
    around = [
        entry for entry in data_faults if entry.overlaps(attempt.start - CALM_BEFORE_S, attempt.end)
    ]
    nodes_only = all(entry.part is disturbances.Part.NODE and entry.planned for entry in around)
    return nodes_only and len({entry.host for entry in around}) <= 1
