"""What a run of the soak does: its fleet, its callers and its faults, all drawn from one seed."""

import enum
import typing

import attrs

from standins import fleet

GENERATION_PATH = "/generations/{}"

_TEXT = """
[services.front]
depends_on = ["middle"]
slots = 20
[services.middle]
depends_on = ["back"]
slots = 20
[services.back]
slots = 20

[routes.read]
path = "/reads/<id>"
service = "front"
repeatable = true
timeout_s = 3.0
[routes.order]
method = "POST"
path = "/orders"
service = "front"
importance = "critical"
timeout_s = 3.0
[routes.rows]
path = "/rows"
service = "middle"
repeatable = true
timeout_s = 3.0
[routes.book]
method = "POST"
path = "/bookings"
service = "middle"
importance = "critical"
timeout_s = 3.0
[routes.items]
path = "/items"
service = "back"
importance = "sheddable"
repeatable = true
timeout_s = 3.0
[routes.pay]
method = "POST"
path = "/payments"
service = "back"
importance = "critical"
timeout_s = 3.0
[routes.generation]
path = "{generation_path}"
service = "back"
open = true
repeatable = true
timeout_s = 1.0

[teams.large]
rate = 2000
burst = 2000
[teams.small]
rate = 10
burst = 10
[teams.tiny]
rate = 2
burst = 2
"""
LIMITS = {"large": (2000.0, 2000), "small": (10.0, 10), "tiny": (2.0, 2)}
DEPENDENCY_CALLS = {
    "front": ("GET /reads > GET /rows", "POST /orders > POST /bookings"),
    "middle": ("GET /rows > GET /items", "POST /bookings > POST /payments"),
    "back": (),
}
SERVICE_MS = 5.0
TIMEOUT_S = 3.0  # Of all routes but that of the generations.


class Kind(enum.StrEnum):
    """Kinds of events.

    The signals to nodes, upstreams and the platform stand-in are SIGTERM (stop), SIGKILL (kill),
    SIGSTOP (pause) and SIGHUP (reload).
    """

    NODE_STOP = "node-stop"
    NODE_KILL = "node-kill"
    NODE_PAUSE = "node-pause"
    NODE_RELOAD = "node-reload"
    UPSTREAM_STOP = "upstream-stop"
    UPSTREAM_KILL = "upstream-kill"
    UPSTREAM_PAUSE = "upstream-pause"
    UPSTREAM_FAULT = "upstream-fault"
    PLATFORM_KILL = "platform-kill"
    PLATFORM_PAUSE = "platform-pause"
    PLATFORM_FAULT = "platform-fault"
    CUT = "cut"
    LINK_FAULT = "link-fault"
    LINK_RESET = "link-reset"
    CALLER_LINK_FAULT = "caller-link-fault"
    CALLER_LINK_RESET = "caller-link-reset"
    CHANGE = "change"
    RACING_CHANGES = "racing-changes"
    WITHDRAW = "withdraw"


@attrs.frozen(order=True)
class Event:
    """One fault or action of an operator.

    Attributes:
        at_s: Seconds after the start of the plan.
        kind: What happens.
        target: Host, failure domain or link concerned; "" if there is none.
        for_s: Duration of the fault in seconds; for a process that ends, the time until it is
            started again after its end.
        fault: Name of the fault, for kinds that have several.
        value: Its value.
    """

    at_s: float
    kind: Kind
    target: str = ""
    for_s: float = 0.0
    fault: str = ""
    value: typing.Any = attrs.field(default=True, order=False)


@attrs.frozen
class Caller:
    """A caller that sends one request after another on a kept connection to one host.

    Attributes:
        name: Unique name, the prefix of the tags of its calls.
        host: The host that it calls.
        team: Its team.
        key: Index of its key among the keys of the team.
        method: HTTP method.
        path: Path.
        pause_s: Mean pause between two calls in seconds.
        timeout_s: Time after which it gives up a call and closes the connection, in seconds.
        retries: Times that it repeats a call without a good answer at another host. If above 0,
            its calls carry an Idempotency-Key.
        linked: True if it calls its host through a link that can have faults.
    """

    name: str
    host: str
    team: str
    key: int
    method: str
    path: str
    pause_s: float
    timeout_s: float
    retries: int = 0
    linked: bool = False


@attrs.frozen
class Plan:
    """One run of the soak.

    Attributes:
        seed: The seed from which everything was drawn.
        duration_s: Time in which events begin, in seconds.
        hosts: The hosts of the fleet.
        network: True if nodes and platform are connected through the network stand-in.
        drain_s: The setting `limits.drain_s` of the nodes, in seconds.
        keys: Number of keys that each team gets.
        callers: The callers.
        events: The events in order of time.
    """

    seed: int
    duration_s: float
    hosts: tuple[fleet.Host, ...]
    network: bool
    drain_s: float
    keys: int
    callers: tuple[Caller, ...]
    events: tuple[Event, ...]


def build_text(generation: int) -> str:
    """Returns the operator's text; only the path of one open route tells its generations apart."""
    return _TEXT.format(generation_path=GENERATION_PATH.format(generation))


def format_plan(plan: Plan) -> list[str]:
    """Returns the plan line by line."""
    hosts = ", ".join(f"{host.name} ({host.failure_domain})" for host in plan.hosts)
    lines = [
        f"seed {plan.seed}: {plan.duration_s:g} s, drain_s {plan.drain_s:g}, "
        f"network {'yes' if plan.network else 'no'}, {len(plan.callers)} callers",
        f"hosts: {hosts}",
    ]
    for event in plan.events:
        fault = f" {event.fault}={event.value}" if event.fault else ""
        lines.append(
            f"{event.at_s:7.2f} s  {event.kind:<15} {event.target or '-':<10}"
            f" for {event.for_s:.2f} s{fault}"
        )
    return lines
