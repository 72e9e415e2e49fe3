"""The operator's text (the configuration that operators write): its parts and their validation."""

import graphlib
from collections.abc import Iterable

import attrs

from bergamotridge import call, errors
from bergamotridge.util import suggestion, text_files

IMPORTANCE_BY_NAME = {
    "critical": call.Importance.CRITICAL,
    "standard": call.Importance.STANDARD,
    "sheddable": call.Importance.SHEDDABLE,
}
RESERVED_PATH_PREFIX = "/_bergamotridge"
DEFAULT_TIMEOUT_S = 2.0
MAX_NUMBER = 1_000_000_000_000
HTTP_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
ROUTE_FIELDS_NOT_IN_TOML = ("name", "host", "is_prefix", "attempts", "target_s", "shares")
TOP_LEVEL_TABLES = ("routes", "services", "teams")


@attrs.frozen
class Service:
    """A service, the services that it calls, and the capacity of each of its upstreams.

    Attributes:
        name: Name in the text.
        depends_on: Names of the services that its upstreams may call.
        slots: Calls that one upstream can run concurrently.
        connections: Connections that may be open to one upstream.
        health_path: Path on which an upstream answers whether it is alive and not leaving, "" if
            there is none.
        cold_rate: Calls per second that a cold upstream tolerates, 0 for no bound.
        cold_start_s: Seconds for which an upstream is cold after its start, if it doesn't say so.
    """

    name: str
    depends_on: tuple[str, ...] = ()
    slots: int = 50
    connections: int = 400
    health_path: str = ""
    cold_rate: float = 0.0
    cold_start_s: float = 0.0


@attrs.frozen
class Share:
    """Share of a route's calls that one service receives.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """A route: the calls that it matches, the service that answers them, and their limits.

    Attributes:
        name: Name in the text.
        method: HTTP method.
        path: Path, in the form of a werkzeug rule such as ``/bookings/<id>``.
        service: Service that answers.
        importance: Importance of its calls for load shedding.
        open: True if callers need no key.
        repeatable: True if a call may safely run more than once.
        timeout_s: Time limit of a call, in seconds.
        host: Host name that the caller must address, "" for any.
        is_prefix: True if the route matches every path that begins with `path`.
        attempts: Maximum number of upstreams to which one call is sent, 0 for the limit in the
            node's settings.
        target_s: Target latency in seconds, within which an answer is worth most; later answers
            are counted as late. 0 if there is none.
        shares: Services among which the route's calls are split by weight; if empty, `service`
            receives all of them.
    """

    name: str
    method: str
    path: str
    service: str
    importance: call.Importance = call.Importance.STANDARD
    open: bool = False
    repeatable: bool = False
    timeout_s: float = DEFAULT_TIMEOUT_S
    host: str = ""
    is_prefix: bool = False
    attempts: int = 0
    target_s: float = 0.0
    shares: tuple[Share, ...] = ()

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services that may receive calls of this route."""
        return tuple(share.service for share in self.shares) or (self.service,)


@attrs.frozen
class Team:
    """A team: its rate limit over the whole fleet, and the weight and importance of its calls.

    Attributes:
        name: Name in the text.
        rate: Calls per second, infinity for no limit.
        burst: Calls that may be admitted at once, above the rate.
        weight: Weight of its fair share relative to other teams while a service is overloaded.
        importance: Importance of all its calls, None to use that of the route.
        keys: API keys of its callers, if the text holds them.
    """

    name: str
    rate: float
    burst: int
    weight: float = 1.0
    importance: call.Importance | None = None
    keys: tuple[str, ...] = ()


@attrs.frozen
class Limits:
    """Limits on the requests and connections of callers; 0 means the limit in the node's settings.

    Attributes:
        header_bytes: Maximum size of the head of a request, in bytes.
        body_bytes: Maximum size of the body of a request, in bytes.
        header_timeout_s: Time limit for receiving the head of a request, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in seconds.
    """

    header_bytes: int = 0
    body_bytes: int = 0
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0


@attrs.frozen
class OperatorText:
    """The whole operator's text; its services, routes and teams are keyed by name."""

    services: dict[str, Service]
    routes: dict[str, Route]
    teams: dict[str, Team]
    limits: Limits = Limits()


def _build_error(source: str, key: str, message: str) -> errors.SettingsError:
    return errors.SettingsError(f"{source}: key '{key}': {message}")


def _check_keys(source: str, prefix: str, table: object, known_keys: Iterable[str]) -> dict:
    """Returns `table` if it is a table that holds only known keys; raises SettingsError if not."""
    if not isinstance(table, dict):
        raise _build_error(source, prefix, "must be a table")
    accepted = sorted(known_keys)
    for key in table:
        if key not in accepted:
            raise errors.SettingsError(
                f"{source}: unknown key '{prefix}.{key}'; accepted: {', '.join(accepted)}"
                f"{suggestion.hint(key, accepted)}"
            )
    return table


def _read_number(
    source: str, key: str, value: object, minimum: float, *, integers_only: bool = False
) -> float:
    accepted_types = int if integers_only else (int, float)
    if (
        isinstance(value, bool)
        or not isinstance(value, accepted_types)
        or not minimum <= value <= MAX_NUMBER
    ):
        accepted_numbers = "a whole number" if integers_only else "a number"
        raise _build_error(
            source,
            key,
            f"is {value!r}; accepted: {accepted_numbers} from {minimum:g} to {MAX_NUMBER:g}",
        )
    return value


def _read_string(source: str, key: str, value: object) -> str:
    if not isinstance(value, str) or not value:
        raise _build_error(source, key, f"is {value!r}; accepted: a string that is not empty")
    return value


def _read_bool(source: str, key: str, value: object) -> bool:
    if not isinstance(value, bool):
        raise _build_error(source, key, f"is {value!r}; accepted: true or false")
    return value


def _read_service(source: str, name: str, table: object) -> Service:
    key = f"services.{name}"
    table = _check_keys(
        source, key, table, ("depends_on", "slots", "connections", "cold_rate", "cold_start_s")
    )
    depends_on = table.get("depends_on", [])
    if not isinstance(depends_on, list) or not all(isinstance(item, str) for item in depends_on):
        raise _build_error(source, f"{key}.depends_on", "accepted: a list of service names")
    slots = _read_number(source, f"{key}.slots", table.get("slots", 50), 1, integers_only=True)
    connections = _read_number(
        source, f"{key}.connections", table.get("connections", 400), 1, integers_only=True
    )
    cold_rate, cold_start_s = (
        float(_read_number(source, f"{key}.{item}", table.get(item, 0), 0))
        for item in ("cold_rate", "cold_start_s")
    )
    return Service(
        name,
        tuple(depends_on),
        int(slots),
        int(connections),
        cold_rate=cold_rate,
        cold_start_s=cold_start_s,
    )


def _read_path(source: str, key: str, value: object) -> str:
    path = _read_string(source, key, value)
    if not path.startswith("/"):
        raise _build_error(source, key, f"is {path!r}; accepted: a path that begins with '/'")
    if path.startswith(RESERVED_PATH_PREFIX):
        raise _build_error(
            source,
            key,
            f"is {path!r}; paths that begin with '{RESERVED_PATH_PREFIX}' are the nodes' own; "
            f"choose another",
        )
    # Not imported before, as all of werkzeug comes with it.
    from bergamotridge.operators import path_rules

    try:
        path_rules.check_path(path)
    except ValueError as error:
        raise _build_error(
            source, key, f"is {path!r}: {error}; accepted: a path such as /a/<id>"
        ) from error
    return path


def _read_method(source: str, key: str, value: object) -> str:
    method = _read_string(source, key, value).upper()
    if method not in HTTP_METHODS:
        raise _build_error(source, key, f"is {value!r}; accepted: {', '.join(HTTP_METHODS)}")
    return method


def _read_route(source: str, name: str, table: object) -> Route:
    key = f"routes.{name}"
    known_keys = [
        field.name for field in attrs.fields(Route) if field.name not in ROUTE_FIELDS_NOT_IN_TOML
    ]
    table = _check_keys(source, key, table, known_keys)
    for required in ("path", "service"):
        if required not in table:
            raise _build_error(source, f"{key}.{required}", "is missing; each route needs it")
    path = _read_path(source, f"{key}.path", table["path"])
    importance = table.get("importance", "standard")
    if importance not in IMPORTANCE_BY_NAME:
        accepted = ", ".join(IMPORTANCE_BY_NAME)
        raise _build_error(source, f"{key}.importance", f"is {importance!r}; accepted: {accepted}")
    return Route(
        name=name,
        method=_read_method(source, f"{key}.method", table.get("method", "GET")),
        path=path,
        service=_read_string(source, f"{key}.service", table["service"]),
        importance=IMPORTANCE_BY_NAME[importance],
        open=_read_bool(source, f"{key}.open", table.get("open", False)),
        repeatable=_read_bool(source, f"{key}.repeatable", table.get("repeatable", False)),
        timeout_s=float(
            _read_number(
                source, f"{key}.timeout_s", table.get("timeout_s", DEFAULT_TIMEOUT_S), 0.001
            )
        ),
    )


def _read_team(source: str, name: str, table: object) -> Team:
    key = f"teams.{name}"
    table = _check_keys(source, key, table, ("rate", "burst", "weight"))
    for required in ("rate", "burst"):
        if required not in table:
            raise _build_error(source, f"{key}.{required}", "is missing; each team needs it")
    rate = _read_number(source, f"{key}.rate", table["rate"], 0)
    burst = _read_number(source, f"{key}.burst", table["burst"], 1, integers_only=True)
    weight = _read_number(source, f"{key}.weight", table.get("weight", 1.0), 0.001)
    return Team(name, float(rate), int(burst), float(weight))


def _check_dependencies(source: str, text: OperatorText) -> None:
    for service in text.services.values():
        for dependency in service.depends_on:
            if dependency not in text.services:
                raise _build_error(
                    source,
                    f"services.{service.name}.depends_on",
                    f"unknown service '{dependency}'; accepted: {', '.join(text.services)}"
                    f"{suggestion.hint(dependency, text.services)}",
                )
    graph = {name: service.depends_on for name, service in text.services.items()}
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        cycle = " -> ".join(error.args[1])
        raise _build_error(
            source,
            "services",
            f"cycle in the dependencies: {cycle}; remove one of them from 'depends_on'",
        ) from error


def _check_routes(source: str, text: OperatorText) -> None:
    route_names: dict[tuple[str, str], str] = {}
    for route in text.routes.values():
        if route.service not in text.services:
            raise _build_error(
                source,
                f"routes.{route.name}.service",
                f"unknown service '{route.service}'; accepted: {', '.join(text.services)}"
                f"{suggestion.hint(route.service, text.services)}",
            )
        earlier_name = route_names.setdefault((route.method, route.path), route.name)
        if earlier_name != route.name:
            raise _build_error(
                source,
                f"routes.{route.name}",
                f"has the same method and path as route '{earlier_name}'; change or remove one",
            )


def parse(text: str, source: str) -> OperatorText:
    """Parses and validates an operator's text.

    Args:
        text: The text, in TOML.
        source: Name of the file, for error messages.

    Raises:
        SettingsError: The text is not valid; the message names the file, the key and the accepted
            values.
    """
    table = text_files.parse_toml(text, source)
    for key in table:
        if key not in TOP_LEVEL_TABLES:
            raise errors.SettingsError(
                f"{source}: unknown key '{key}'; accepted: {', '.join(TOP_LEVEL_TABLES)}"
                f"{suggestion.hint(key, TOP_LEVEL_TABLES)}"
            )
    tables = {key: table.get(key, {}) for key in TOP_LEVEL_TABLES}
    for key, value in tables.items():
        if not isinstance(value, dict):
            raise _build_error(source, key, "must be a table")
    parsed = OperatorText(
        services={
            name: _read_service(source, name, item) for name, item in tables["services"].items()
        },
        routes={name: _read_route(source, name, item) for name, item in tables["routes"].items()},
        teams={name: _read_team(source, name, item) for name, item in tables["teams"].items()},
    )
    _check_dependencies(source, parsed)
    _check_routes(source, parsed)
    return parsed
