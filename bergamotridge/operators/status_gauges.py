"""Gauges whose values are those of the node's status."""

import collections
from collections.abc import Callable, Iterable

import attrs

from bergamotridge import metrics
from bergamotridge.operators import status


@attrs.frozen
class ScalarGauge:
    """A gauge with one value.

    Attributes:
        name: Its name without the prefix of all metrics.
        help_text: What it shows.
        read: Returns its value.
    """

    name: str
    help_text: str
    read: Callable[[status.Status], float]


@attrs.frozen
class LabelledGauge:
    """A gauge with a value for each label; the attributes are those of `ScalarGauge`."""

    name: str
    help_text: str
    read: Callable[[status.Status], Iterable[metrics.Sample]]


def _read_replica_ages(current: status.Status) -> list[metrics.Sample]:
    return [metrics.Sample(age_s, {"kind": kind}) for kind, age_s in current.replica_ages.items()]


def _read_waiting(current: status.Status) -> list[metrics.Sample]:
    unattributed = current.load.unattributed_waiting
    return [
        metrics.Sample(current.load.waiting - unattributed, {"kind": "direct"}),
        metrics.Sample(unattributed, {"kind": "unattributed"}),
    ]


def _count_route_needs(current: status.Status) -> list[metrics.Sample]:
    counts = collections.Counter(item.known for item in current.route_needs)
    return [
        metrics.Sample(count, {"known": "yes" if known else "no"})
        for known, count in counts.items()
    ]


def _count_members(current: status.Status) -> list[metrics.Sample]:
    states = collections.Counter(member.state for member in current.members)
    return [metrics.Sample(count, {"state": state}) for state, count in states.items()]


def _read_team_tokens(current: status.Status) -> list[metrics.Sample]:
    return [metrics.Sample(team.tokens, {"team": team.team}) for team in current.teams]


def _read_held_rates(current: status.Status) -> list[metrics.Sample]:
    return [metrics.Sample(team.held_rate, {"team": team.team}) for team in current.teams]


SCALARS = (
    ScalarGauge(
        "calls_running",
        "Calls that run at the local upstream.",
        lambda current: current.load.running,
    ),
    ScalarGauge(
        "calls_waiting",
        "Calls queued for the local upstream.",
        lambda current: current.load.waiting,
    ),
    ScalarGauge(
        "calls_limit",
        "Maximum number of concurrent calls at the local upstream.",
        lambda current: current.load.limit,
    ),
    ScalarGauge(
        "upstream_rate_limit",
        "Calls per second that the local upstream says it takes, -1 if it names no limit.",
        lambda current: current.load.rate_limit,
    ),
    ScalarGauge(
        "unattributed_share",
        "Share of the calls that name no request which the local upstream's gate admits; "
        "below 1, first nodes refuse requests that need such calls.",
        lambda current: current.load.unattributed_share,
    ),
    ScalarGauge(
        "upstream_rejected_fraction",
        "Fraction of calls that the local upstream rejected without running them; 0 unless "
        "shedding.scarce is set.",
        lambda current: current.load.rejected_fraction,
    ),
    ScalarGauge(
        "configuration_version",
        "Version of the operator's text in force, 0 before the first.",
        lambda current: current.configuration_version,
    ),
    ScalarGauge(
        "configuration_epoch",
        "Epoch of the platform's store in which the node read that version.",
        lambda current: current.configuration_epoch,
    ),
    ScalarGauge(
        "store_epoch",
        "Highest epoch of the platform's store that the node knows; it rises when the store"
        " is restored from an earlier copy.",
        lambda current: current.store_epoch,
    ),
    ScalarGauge(
        "withdrawn_keys",
        "Withdrawn keys that the node knows of.",
        lambda current: current.withdrawn_keys,
    ),
    ScalarGauge(
        "uptime_seconds",
        "Time since the start of the node.",
        lambda current: current.uptime_s,
    ),
)
LABELLED = (
    LabelledGauge(
        "replica_age_seconds",
        "Time since a replica of the platform's objects was known to be current, by kind.",
        _read_replica_ages,
    ),
    LabelledGauge(
        "calls_waiting_by_kind",
        "Calls queued for the local upstream, by kind: unattributed calls name no request; all "
        "others are direct. All count as direct unless shedding.scarce is set.",
        _read_waiting,
    ),
    LabelledGauge(
        "route_needs",
        "Routes that the node sends calls on, by whether it is known what they need; none if "
        "shedding.dependencies is service.",
        _count_route_needs,
    ),
    LabelledGauge(
        "members",
        "Known hosts, by state.",
        _count_members,
    ),
    LabelledGauge(
        "team_tokens",
        "Tokens in a team's bucket: calls of the team that this node may admit at once.",
        _read_team_tokens,
    ),
    LabelledGauge(
        "team_held_rate",
        "Part of a team's rate that this node holds, in calls per second.",
        _read_held_rates,
    ),
)
