"""Settings of a node: declares each key with default, unit and accepted values."""

import typing

import attrs

from bergamotridge import errors
from bergamotridge.util import addresses, fields, suggestion, text_files


def _setting(default: object, help_text: str, accepted: str, check=None) -> typing.Any:
    return attrs.field(
        default=default, metadata={"help": help_text, "accepted": accepted, "check": check}
    )


def _address(help_text: str) -> typing.Any:
    return _setting("", help_text, "IP:PORT, such as 10.0.0.5:8000", addresses.is_address)


def _number(default: float, help_text: str, low: float, high: float) -> typing.Any:
    kind = "a whole number" if isinstance(default, int) else "a number"
    accepted = f"{kind} from {low} to {high}"
    return _setting(default, help_text, accepted, lambda value: low <= value <= high)


def _non_empty_string(default: str, help_text: str) -> typing.Any:
    return _setting(default, help_text, "a non-empty string", bool)


def _name(default: str, help_text: str) -> typing.Any:
    accepted = f"printable text of 1 to {fields.MAX_NAME_LENGTH} characters"
    return _setting(default, help_text, accepted, fields.is_text)


def _addresses(help_text: str) -> typing.Any:
    return _setting(
        (),
        help_text,
        'a list of "IP:PORT"',
        lambda value: all(addresses.is_address(item) for item in value),
    )


def _optional_address(help_text: str) -> typing.Any:
    return _setting(
        "",
        help_text,
        "IP:PORT, or an empty string",
        lambda value: not value or addresses.is_address(value),
    )


@attrs.frozen
class Addresses:
    """Listening addresses of a node, and the addresses advertised to other nodes if they differ."""

    callers: str = _address("HTTP for callers")
    upstream: str = _address("HTTP for the local upstream, on the loopback interface")
    relay: str = _address("HTTP for calls from other nodes")
    control: str = _address("gRPC for control messages between nodes")
    operators: str = _address("HTTP for operators: metrics, status, events")
    ready: str = _optional_address("HTTP for load balancers: GET /ready returns 200 or 503")
    advertised_relay: str = _optional_address(
        "address at which other nodes reach 'relay', if it differs"
    )
    advertised_control: str = _optional_address(
        "address at which other nodes reach 'control', if it differs"
    )

    @property
    def relay_for_nodes(self) -> str:
        """Address at which other nodes reach the relay port."""
        return self.advertised_relay or self.relay

    @property
    def control_for_nodes(self) -> str:
        """Address at which other nodes reach the control port."""
        return self.advertised_control or self.control


@attrs.frozen
class Platform:
    """Address of the platform's object API, and limits on its use."""

    address: str = _address("HTTP address of the object API")
    timeout_s: float = _number(2.0, "time limit of one request, in seconds", 0.05, 60)
    elected: int = _number(
        3,
        "nodes in each failure domain whose addresses the platform lists and that write to it for "
        "the others",
        1,
        100,
    )
    max_age_s: float = _number(
        5.0,
        "longest age of the configuration and the keys, beyond which a node reads them itself, in "
        "seconds",
        0.2,
        300,
    )
    evacuations: bool = _setting(
        False,
        "read the objects 'evacuations/FAILURE_DOMAIN', whose upstreams get no calls",
        "true or false",
    )
    start_spread_s: float = _number(
        0.4,
        "time over which nodes that start together spread their first reads, in seconds",
        0.0,
        60.0,
    )


@attrs.frozen
class Peers:
    """First contact and gossip with other nodes."""

    first: tuple[str, ...] = _addresses("control addresses of other nodes to contact first")
    interval_s: float = _number(1.0, "interval between gossip rounds, in seconds", 0.05, 60)
    fanout: int = _number(3, "peers contacted in a gossip round", 1, 20)


@attrs.frozen
class Limits:
    """Limits and timings of one node."""

    caller_connections: int = _number(512, "concurrent connections of callers", 1, 20_000)
    upstream_connections: int = _number(
        512, "concurrent connections of the local upstream", 1, 20_000
    )
    relay_connections: int = _number(1024, "concurrent connections of other nodes", 1, 20_000)
    body_bytes: int = _number(4_194_304, "largest accepted body, in bytes", 1024, 1_073_741_824)
    head_bytes: int = _number(
        65_536, "largest accepted head of an answer, in bytes", 1024, 16_777_216
    )
    held_bytes: int = _number(
        134_217_728,
        "bytes that the node may hold for others together: bodies of requests (each counts twice, "
        "all of them take two thirds at most), answers which are being read, and responses whose "
        "clients take them slowly",
        1_048_576,
        68_719_476_736,
    )
    answers_bytes: int = _number(
        67_108_864,
        "bytes that all answers which are being read may hold together",
        1_048_576,
        68_719_476_736,
    )
    pipelined_calls: int = _number(
        1,
        "calls of one connection that run at once, if they may be repeated and their caller has "
        "sent them before the answer to the first",
        1,
        16,
    )
    body_timeout_s: float = _number(
        60.0, "time within which the body of a request must be complete, in seconds", 0.1, 3600
    )
    retries: int = _number(2, "retries per request, in its whole call tree", 0, 100)
    queue: int = _number(64, "calls that may wait for the local upstream", 0, 10_000)
    events: int = _number(20_000, "events kept for operators", 100, 10_000_000)
    drain_s: float = _number(
        20.0, "longest wait for running calls in a graceful shutdown, in seconds", 0, 600
    )
    end_s: float = _number(
        5.0,
        "time after 'drain_s' in which a graceful shutdown waits for what is left to end, in "
        "seconds",
        0,
        600,
    )
    notice_s: float = _number(
        1.5, "time in a graceful shutdown in which new calls are still accepted, in seconds", 0, 600
    )
    bounds_cold: bool = _setting(
        False,
        "keep the 'cold_rate' of services: calls per second to an upstream that is cold",
        "true or false",
    )
    heartbeat_s: float = _number(
        0.5, "interval between announcements of the upstream, in seconds", 0.05, 60
    )
    gather_s: float = _number(
        0.0,
        "pause in which a busy node gathers arrivals to handle them together, in seconds; saves "
        "processor time and adds up to that latency at each hop",
        0.0,
        0.1,
    )


@attrs.frozen
class Retries:
    """Retry budget: load that all nodes together may add to a service by retries."""

    ratio: float = _number(0.1, "retries allowed per first attempt", 0.0, 1.0)
    slack: float = _number(
        30.0, "retries of all nodes together allowed beyond the ratio in a window", 0.0, 1_000_000.0
    )
    window_s: float = _number(50.0, "length of the window of the slack, in seconds", 0.1, 3600.0)


@attrs.frozen
class Quota:
    """Division of teams' rates between nodes; must be the same on all nodes of a fleet."""

    lease_s: float = _number(
        1800.0,
        "time for which a holder may use its leased share without the platform, in seconds",
        10,
        86400,
    )
    adjust_s: float = _number(
        5.0, "mean interval between checks of a team's shares, in seconds", 0.5, 3600
    )
    token_lifetime_s: float = _number(
        5.0, "time for which a drawn token can be spent, in seconds", 0.2, 60
    )
    join_after_s: float = _number(
        3.0, "time for which a node must be selected before it becomes a holder, in seconds", 0, 600
    )
    per_domain: int = _number(
        2, "minimum number of holders of a team in each failure domain", 1, 100
    )
    groups: int = _number(
        4, "platform objects among which the quotas of all teams are divided", 1, 1000
    )


BY_SERVICE, BY_ROUTE = "service", "route"


@attrs.frozen
class Shedding:
    """Which calls are refused where demand exceeds capacity."""

    dependencies: str = _setting(
        BY_SERVICE,
        "what a request is taken to need where upstreams' calls don't name their request: all that "
        "its service calls, or what requests on its route call",
        "service or route",
        lambda value: value in (BY_SERVICE, BY_ROUTE),
    )
    scarce: bool = _setting(
        False,
        "whether calls that come to a service directly keep a part of its capacity beside calls "
        "that name no request, and upstreams that reject calls lower the share of the latter",
        "true or false",
    )


LEAST_LOADED, EXPECTED_WAIT = "least-loaded", "expected-wait"


@attrs.frozen
class Balancing:
    """Choice among the usable upstreams of a service."""

    method: str = _setting(
        LEAST_LOADED,
        "how an upstream is chosen: by the load that it last reported, or by the time that the "
        "call is expected to take there, at random in proportion to free capacity",
        "least-loaded or expected-wait",
        lambda value: value in (LEAST_LOADED, EXPECTED_WAIT),
    )


@attrs.frozen
class NodeSettings:
    """All settings of `bergamotridge node`."""

    host: str = _name("", "name of this host, unique in the fleet")
    failure_domain: str = _name("", "failure domain of this host")
    region: str = _name("default", "region of this host")
    fleet_secret: str = _non_empty_string("", "secret shared by all nodes and the operators")
    log_level: str = _setting(
        "INFO",
        "lowest level that is logged",
        "DEBUG, INFO, WARNING or ERROR",
        lambda value: value in ("DEBUG", "INFO", "WARNING", "ERROR"),
    )
    addresses: Addresses = attrs.field(factory=Addresses)
    platform: Platform = attrs.field(factory=Platform)
    peers: Peers = attrs.field(factory=Peers)
    limits: Limits = attrs.field(factory=Limits)
    retries: Retries = attrs.field(factory=Retries)
    quota: Quota = attrs.field(factory=Quota)
    shedding: Shedding = attrs.field(factory=Shedding)
    balancing: Balancing = attrs.field(factory=Balancing)


def _check_value(source: str, key: str, field: attrs.Attribute, value: object) -> object:
    """Returns the value converted to the type of its field; raises SettingsError if invalid."""
    accepted = field.metadata["accepted"]
    expected_type = field.type
    if expected_type is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if typing.get_origin(expected_type) is tuple and isinstance(value, list):
        value = tuple(value)
    runtime_type = typing.get_origin(expected_type) or expected_type
    check = field.metadata["check"]
    type_matches = isinstance(value, runtime_type) and not (
        runtime_type is int and isinstance(value, bool)
    )
    if not type_matches or (check is not None and not check(value)):
        raise errors.SettingsError(f"{source}: key '{key}' is {value!r}; accepted: {accepted}")
    return value


def _parse_table(source: str, prefix: str, cls: type, table: dict) -> typing.Any:
    """Returns an instance of `cls`; `prefix` is put before the keys in error messages."""
    cls_fields = attrs.fields_dict(cls)
    unknown = sorted(set(table) - set(cls_fields))
    if unknown:
        known = ", ".join(sorted(cls_fields))
        raise errors.SettingsError(
            f"{source}: unknown key '{prefix}{unknown[0]}'; accepted: {known}"
            f"{suggestion.hint(unknown[0], cls_fields)}"
        )
    values = {}
    for name, field in cls_fields.items():
        key = prefix + name
        if attrs.has(field.type):
            if not isinstance(table.get(name, {}), dict):
                raise errors.SettingsError(f"{source}: key '{key}' must be a table")
            values[name] = _parse_table(source, f"{key}.", field.type, table.get(name, {}))
        else:
            values[name] = _check_value(source, key, field, table.get(name, field.default))
    return cls(**values)


def parse(text: str, source: str) -> NodeSettings:
    """Parses and checks settings in TOML.

    Args:
        text: The TOML text.
        source: Name of the file, for error messages.

    Raises:
        SettingsError: The text is invalid; the message names the file, the key and the accepted
            values.
    """
    return _parse_table(source, "", NodeSettings, text_files.parse_toml(text, source))


def parse_table(table: dict, source: str) -> NodeSettings:
    """Checks settings in a parsed TOML table; raises SettingsError if they are invalid.

    Args:
        table: The parsed table.
        source: Name of its source, for error messages.
    """
    return _parse_table(source, "", NodeSettings, table)


def load(path: str) -> NodeSettings:
    """Reads and checks the settings file at `path`; raises SettingsError if that fails."""
    return parse(text_files.read_file(path), path)
