"""What the demo runs: the Coöperatie's hosts scaled down, its callers and its faults."""

import pathlib
from collections.abc import Mapping

import attrs

from standins import fleet, load

TEXT = pathlib.Path(__file__).parents[1] / "examples" / "cooperatie" / "fleet.toml"
FAILURE_DOMAINS = ("amsterdam", "utrecht", "rotterdam", "groningen")
SEED = 20_261_204

CALLS = {
    "counter": ("POST /pickups > GET /status/7",),
    "status": ("GET /status > GET /slots",),
    "booking": ("GET /slots > GET /parts", "POST /bookings > POST /payments"),
    "depot": (),
}
SLOTS = {"counter": 4, "status": 8, "booking": 8, "depot": 8}
SERVICE_MS = {"counter": 4.0, "status": 4.0, "booking": 4.0, "depot": 6.0}
SLOW_SERVICE = "depot"
SLOW_MS = 700.0

LOAD_S = 43.0
SLOW_FROM_S = 6.0
SLOW_UNTIL_S = 14.0
WITHDRAW_AT_S = 19.0
DRAIN_AT_S = 23.0
OUTAGE_FROM_S = 29.0
OUTAGE_UNTIL_S = 36.0
CHANGE_AT_S = 38.0

WITHDRAWN_TEAM = "kwekers"
GREEDY_TEAM = "havenbedrijf"
GREED = 4.0
SHARE_OF_RATE = 0.5
HARD_RETRIES = 2


@attrs.frozen
class Mix:
    """One route in the mix of every team.

    Attributes:
        route: Name of the route.
        importance: Its class.
        method: HTTP method.
        path: Path of the calls.
        share: Share of the team's calls.
    """

    route: str
    importance: str
    method: str
    path: str
    share: float


MIX = (
    Mix("confirm-pickup", "standard", "POST", "/pickups", 0.10),
    Mix("repair-status", "standard", "GET", "/status/7", 0.20),
    Mix("free-slots", "sheddable", "GET", "/slots", 0.25),
    Mix("book", "critical", "POST", "/bookings", 0.15),
    Mix("pay", "critical", "POST", "/payments", 0.10),
    Mix("order-parts", "critical", "POST", "/orders", 0.05),
    Mix("parts", "standard", "GET", "/parts", 0.15),
)
REPEATABLE_METHODS = ("GET",)


def hosts() -> list[fleet.Host]:
    """Returns one host of each service in each failure domain."""
    return [
        fleet.Host(
            name=f"{service}-{number}",
            failure_domain=failure_domain,
            service=service,
            slots=SLOTS[service],
            service_ms=SERVICE_MS[service],
            calls=calls,
        )
        for number, failure_domain in enumerate(FAILURE_DOMAINS, 1)
        for service, calls in CALLS.items()
    ]


def streams(
    team: str, key: str, rate: float, targets: tuple[str, ...], start_s: float, end_s: float
) -> list[load.Stream]:
    """Returns the calls of one team under one key; its callers repeat failed calls at once."""
    return [
        load.Stream(
            team=team,
            route=mix.route,
            importance=mix.importance,
            method=mix.method,
            path=mix.path,
            rate=rate * mix.share,
            key=key,
            targets=targets,
            start_s=start_s,
            end_s=end_s,
            retries=HARD_RETRIES if mix.method in REPEATABLE_METHODS else 0,
        )
        for mix in MIX
    ]


def offered(team: str, rate: float) -> float:
    """Returns the calls per second that a team sends; the greedy one sends above its rate."""
    return rate * (GREED if team == GREEDY_TEAM else SHARE_OF_RATE)


def load_plan(
    rates: Mapping[str, float],
    keys: Mapping[str, str],
    new_key: str,
    targets: tuple[str, ...],
) -> load.Plan:
    """Returns the load of all teams.

    Args:
        rates: Rate of each team in calls per second.
        keys: Key of each team.
        new_key: Key that the withdrawn team uses as well from the withdrawal on.
        targets: Caller ports of all hosts.
    """
    found: list[load.Stream] = []
    for team, rate in rates.items():
        found += streams(team, keys[team], offered(team, rate), targets, 0.0, LOAD_S)
    again = offered(WITHDRAWN_TEAM, rates[WITHDRAWN_TEAM])
    found += streams(WITHDRAWN_TEAM, new_key, again, targets, WITHDRAW_AT_S, LOAD_S)
    return load.Plan(SEED, tuple(found))
