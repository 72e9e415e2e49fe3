"""What a node says of itself on its status page."""

import attrs
import cattrs
import orjson

from bergamotridge import errors


@attrs.frozen
class Member:
    """What the node knows of one host, itself included."""

    host: str
    incarnation: int
    failure_domain: str
    service: str = ""
    state: str = ""
    load: float = 0.0
    operators_address: str = ""


@attrs.frozen
class TeamRate:
    """What the node holds of one team's rate.

    Attributes:
        team: Name of the team.
        rate: Calls per second of the whole fleet, from the operator's text.
        burst: Burst of the whole fleet, from the operator's text.
        held_rate: Part of the rate that this node holds, in calls per second.
        tokens: Calls that this node may admit at once.
    """

    team: str
    rate: float
    burst: int
    held_rate: float = 0.0
    tokens: float = 0.0


@attrs.frozen
class Load:
    """Calls at the upstream beside the node."""

    running: int = 0
    waiting: int = 0
    limit: float = 0.0


@attrs.frozen
class Status:
    """The whole status page.

    Attributes:
        host: Host of the node.
        incarnation: Start time of its process in milliseconds.
        failure_domain: Failure domain of the host.
        uptime_s: Seconds since the start.
        configuration_version: Version of the operator's text in force, 0 if there is none.
        withdrawn_keys: Withdrawn keys that the node knows of.
        service: Service of the upstream beside it, "" if none has announced itself.
        state: State of that upstream.
        load: Calls at that upstream.
        members: All hosts that the node knows of.
        teams: Rates of the teams that have one.
    """

    host: str
    incarnation: int
    failure_domain: str
    uptime_s: float
    configuration_version: int = 0
    withdrawn_keys: int = 0
    service: str = ""
    state: str = ""
    load: Load = attrs.field(factory=Load)
    members: tuple[Member, ...] = ()
    teams: tuple[TeamRate, ...] = ()


def encode(status: Status) -> bytes:
    """Returns the status as JSON."""
    return orjson.dumps(attrs.asdict(status), option=orjson.OPT_INDENT_2)


def decode(body: bytes) -> Status:
    """Returns the status that `encode` wrote; raises OperatorPortError on anything else."""
    try:
        return cattrs.structure(orjson.loads(body), Status)
    except (ValueError, cattrs.BaseValidationError) as error:
        raise errors.OperatorPortError("the status page is not in the expected form") from error
