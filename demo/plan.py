"""Configuration of the demo: the Coöperatie's hosts scaled down, its callers and its faults."""

import pathlib
from collections.abc import Mapping

import attrs

from standins import fleet, load

TEXT_PATH = pathlib.Path(__file__).parents[1] / "examples" / "cooperatie" / "fleet.toml"
FAILURE_DOMAINS = ("amsterdam", "utrecht", "rotterdam", "groningen")
SEED = 20_261_204

# The calls that an upstream of each service makes: route it serves > call that it makes below.
CALLS_BY_SERVICE = {
    "counter": ("POST /pickups > GET /status/7",),
    "status": ("GET /status > GET /slots",),
    "booking": ("GET /slots > GET /parts", "POST /bookings > POST /payments"),
    "depot": (),
}
SLOTS = {"counter": 4, "status": 8, "booking": 8, "depot": 8}
SERVICE_TIME_MS = {"counter": 4.0, "status": 4.0, "booking": 4.0, "depot": 6.0}
SLOW_SERVICE = "depot"
SLOW_SERVICE_MS = 700.0

LOAD_DURATION_S = 43.0
SLOW_FROM_S = 6.0
SLOW_UNTIL_S = 14.0
WITHDRAW_AT_S = 19.0
DRAIN_AT_S = 23.0
OUTAGE_FROM_S = 29.0
OUTAGE_UNTIL_S = 36.0
CHANGE_AT_S = 38.0

WITHDRAWN_TEAM = "kwekers"
GREEDY_TEAM = "havenbedrijf"
# Calls that a team sends, as a multiple of its rate.
GREEDY_LOAD_RATIO = 4.0
USUAL_LOAD_RATIO = 0.5
CALLER_RETRIES = 2


@attrs.frozen
class RouteShare:
    """One route and its share of the calls of every team.

    Attributes:
        route: Name of the route.
        importance: Class of importance of the route.
        method: HTTP method.
        path: Path of the calls.
        share: Share of the team's calls, 0.0 to 1.0.
    """

    route: str
    importance: str
    method: str
    path: str
    share: float


MIX = (
    RouteShare("confirm-pickup", "standard", "POST", "/pickups", 0.10),
    RouteShare("repair-status", "standard", "GET", "/status/7", 0.20),
    RouteShare("free-slots", "sheddable", "GET", "/slots", 0.25),
    RouteShare("book", "critical", "POST", "/bookings", 0.15),
    RouteShare("pay", "critical", "POST", "/payments", 0.10),
    RouteShare("order-parts", "critical", "POST", "/orders", 0.05),
    RouteShare("parts", "standard", "GET", "/parts", 0.15),
)
REPEATABLE_METHODS = ("GET",)


def build_hosts() -> list[fleet.Host]:
    """Returns one host of each service in each failure domain."""
    return [
        fleet.Host(
            name=f"{service}-{number}",
            failure_domain=failure_domain,
            service=service,
            slots=SLOTS[service],
            service_ms=SERVICE_TIME_MS[service],
            calls=calls,
        )
        for number, failure_domain in enumerate(FAILURE_DOMAINS, 1)
        for service, calls in CALLS_BY_SERVICE.items()
    ]


def build_streams(
    team: str, key: str, rate: float, targets: tuple[str, ...], start_s: float, end_s: float
) -> list[load.Stream]:
    """Returns one stream of calls per route for a team; its callers retry without backoff.

    Args:
        team: Name of the team.
        key: Key that the calls carry.
        rate: Calls per second of all routes together.
        targets: Caller ports of the hosts to call.
        start_s: Start of the calls, in seconds after the start of the load.
        end_s: End of the calls, in seconds after the start of the load.
    """
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
            retries=CALLER_RETRIES if mix.method in REPEATABLE_METHODS else 0,
        )
        for mix in MIX
    ]


def compute_offered_rate(team: str, rate: float) -> float:
    """Returns the calls per second that a team sends; the greedy team exceeds its rate."""
    return rate * (GREEDY_LOAD_RATIO if team == GREEDY_TEAM else USUAL_LOAD_RATIO)


def build_load_plan(
    rates: Mapping[str, float],
    keys: Mapping[str, str],
    new_key: str,
    targets: tuple[str, ...],
) -> load.Plan:
    """Returns the load of all teams.

    Args:
        rates: Rate of each team in calls per second.
        keys: Key of each team.
        new_key: Second key of the team whose key is withdrawn, used from the withdrawal on.
        targets: Caller ports of all hosts.
    """
    streams: list[load.Stream] = []
    for team, rate in rates.items():
        streams += build_streams(
            team, keys[team], compute_offered_rate(team, rate), targets, 0.0, LOAD_DURATION_S
        )
    new_key_rate = compute_offered_rate(WITHDRAWN_TEAM, rates[WITHDRAWN_TEAM])
    streams += build_streams(
        WITHDRAWN_TEAM, new_key, new_key_rate, targets, WITHDRAW_AT_S, LOAD_DURATION_S
    )
    return load.Plan(SEED, tuple(streams))
