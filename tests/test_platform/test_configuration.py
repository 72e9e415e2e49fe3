"""Parsing of the platform's configuration into the operator's text."""

import orjson
import pytest

from bergamotridge import call, errors
from bergamotridge.callers import text_keys
from bergamotridge.nodes import routing

CONFIGURATION = {
    "version": "r7",
    "limits": {"max_header_bytes": 16384, "header_timeout": "3000ms", "idle_timeout": "15s"},
    "tenants": [
        {"name": "ward", "api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 68, "burst": 70},
        {"name": "desk", "api_keys": ["k3"]},
    ],
    "listeners": [
        {
            "host": "a.example",
            "rules": [
                {
                    "kind": "safe",
                    "priority": 2,
                    "target_latency": "1500ms",
                    "match": {"path_prefix": "/x/"},
                    "action": {
                        "weighted_clusters": [
                            {"service": "slots", "weight": 90},
                            {"service": "fees", "weight": 10},
                        ],
                        "timeout": "1200ms",
                        "max_attempts": 2,
                    },
                },
                {
                    "kind": "unsafe",
                    "priority": 0,
                    "public": True,
                    "match": {"path_prefix": "/x/y/"},
                    "action": {"service": "fees", "timeout": "2.5s", "max_attempts": 1},
                },
            ],
        }
    ],
    "clusters": [{"name": "slots", "max_connections": 448}, {"name": "fees"}],
}


@pytest.fixture
def parse():
    from hosting import configuration

    return lambda table: configuration.parse(orjson.dumps(table).decode(), "test")


def test_the_longest_matching_path_prefix_of_the_host_selects_the_route(parse):
    table = routing.RouteTable(parse(CONFIGURATION))
    long = table.match("POST", "/x/y/1", "a.example").route
    assert (long.service, long.repeatable, long.open, long.timeout_s) == ("fees", False, True, 2.5)
    short = table.match("GET", "/x/1", "A.example").route
    assert (short.services, short.repeatable, short.attempts) == (("slots", "fees"), True, 2)
    assert (short.importance, short.target_s) == (call.Importance.SHEDDABLE, 1.5)


@pytest.mark.parametrize(("path", "host"), [("/x/1", "b.example"), ("/y/", "a.example")])
def test_a_call_that_matches_no_route_gets_status_404(parse, path, host):
    with pytest.raises(errors.CallError) as raised:
        routing.RouteTable(parse(CONFIGURATION)).match("GET", path, host)
    assert raised.value.status == 404


def test_rates_bursts_and_importances_of_teams_and_timeouts_of_limits_are_parsed(parse):
    parsed = parse(CONFIGURATION)
    ward, desk = parsed.teams["ward"], parsed.teams["desk"]
    assert (ward.rate, ward.burst, ward.importance) == (68, 70, call.Importance.STANDARD)
    assert (desk.rate, desk.importance) == (float("inf"), None)
    assert parsed.limits.header_timeout_s == 3.0 and parsed.limits.idle_timeout_s == 15.0


def test_a_key_that_a_new_version_omits_is_refused(parse):
    routes = routing.CurrentRoutes()
    routes.replace(parse(CONFIGURATION))
    key_ring = text_keys.TextKeys(routes)
    assert key_ring.check("Bearer k2", 0.0).team == "ward"
    tenants = [{**CONFIGURATION["tenants"][0], "api_keys": ["k1"]}]
    routes.replace(parse({**CONFIGURATION, "tenants": tenants}))
    for key in ("Bearer k2", "Bearer", None, "Basic k1"):
        with pytest.raises(errors.CallError) as raised:
            key_ring.check(key, 0.0)
        assert raised.value.status == 401


@pytest.mark.parametrize(
    "broken", [{}, {**CONFIGURATION, "clusters": [{"name": "slots"}]}, {"listeners": 3}]
)
def test_the_error_for_a_broken_configuration_names_the_configuration(parse, broken):
    with pytest.raises(errors.SettingsError, match="test"):
        parse(broken)
