"""Node settings: every key declared once with default, unit and accepted values."""

import ipaddress
import typing

import attrs

from bergamotridge import errors
from bergamotridge.util import suggestion, texts


def _setting(default: object, help_text: str, accepted: str, check=None) -> typing.Any:
    return attrs.field(
        default=default, metadata={"help": help_text, "accepted": accepted, "check": check}
    )


def is_address(value: object) -> bool:
    """Returns True for ``IP:PORT``; brackets may stand around IPv6."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and 0 < int(port) < 65536


def _address(help_text: str) -> typing.Any:
    return _setting("", help_text, "IP:PORT, such as 10.0.0.5:8000", is_address)


def _number(default: float, help_text: str, low: float, high: float) -> typing.Any:
    kind = "a whole number" if isinstance(default, int) else "a number"
    accepted = f"{kind} from {low} to {high}"
    return _setting(default, help_text, accepted, lambda value: low <= value <= high)


def _name(default: str, help_text: str) -> typing.Any:
    return _setting(default, help_text, "a text that is not empty", bool)


def _addresses(help_text: str) -> typing.Any:
    return _setting(
        (),
        help_text,
        'a list of "IP:PORT"',
        lambda value: all(is_address(item) for item in value),
    )


def _optional_address(help_text: str) -> typing.Any:
    return _setting(
        "", help_text, "IP:PORT, or nothing", lambda value: not value or is_address(value)
    )


@attrs.frozen
class Addresses:
    """Listening addresses of one node, and what it tells other nodes if that differs."""

    callers: str = _address("HTTP for callers")
    upstream: str = _address("HTTP for the local upstream; loopback")
    relay: str = _address("HTTP for calls from other nodes")
    control: str = _address("gRPC for control messages between nodes")
    operators: str = _address("HTTP for operators: metrics, status, events")
    ready: str = _optional_address("HTTP for load balancers: GET /ready, 200 or 503")
    advertised_relay: str = _optional_address(
        "where other nodes reach 'relay', if not at the same address"
    )
    advertised_control: str = _optional_address(
        "where other nodes reach 'control', if not at the same address"
    )

    @property
    def relay_for_nodes(self) -> str:
        """Where other nodes reach the relay port."""
        return self.advertised_relay or self.relay

    @property
    def control_for_nodes(self) -> str:
        """Where other nodes reach the control port."""
        return self.advertised_control or self.control


@attrs.frozen
class Platform:
    """Where the platform's object API is and how the node uses it."""

    address: str = _address("HTTP address of the object API")
    timeout_s: float = _number(2.0, "time limit of one request, in seconds", 0.05, 60)
    watchers: int = _number(
        3, "nodes in each failure domain that watch the platform for the others", 1, 100_000
    )
    watch_s: float = _number(20.0, "longest wait of one watch, in seconds", 1, 300)


@attrs.frozen
class Peers:
    """Other nodes that this one contacts first."""

    first: tuple[str, ...] = _addresses("control addresses of a few other nodes")
    interval_s: float = _number(1.0, "time between two rounds of gossip, in seconds", 0.05, 60)
    fanout: int = _number(3, "peers contacted in a round", 1, 20)


@attrs.frozen
class Limits:
    """Bounds on what one node takes in."""

    caller_connections: int = _number(512, "connections of callers at once", 1, 20_000)
    upstream_connections: int = _number(512, "connections of the local upstream", 1, 20_000)
    relay_connections: int = _number(1024, "connections of other nodes", 1, 20_000)
    body_bytes: int = _number(4_194_304, "largest body taken, in bytes", 1024, 1_073_741_824)
    retries: int = _number(2, "retries per request in its whole tree", 0, 100)
    queue: int = _number(64, "calls waiting beside the upstream", 0, 10_000)
    events: int = _number(20_000, "events kept for operators", 100, 10_000_000)
    drain_s: float = _number(20.0, "longest wait for calls at a planned stop, in seconds", 0, 600)
    notice_s: float = _number(
        1.5, "time at a planned stop in which calls are still taken, in seconds", 0, 600
    )
    heartbeat_s: float = _number(
        0.5, "time between two announcements of the upstream, in seconds", 0.05, 60
    )
    gather_s: float = _number(
        0.0,
        "pause of a busy node that gathers arrivals, in seconds; saves processor time and adds "
        "that latency at each hop",
        0.0,
        0.1,
    )


@attrs.frozen
class Retries:
    """What all nodes together may add to the load of a service by retries."""

    ratio: float = _number(0.1, "retries for each first attempt", 0.0, 1.0)
    slack: float = _number(
        30.0, "retries of all nodes beyond the ratio in a window", 0.0, 1_000_000.0
    )
    window_s: float = _number(50.0, "the window of the slack, in seconds", 0.1, 3600.0)


@attrs.frozen
class Quota:
    """How the rates of teams are divided between nodes; equal on all nodes of a fleet."""

    lease_s: float = _number(
        1800.0, "time for which a holder uses its share without the platform, in seconds", 10, 86400
    )
    adjust_s: float = _number(
        5.0, "mean time between two looks at a team's shares, in seconds", 0.5, 3600
    )
    token_lifetime_s: float = _number(
        5.0, "time for which a drawn token can be spent, in seconds", 0.2, 60
    )
    join_after_s: float = _number(
        3.0, "time for which a node is chosen before it becomes a holder, in seconds", 0, 600
    )
    per_domain: int = _number(2, "least holders of a team in each failure domain", 1, 100)


@attrs.frozen
class NodeSettings:
    """All settings of `bergamotridge node`."""

    host: str = _name("", "name of this host, unique in the fleet")
    failure_domain: str = _name("", "failure domain of this host")
    region: str = _name("default", "region of this host")
    fleet_secret: str = _name("", "secret shared by all nodes and the operators")
    log_level: str = _setting(
        "INFO",
        "lowest level logged",
        "DEBUG, INFO, WARNING or ERROR",
        lambda value: value in ("DEBUG", "INFO", "WARNING", "ERROR"),
    )
    addresses: Addresses = attrs.field(factory=Addresses)
    platform: Platform = attrs.field(factory=Platform)
    peers: Peers = attrs.field(factory=Peers)
    limits: Limits = attrs.field(factory=Limits)
    retries: Retries = attrs.field(factory=Retries)
    quota: Quota = attrs.field(factory=Quota)


def _check_value(source: str, key: str, field: attrs.Attribute, value: object) -> object:
    accepted = field.metadata["accepted"]
    wanted = field.type
    if wanted is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if typing.get_origin(wanted) is tuple and isinstance(value, list):
        value = tuple(value)
    plain = typing.get_origin(wanted) or wanted
    check = field.metadata["check"]
    good = isinstance(value, plain) and not (plain is int and isinstance(value, bool))
    if not good or (check is not None and not check(value)):
        raise errors.SettingsError(f"{source}: key '{key}' is {value!r}; accepted: {accepted}")
    return value


def _read_table(source: str, prefix: str, cls: type, table: dict) -> typing.Any:
    fields = attrs.fields_dict(cls)
    unknown = sorted(set(table) - set(fields))
    if unknown:
        known = ", ".join(sorted(fields))
        raise errors.SettingsError(
            f"{source}: unknown key '{prefix}{unknown[0]}'; accepted: {known}"
            f"{suggestion.hint(unknown[0], fields)}"
        )
    values = {}
    for name, field in fields.items():
        key = prefix + name
        if attrs.has(field.type):
            if not isinstance(table.get(name, {}), dict):
                raise errors.SettingsError(f"{source}: key '{key}' must be a table")
            values[name] = _read_table(source, f"{key}.", field.type, table.get(name, {}))
        else:
            values[name] = _check_value(source, key, field, table.get(name, field.default))
    return cls(**values)


def read(text: str, source: str) -> NodeSettings:
    """Returns the settings that a TOML text gives.

    Args:
        text: The TOML text.
        source: Name of the file, for messages.

    Raises:
        SettingsError: Names the file, the key and the accepted values.
    """
    return _read_table(source, "", NodeSettings, texts.parse_toml(text, source))


def from_table(table: dict, source: str) -> NodeSettings:
    """Returns the settings in a table that is already parsed; raises SettingsError."""
    return _read_table(source, "", NodeSettings, table)


def load(path: str) -> NodeSettings:
    """Reads and checks the settings file at `path`; raises SettingsError if it is unusable."""
    return read(texts.read_file(path), path)
