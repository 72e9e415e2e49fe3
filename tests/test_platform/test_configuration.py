"""Parsing of the platform's configuration into the operator's text."""

import hypothesis
import orjson
import pytest
from hypothesis import strategies as st

from bergamotridge import call, errors
from bergamotridge.callers import text_keys
from bergamotridge.nodes import routing
from tests import odd_values
from tests.test_platform import test_node_environment

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


@pytest.mark.parametrize(
    ("value", "path"),
    [("/health", "/health"), *((odd, "") for odd in (None, 5, "", "x", "/a b", "/a\r\nb: c"))],
)
def test_a_health_path_that_cannot_be_sent_is_none(parse, value, path):
    clusters = [{"name": "slots", "health_path": value}, {"name": "fees"}]
    text = parse({**CONFIGURATION, "clusters": clusters})
    assert [text.services[name].health_path for name in ("slots", "fees")] == [path, ""]


# Guards against a misread bound, parts that are on without theirs, and late evacuations.
def test_cold_upstreams_and_evacuations_are_on_only_with_their_bounds(parse):
    from hosting import machine_settings, node_environment

    clusters = [{"name": "slots", "cold_start": "3s", "cold_per_s": 2.65}, {"name": "fees"}]
    services = parse({**CONFIGURATION, "clusters": clusters}).services
    assert (services["slots"].cold_rate, services["slots"].cold_start_s) == (2.65, 3.0)
    assert (services["fees"].cold_rate, services["fees"].cold_start_s) == (0.0, 0.0)
    for bounds, settings_ in (
        ("", (False, False, 1.5)),
        (",cold_overshoot=0.5,evacuate=5000ms", (True, True, 1.5)),
        (",evacuate=1s", (False, True, 0.75)),
    ):
        lines = test_node_environment.LINES.replace("grace=6s", f"grace=6s{bounds}")
        node = node_environment.make_node_settings(machine_settings.parse(lines))
        platform = node.platform
        assert (node.limits.bounds_cold, platform.evacuations, platform.max_age_s) == settings_


def test_the_longest_matching_path_prefix_of_the_host_selects_the_route(parse):
    table = routing.RouteTable(parse(CONFIGURATION))
    long = table.match("POST", "/x/y/1", "a.example").route
    assert (long.service, long.repeatable, long.open, long.timeout_s) == ("fees", False, True, 2.5)
    short = table.match("GET", "/x/1", "A.example").route
    assert (short.services, short.repeatable, short.attempts) == (("slots", "fees"), True, 2)
    assert (short.importance, short.target_s) == (call.Importance.SHEDDABLE, 1.5)


# Downloads were taken for calls that run at most once, and not sent on after a failed attempt.
@pytest.mark.parametrize(
    ("kind", "repeatable"),
    [("safe", True), ("download", True), ("unsafe", False), ("upload", False), (None, False)],
)
def test_only_calls_on_routes_of_idempotent_kinds_may_be_repeated(parse, kind, repeatable):
    rule = {**CONFIGURATION["listeners"][0]["rules"][0], "kind": kind}
    routes = parse({**CONFIGURATION, "listeners": [{"host": "a.example", "rules": [rule]}]}).routes
    assert routes["a.example/x/"].repeatable is repeatable


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


# A configuration without tenants knows no key, and all its routes that aren't public answered 401.
@pytest.mark.parametrize(("tenants", "is_open"), [({}, True), ({"tenants": []}, False)])
def test_only_a_configuration_with_tenants_asks_for_keys(parse, tenants, is_open):
    without = {key: value for key, value in CONFIGURATION.items() if key != "tenants"}
    routes = parse({**without, **tenants}).routes
    assert (routes["a.example/x/"].open, routes["a.example/x/y/"].open) == (is_open, True)


@pytest.mark.parametrize(
    "broken", [{}, {**CONFIGURATION, "clusters": [{"name": "slots"}]}, {"listeners": 3}]
)
def test_the_error_for_a_broken_configuration_names_the_configuration(parse, broken):
    with pytest.raises(errors.SettingsError, match="test"):
        parse(broken)


REPLACED = "replaced"
VALID_RULE = CONFIGURATION["listeners"][0]["rules"][0]
PARTS = {
    "tenants": CONFIGURATION["tenants"][0],
    "clusters": CONFIGURATION["clusters"][0],
    "action": VALID_RULE["action"],
    "weighted_clusters": VALID_RULE["action"]["weighted_clusters"][0],
    "rule": VALID_RULE,
    "limits": CONFIGURATION["limits"],
}


def _with_part(part, text):
    """Returns the text of the configuration with one of its parts replaced by a JSON text."""
    action = {**VALID_RULE["action"], "weighted_clusters": [REPLACED]}
    rules_by_part = {
        "rule": REPLACED,
        "action": {**VALID_RULE, "action": REPLACED},
        "weighted_clusters": {**VALID_RULE, "action": action},
    }
    rules = [rules_by_part.get(part, VALID_RULE)]
    table = {**CONFIGURATION, "listeners": [{"host": "a.example", "rules": rules}]}
    if part == "limits":
        table[part] = REPLACED
    elif part in table:
        table[part] = [*table[part], REPLACED]
    return orjson.dumps(table).decode().replace(f'"{REPLACED}"', text)


CHANGED = st.sampled_from(sorted(PARTS)).flatmap(
    lambda part: odd_values.changed(PARTS[part]).map(lambda text: _with_part(part, text))
)


# A text as the keys of a team gave it each letter for a key, a negative rate no limit; weights that
# are all 0, and names that are none, failed each call later on.
@odd_values.SETTINGS
@hypothesis.given(source=CHANGED | odd_values.TEXTS)
@hypothesis.example(source=_with_part("tenants", '{"name":"x","api_keys":"k1"}'))
@hypothesis.example(source=_with_part("tenants", '{"name":"x","rate_per_s":-5}'))
@hypothesis.example(source=_with_part("weighted_clusters", '{"service":"slots","weight":0}'))
@hypothesis.example(source=_with_part("limits", f'{{"idle_timeout":{odd_values.nested(200)}}}'))
def test_whatever_a_configuration_holds_it_is_rejected_or_can_be_used(source):
    from hosting import configuration

    try:
        text = configuration.parse(source, "test")
    except errors.SettingsError as error:
        assert len(str(error)) < 1000
        return
    routing.RouteTable(text)
    for route in text.routes.values():
        assert 0.0 <= route.timeout_s < float("inf")
        assert not route.shares or sum(share.weight for share in route.shares) > 0.0
    for team in text.teams.values():
        team.name.encode()
        assert team.rate > 0.0 and all(len(key) > 1 for key in team.keys)
    orjson.dumps([text.limits.header_bytes, [team.burst for team in text.teams.values()]])
