"""The status page of a node: its content and its JSON form."""

import attrs
import orjson


@attrs.frozen
class Member:
    """Entry of one host in the node's membership table; its own host is included.

    Attributes:
        host: Name of the host.
        incarnation: Start time of the host's node in milliseconds.
        failure_domain: Failure domain of the host.
        service: Service of its upstream, "" if none has announced itself.
        state: State of its upstream.
        load: Load of its upstream.
        operators_address: IP:PORT of its operators' port, "" if that is not known.
    """

    host: str
    incarnation: int
    failure_domain: str
    service: str = ""
    state: str = ""
    load: float = 0.0
    operators_address: str = ""


@attrs.frozen
class TeamRate:
    """Rate limit of one team, and the part of it that this node holds.

    Attributes:
        team: Name of the team.
        rate: Calls per second of the whole fleet, from the operator's text.
        burst: Burst of the whole fleet, from the operator's text.
        held_rate: Part of the rate that this node holds, in calls per second.
        tokens: Tokens in the team's bucket on this node: calls that may be admitted at once.
    """

    team: str
    rate: float
    burst: int
    held_rate: float = 0.0
    tokens: float = 0.0


@attrs.frozen
class RouteNeeds:
    """What the node takes the requests of a route to need; see the setting shedding.dependencies.

    Attributes:
        service: Service that the route's calls go to.
        route: Name of the route.
        known: False if too little is known, so that it has all dependencies of its service.
        services: All services below it, empty if that is not known.
    """

    service: str
    route: str
    known: bool
    services: tuple[str, ...] = ()


@attrs.frozen
class Load:
    """Load of the local upstream, which runs on the host of the node.

    Attributes:
        running: Calls that run.
        waiting: Calls that are queued on the node.
        limit: Maximum number of concurrent calls that the node now allows.
        rate_limit: Calls per second that the upstream says it takes, -1 if it names no limit.
        unattributed_share: Share of calls that name no request which its gate admits, 0.0 to 1.0.
        rejected_fraction: Fraction of calls that the upstream rejected, over some tenths of a
            second; measured only with the setting `shedding.scarce`.
        unattributed_waiting: Calls of `waiting` that name no request; counted only with the setting
            `shedding.scarce`.
    """

    running: int = 0
    waiting: int = 0
    limit: float = 0.0
    rate_limit: float = -1.0
    unattributed_share: float = 1.0
    rejected_fraction: float = 0.0
    unattributed_waiting: int = 0


@attrs.frozen
class Status:
    """Content of the status page.

    Attributes:
        host: Host of the node.
        incarnation: Start time of its process in milliseconds.
        failure_domain: Failure domain of the host.
        uptime_s: Seconds since the start of the node.
        configuration_version: Version of the operator's text in force within its epoch of the
            store, 0 if there is none.
        configuration_epoch: That epoch.
        withdrawn_keys: Number of withdrawn keys in the node's key ring.
        service: Service of the local upstream, "" if none has announced itself.
        state: State of that upstream.
        load: Load of that upstream.
        members: All hosts in the node's membership.
        teams: Rates of the teams that have a rate limit.
        replica_ages: Seconds since each replica of the platform's objects was known to be current,
            by kind.
        store_epoch: Highest epoch of the platform's store that the node knows; it rises when the
            store is restored from an earlier copy.
        route_needs: What the routes need that the node sends calls on, if routes are told apart.
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
    replica_ages: dict[str, float] = attrs.field(factory=dict)
    store_epoch: int = 0
    configuration_epoch: int = 0
    route_needs: tuple[RouteNeeds, ...] = ()


def encode(status: Status) -> bytes:
    """Returns the status as JSON."""
    return orjson.dumps(attrs.asdict(status), option=orjson.OPT_INDENT_2)
