"""The operator's text: services, routes and teams, checked before it is accepted."""

import graphlib
from collections.abc import Iterable

import attrs
from werkzeug import routing

from bergamotridge import call, errors
from bergamotridge.util import suggestion, texts

IMPORTANCE_NAMES = {
    "critical": call.Importance.CRITICAL,
    "standard": call.Importance.STANDARD,
    "sheddable": call.Importance.SHEDDABLE,
}
OWN_PATH = "/_bergamotridge"
DEFAULT_TIMEOUT_S = 2.0
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
NOT_IN_TOML = ("name", "host", "is_prefix", "attempts", "target_s", "shares")
PARTS = ("routes", "services", "teams")


@attrs.frozen
class Service:
    """A service: what it depends on and what each of its servers can take."""

    name: str
    depends_on: tuple[str, ...] = ()
    slots: int = 50
    connections: int = 400


@attrs.frozen
class Share:
    """Part of a route's calls that one service takes; weights are relative to each other."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """A route: which calls it matches, which service answers, and how they are treated.

    Attributes:
        name: Name in the text.
        method: HTTP method.
        path: Path, in the form of a werkzeug rule such as ``/bookings/<id>``.
        service: Service that answers.
        importance: Class of importance.
        open: True if no key is needed.
        repeatable: True if a call may run more than once.
        timeout_s: Time limit of a call in seconds.
        host: Host that the caller must address, "" for any.
        is_prefix: True if `path` stands for every path that begins with it.
        attempts: Upstreams that may run one call, 0 for the limit of the node's settings.
        target_s: Seconds within which an answer is worth most, 0 if not given.
        shares: Services that take the route's calls by weight, in place of `service` alone.
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
        """All services that may take calls of this route."""
        return tuple(share.service for share in self.shares) or (self.service,)


@attrs.frozen
class Team:
    """A team: its limits over the whole fleet and how its calls are treated.

    Attributes:
        name: Name in the text.
        rate: Calls per second, infinity for no limit.
        burst: Calls above the rate at once.
        weight: Share in overload against other teams.
        importance: Class of all its calls, None if the route decides.
        keys: Keys of its callers where the text holds them.
    """

    name: str
    rate: float
    burst: int
    weight: float = 1.0
    importance: call.Importance | None = None
    keys: tuple[str, ...] = ()


@attrs.frozen
class Limits:
    """Bounds on what a caller may send; 0 leaves a bound to the node's settings.

    Attributes:
        header_bytes: Longest head of a request in bytes.
        body_bytes: Longest body of a request in bytes.
        header_timeout_s: Seconds within which a head must be complete.
        idle_timeout_s: Seconds for which a connection may stay idle.
    """

    header_bytes: int = 0
    body_bytes: int = 0
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0


@attrs.frozen
class Text:
    """The whole of the operator's text."""

    services: dict[str, Service]
    routes: dict[str, Route]
    teams: dict[str, Team]
    limits: Limits = Limits()


def _fail(source: str, key: str, message: str) -> errors.SettingsError:
    return errors.SettingsError(f"{source}: key '{key}': {message}")


def _check_keys(source: str, prefix: str, table: object, known: Iterable[str]) -> dict:
    if not isinstance(table, dict):
        raise _fail(source, prefix, "must be a table")
    accepted = sorted(known)
    for key in table:
        if key not in accepted:
            raise errors.SettingsError(
                f"{source}: unknown key '{prefix}.{key}'; accepted: {', '.join(accepted)}"
                f"{suggestion.hint(key, accepted)}"
            )
    return table


def _number(source: str, key: str, value: object, low: float, *, whole: bool = False) -> float:
    kinds = int if whole else (int, float)
    if isinstance(value, bool) or not isinstance(value, kinds) or not low <= value < float("inf"):
        word = "a whole number" if whole else "a number"
        raise _fail(source, key, f"is {value!r}; accepted: {word} of at least {low:g}")
    return value


def _string(source: str, key: str, value: object) -> str:
    if not isinstance(value, str) or not value:
        raise _fail(source, key, f"is {value!r}; accepted: a string that is not empty")
    return value


def _flag(source: str, key: str, value: object) -> bool:
    if not isinstance(value, bool):
        raise _fail(source, key, f"is {value!r}; accepted: true or false")
    return value


def _service(source: str, name: str, table: object) -> Service:
    key = f"services.{name}"
    table = _check_keys(source, key, table, ("depends_on", "slots", "connections"))
    depends_on = table.get("depends_on", [])
    if not isinstance(depends_on, list) or not all(isinstance(item, str) for item in depends_on):
        raise _fail(source, f"{key}.depends_on", "accepted: a list of service names")
    slots = _number(source, f"{key}.slots", table.get("slots", 50), 1, whole=True)
    connections = _number(
        source, f"{key}.connections", table.get("connections", 400), 1, whole=True
    )
    return Service(name, tuple(depends_on), int(slots), int(connections))


def _path(source: str, key: str, value: object) -> str:
    path = _string(source, key, value)
    if not path.startswith("/"):
        raise _fail(source, key, f"is {path!r}; accepted: a path that begins with '/'")
    if path.startswith(OWN_PATH):
        raise _fail(source, key, f"is {path!r}; paths below '{OWN_PATH}' are the nodes' own")
    try:
        routing.Map([routing.Rule(path)])
    except (ValueError, LookupError, SyntaxError) as error:
        raise _fail(source, key, f"is {path!r}: {error}; accepted: such as /a/<id>") from error
    return path


def _method(source: str, key: str, value: object) -> str:
    method = _string(source, key, value).upper()
    if method not in METHODS:
        raise _fail(source, key, f"is {value!r}; accepted: {', '.join(METHODS)}")
    return method


def _route(source: str, name: str, table: object) -> Route:
    key = f"routes.{name}"
    known = [field.name for field in attrs.fields(Route) if field.name not in NOT_IN_TOML]
    table = _check_keys(source, key, table, known)
    for needed in ("path", "service"):
        if needed not in table:
            raise _fail(source, f"{key}.{needed}", "is missing")
    path = _path(source, f"{key}.path", table["path"])
    importance = table.get("importance", "standard")
    if importance not in IMPORTANCE_NAMES:
        accepted = ", ".join(IMPORTANCE_NAMES)
        raise _fail(source, f"{key}.importance", f"is {importance!r}; accepted: {accepted}")
    return Route(
        name=name,
        method=_method(source, f"{key}.method", table.get("method", "GET")),
        path=path,
        service=_string(source, f"{key}.service", table["service"]),
        importance=IMPORTANCE_NAMES[importance],
        open=_flag(source, f"{key}.open", table.get("open", False)),
        repeatable=_flag(source, f"{key}.repeatable", table.get("repeatable", False)),
        timeout_s=float(
            _number(source, f"{key}.timeout_s", table.get("timeout_s", DEFAULT_TIMEOUT_S), 0.001)
        ),
    )


def _team(source: str, name: str, table: object) -> Team:
    key = f"teams.{name}"
    table = _check_keys(source, key, table, ("rate", "burst", "weight"))
    for needed in ("rate", "burst"):
        if needed not in table:
            raise _fail(source, f"{key}.{needed}", "is missing")
    rate = _number(source, f"{key}.rate", table["rate"], 0)
    burst = _number(source, f"{key}.burst", table["burst"], 1, whole=True)
    weight = _number(source, f"{key}.weight", table.get("weight", 1.0), 0.001)
    return Team(name, float(rate), int(burst), float(weight))


def _check_graph(source: str, text: Text) -> None:
    for service in text.services.values():
        for dependency in service.depends_on:
            if dependency not in text.services:
                raise _fail(
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
        raise _fail(source, "services", f"cycle in the dependencies: {cycle}") from error


def _check_routes(source: str, text: Text) -> None:
    seen: dict[tuple[str, str], str] = {}
    for route in text.routes.values():
        if route.service not in text.services:
            raise _fail(
                source,
                f"routes.{route.name}.service",
                f"unknown service '{route.service}'; accepted: {', '.join(text.services)}"
                f"{suggestion.hint(route.service, text.services)}",
            )
        earlier = seen.setdefault((route.method, route.path), route.name)
        if earlier != route.name:
            raise _fail(source, f"routes.{route.name}", f"same method and path as '{earlier}'")


def parse(text: str, source: str) -> Text:
    """Returns the checked operator's text.

    Args:
        text: The TOML text.
        source: Name of the file, for messages.

    Raises:
        SettingsError: Names the file, the key and the accepted values.
    """
    table = texts.parse_toml(text, source)
    for key in table:
        if key not in PARTS:
            raise errors.SettingsError(
                f"{source}: unknown key '{key}'; accepted: {', '.join(PARTS)}"
                f"{suggestion.hint(key, PARTS)}"
            )
    parts = {key: table.get(key, {}) for key in PARTS}
    for key, part in parts.items():
        if not isinstance(part, dict):
            raise _fail(source, key, "must be a table")
    parsed = Text(
        services={name: _service(source, name, item) for name, item in parts["services"].items()},
        routes={name: _route(source, name, item) for name, item in parts["routes"].items()},
        teams={name: _team(source, name, item) for name, item in parts["teams"].items()},
    )
    _check_graph(source, parsed)
    _check_routes(source, parsed)
    return parsed
