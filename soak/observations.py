"""What callers see of a change: whether a text or a withdrawal is in force at a host."""

import bisect
import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from soak import callers, disturbances, operators
from standins import history, load

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_RATE_LIMITED = 429


@attrs.frozen
class Probe:
    """A call to the route that only one generation of the operator's text has.

    Attributes:
        host: The host called.
        generation: The generation.
        start: Monotonic time in seconds at which it was sent.
        end: Monotonic time in seconds of the answer.
        status: HTTP status.
    """

    host: str
    generation: int
    start: float
    end: float
    status: int


@attrs.frozen
class Observation:
    """A caller's evidence on one change at one host; times are CLOCK_MONOTONIC in seconds.

    Attributes:
        change: Generation of a text, or end of a withdrawn key.
        host: The host.
        start: Time at which the call was sent.
        end: Time of its answer.
        in_force: Whether the change was in force at the host during the call.
    """

    change: int | str
    host: str
    start: float
    end: float
    in_force: bool


def observe_generations(
    probes: Iterable[Probe], generations: Mapping[int, operators.Change]
) -> list[Observation]:
    """Returns what probes tell about the generations of the text.

    An answer from the route of a generation shows that no later one is in force. A missing route
    shows that its generation is not in force, unless a later one may be.
    """
    observations = []
    for probe in probes:
        begun = [number for number in generations if generations[number].began <= probe.end]
        if probe.status == history.STATUS_OK:
            seen = {number: number <= probe.generation for number in begun}
        elif probe.status == STATUS_NOT_FOUND and probe.generation == max(begun):
            seen = {probe.generation: False}
        else:
            seen = {}
        observations += [
            Observation(number, probe.host, probe.start, probe.end, in_force)
            for number, in_force in seen.items()
        ]
    return observations


def observe_withdrawals(
    attempts: Iterable[load.Attempt],
    history_of_runs: Iterable[history.Run],
    withdrawals: Mapping[str, operators.Change],
    hosts: Mapping[str, str],
) -> list[Observation]:
    """Returns what attempts tell about withdrawn keys.

    Args:
        attempts: Attempts as callers saw them.
        history_of_runs: Runs of upstreams.
        withdrawals: All withdrawals, by the end of the key.
        hosts: Host of each address that callers call.
    """
    runs = history.runs_by_tag(history_of_runs)
    observations = []
    for attempt in attempts:
        if attempt.key not in withdrawals or attempt.end < withdrawals[attempt.key].began:
            continue
        is_refused = attempt.status == STATUS_UNAUTHORIZED
        # The rate is checked after the key. A keyed call may have run at another attempt.
        is_keyed = attempt.route.endswith(callers.KEYED_SUFFIX)
        is_accepted = attempt.status in (history.STATUS_OK, STATUS_RATE_LIMITED) or (
            not is_keyed and bool(runs.get(attempt.tag))
        )
        if is_refused or is_accepted:
            host = hosts[attempt.target]
            observations.append(
                Observation(attempt.key, host, attempt.start, attempt.end, is_refused)
            )
    return observations


def find_refused_valid_keys(
    attempts: Iterable[load.Attempt], withdrawals: Mapping[str, operators.Change]
) -> list[load.Attempt]:
    """Returns attempts refused for their key before its withdrawal; all keys were granted before.

    Args:
        attempts: Attempts as callers saw them.
        withdrawals: All withdrawals, by the end of the key.
    """
    return [
        attempt
        for attempt in attempts
        if attempt.status == STATUS_UNAUTHORIZED
        and (attempt.key not in withdrawals or attempt.end < withdrawals[attempt.key].began)
    ]


def find_late(
    observations: Iterable[Observation],
    changes: Mapping[int, operators.Change] | Mapping[str, operators.Change],
    disturbed: Mapping[str, Sequence[disturbances.Disturbance]],
    bound_s: float,
) -> list[Observation]:
    """Returns observations of changes that were not in force in time at a host in touch.

    A host had to have a change if it was not disturbed for `bound_s` seconds at any time between
    the acceptance of the change and the call, and has not been started anew since.

    Args:
        observations: What callers saw.
        changes: The changes.
        disturbed: For each host, what kept it or all hosts out of touch, in order of the start.
        bound_s: Time within which a change has to be in force, in seconds.
    """
    late = []
    for item in observations:
        accepted = changes[item.change].accepted
        if item.in_force or accepted is None or item.start < accepted + bound_s:
            continue
        of_host = [entry for entry in disturbed[item.host] if entry.overlaps(accepted, item.end)]
        restarts = [entry.end for entry in of_host if entry.cause is disturbances.Cause.DOWN]
        since = max([accepted, *restarts])
        if disturbances.calm_since(of_host, since, item.start, bound_s):
            late.append(item)
    return late


def find_reverted(
    observations: Iterable[Observation],
    disturbed: Mapping[str, Sequence[disturbances.Disturbance]],
) -> list[Observation]:
    """Returns observations of changes that had been in force before in the same process.

    Args:
        observations: What callers saw.
        disturbed: For each host, its disturbances in order of the start.
    """
    restarts = {
        host: [entry.start for entry in entries if entry.cause is disturbances.Cause.DOWN]
        for host, entries in disturbed.items()
    }
    seen_in_force_at: dict[tuple[str, int | str, int], float] = {}
    in_order = sorted(observations, key=lambda item: item.end)
    for item in in_order:
        if item.in_force:
            process = bisect.bisect(restarts[item.host], item.end)
            seen_in_force_at.setdefault((item.host, item.change, process), item.end)
    return [
        item
        for item in in_order
        if not item.in_force
        and item.start
        > seen_in_force_at.get(
            (item.host, item.change, bisect.bisect(restarts[item.host], item.start)), math.inf
        )
    ]
