"""The shape of a fleet: its services, the kinds of requests, the calls between them, and teams."""

import pathlib
import random
import tomllib

import attrs
import cattrs

FOLDER = pathlib.Path(__file__).with_name("shapes")
MS_PER_S = 1000.0
MAX_FDS = 4100  # Of a node.
WORK_SHAPE = 4.0  # Of the gamma distribution of times and sizes around their means.


class ShapeError(Exception):
    """The file of a shape can't be used."""


@attrs.frozen
class Service:
    """One service; a server runs `slots` requests, holds `queue` more and resets the rest."""

    name: str
    slots: int = 58
    queue: int = 0
    connections: int = 448


@attrs.frozen
class Call:
    """Calls that a run makes to another kind, one after the other."""

    kind: str
    times: int = 1


@attrs.frozen
class Kind:
    """One kind of requests.

    Attributes:
        service: Service that runs it; empty for any, drawn for each request.
        safe: True if a request may run more than once.
        weight: Share of the clients' requests; 0 for kinds that only servers call.
        work_ms: Mean time of a run; 0 if drawn from a few fixed times.
        request_bytes: Mean size of a body, if its client has no size of its own.
        response_bytes: Mean size of an answer; 0 if drawn from a few fixed sizes.
        timeout_ms: Timeout of the route.
        deadline_ms: Time that a client waits.
        calls: What a run calls.
        public: True if clients send it without a key.
    """

    name: str
    service: str = ""
    safe: bool = True
    weight: float = 1.0
    priority: int = 1
    work_ms: float = 0.0
    request_bytes: float = 0.0
    response_bytes: float = 0.0
    timeout_ms: int = 7000
    deadline_ms: int = 7000
    calls: tuple[Call, ...] = ()
    public: bool = False


@attrs.frozen
class Team:
    """A team with its keys; a rate of 0 has no limit; `weight` is its share of the clients."""

    name: str
    keys: tuple[str, ...]
    rate_per_s: float = 0.0
    burst: int = 0
    weight: float = 1.0


@attrs.frozen
class Shape:
    """All that a fleet serves; routes are open to all if there are no teams.

    Attributes:
        clients: Clients on each machine.
        styles: Names of the ways in which clients send; all if empty.
        max_fds: File descriptors that a node may have, which bound its connections.
    """

    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    teams: tuple[Team, ...] = ()
    clients: int = 4
    max_attempts: int = 2
    styles: tuple[str, ...] = ()
    max_fds: int = MAX_FDS

    def service(self, name: str) -> Service:
        """Returns a service by its name."""
        return next(item for item in self.services if item.name == name)

    def kind(self, name: str) -> Kind:
        """Returns a kind by its name."""
        return next(item for item in self.kinds if item.name == name)

    def draw_kind(self, rng: random.Random) -> Kind:
        """Draws the kind of a client's request."""
        return rng.choices(self.kinds, [kind.weight for kind in self.kinds])[0]

    def draw_key(self, rng: random.Random) -> str:
        """Draws the key of a client; empty if the routes are open to all."""
        if not self.teams:
            return ""
        return rng.choice(rng.choices(self.teams, [team.weight for team in self.teams])[0].keys)

    def is_public(self, kind: Kind) -> bool:
        """Returns True if requests of a kind need no key."""
        return kind.public or not self.teams or not kind.weight


def draw_around(rng: random.Random, mean: float) -> int:
    """Draws a whole number of 1 or more around a mean."""
    return max(1, round(rng.gammavariate(WORK_SHAPE, mean / WORK_SHAPE)))


def load(name: str) -> Shape:
    """Reads a shape by its name, or from the path of a TOML file.

    Raises:
        ShapeError: The file can't be read, or names a service or kind that it doesn't define.
    """
    path = FOLDER / f"{name}.toml" if "/" not in name else pathlib.Path(name)
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        read = cattrs.Converter(forbid_extra_keys=True).structure(table, Shape)
    except (OSError, ValueError, cattrs.BaseValidationError) as error:
        raise ShapeError(f"shape {path}: {error!r}") from error
    services = {item.name for item in read.services} | {""}
    kinds = {item.name for item in read.kinds}
    for kind in read.kinds:
        unknown = {kind.service} - services | {call.kind for call in kind.calls} - kinds
        if unknown:
            raise ShapeError(f"shape {path}: kind {kind.name!r} names unknown {sorted(unknown)}")
    return read
