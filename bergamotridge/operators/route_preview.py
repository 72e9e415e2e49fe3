"""Where a request would go now, and why: the content of the page and its JSON form."""

import attrs
import orjson


@attrs.frozen
class Query:
    """The request that is asked about.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        virtual_host: Host name that the caller would address.
        team: Team of the caller, "" if it doesn't matter.
    """

    method: str
    path: str
    virtual_host: str = ""
    team: str = ""


@attrs.frozen
class Upstream:
    """One upstream of a service.

    Attributes:
        host: Its host.
        failure_domain: Failure domain of the host.
        distance: Distance from the node: own-host, own-domain or other-domain.
        chance: Fraction of calls for which it would be chosen now.
        load: Its estimated load.
        limit: Calls that may run there at once.
        slowness: Time of calls there over what is usual, as the node has learned it.
        accepted: Fraction of calls that it accepts.
        is_ejected: True if it gets single probes only, as calls to it have failed.
    """

    host: str
    failure_domain: str
    distance: str
    chance: float
    load: float
    limit: int
    slowness: float
    accepted: float
    is_ejected: bool


@attrs.frozen
class Dependency:
    """A service below another one.

    Attributes:
        service: Its name.
        admitted: Share of such requests that it admits.
        accepted: Fraction of calls that its upstreams accept.
    """

    service: str
    admitted: float
    accepted: float


@attrs.frozen
class Service:
    """A service that the route sends calls to.

    Attributes:
        service: Its name.
        weight: Fraction of the route's calls that go to it.
        admitted: Share of the calls of the class and team that it admits.
        dependencies: Services below it that such requests need, as far as the node knows.
        upstreams: Its ready upstreams.
    """

    service: str
    weight: float
    admitted: float
    dependencies: tuple[Dependency, ...] = ()
    upstreams: tuple[Upstream, ...] = ()


@attrs.frozen
class RoutePreview:
    """Where a node would send a request now.

    Attributes:
        host: Host of the node.
        configuration: Version of the operator's text in force there.
        refusal: Why the request would be refused whatever the load, "" if it would not be.
        route: Name of its route, "" if there is none.
        repeatable: True if the call may run more than once.
        importance: Name of its class of importance.
        attempts: Upstreams to which it may be sent.
        timeout_s: Time limit in seconds.
        team: Team that it was asked for, "" if none was given.
        tokens: Requests of that team that the node could admit at once; -1 without a rate limit.
        services: Where it would go.
    """

    host: str
    configuration: str
    refusal: str = ""
    route: str = ""
    repeatable: bool = False
    importance: str = ""
    attempts: int = 0
    timeout_s: float = 0.0
    team: str = ""
    tokens: float = -1.0
    services: tuple[Service, ...] = ()


def encode(preview: RoutePreview) -> bytes:
    """Returns the preview as JSON."""
    return orjson.dumps(attrs.asdict(preview), option=orjson.OPT_INDENT_2)
