"""The node's settings follow from what the deployment promises."""

import pytest

from bergamotridge import errors
from bergamotridge.callers import shutdown

LINES = """node_id=n1
zone=a
region=r
ip=10.0.0.1
listen.inbound=10.0.0.1:1
listen.outbound=10.0.0.1:2
listen.ready=10.0.0.1:3
listen.control=10.0.0.1:4
internal_ports=7000,7015
service=slots
platform.address=10.0.0.9:5
heartbeat=1500ms
bounds=grace=6s,drain=2000ms,config_apply=2000ms,retry_budget_ratio=0.2
unknown.key=1
"""
# From then on callers have been sent elsewhere, and no request may be cut off at the end.
TAKEN_OUT_S = 3.0


def _make_settings(lines):
    from hosting import machine_settings, node_environment

    return node_environment.make_node_settings(machine_settings.parse(lines))


def test_watch_and_drain_times_stay_inside_the_bounds_and_a_missing_key_is_named():
    node_settings = _make_settings(LINES)
    assert node_settings.platform.max_age_s < 2.0
    assert node_settings.addresses.control == "10.0.0.1:7000"
    assert node_settings.limits.drain_s < 6.0
    with pytest.raises(errors.SettingsError, match="zone"):
        _make_settings(LINES.replace("zone=a\n", ""))


# A deployment without the contract keeps the way of choosing upstreams that it had.
@pytest.mark.parametrize(
    ("contracts", "method"),
    [
        ("", "least-loaded"),
        ("contracts=pool", "expected-wait"),
        ("contracts=other, pool", "expected-wait"),
        ("contracts=pools,other", "least-loaded"),
    ],
)
def test_only_the_contract_pool_sets_the_choice_by_expected_wait(contracts, method):
    assert _make_settings(f"{LINES}{contracts}\n").balancing.method == method


# Deployments without the contract serve the requests of a connection one after the other.
@pytest.mark.parametrize(("contracts", "several"), [("", False), ("contracts=pool\n", True)])
def test_only_the_contract_pool_lets_pipelined_calls_overlap(contracts, several):
    limits = _make_settings(f"{LINES}limits.max_fds=4100\n{contracts}").limits
    assert (limits.pipelined_calls > 1) is several
    assert limits.caller_connections > 512


# With a grace of 10 s, requests of up to 5 s were passed on 5 s after SIGTERM and cut off at 9 s.
@pytest.mark.parametrize("grace_s", [2, 6, 10, 30])
def test_a_stop_takes_any_request_only_until_load_balancers_have_taken_the_node_out(grace_s):
    limits = _make_settings(LINES.replace("grace=6s", f"grace={grace_s}s")).limits
    assert limits.notice_s <= min(TAKEN_OUT_S, limits.drain_s)
    assert limits.drain_s < grace_s


# What a node holds for others was not derived from the memory above which it is killed.
@pytest.mark.parametrize("memory_mb", [100, 300, 2000])
def test_what_a_node_holds_for_others_leaves_a_third_of_its_memory_to_itself(memory_mb):
    limits = _make_settings(f"{LINES}limits.memory_mb={memory_mb}\n").limits
    assert limits.answers_bytes < limits.held_bytes <= memory_mb * 1_048_576 * 2 / 3
    assert _make_settings(LINES).limits.held_bytes == 134_217_728


# Connections ended at nine tenths of the grace; a process with little processor time was killed.
@pytest.mark.parametrize("grace_s", [4, 6, 10, 30])
def test_a_stop_ends_connections_once_calls_may_be_cut_off_and_no_later(grace_s):
    limits = _make_settings(LINES.replace("grace=6s", f"grace={grace_s}s")).limits
    work_s = limits.drain_s - shutdown.MARGIN_S
    assert grace_s * 5 / 6 <= work_s <= grace_s * 5 / 6 + 0.05
    assert limits.drain_s + limits.end_s < grace_s


# Other deployments keep the behaviour that they were tested with.
@pytest.mark.parametrize(
    ("contracts", "scarce"),
    [("", False), ("contracts=pools,grid\n", False), ("contracts=grid, pool\n", True)],
)
def test_only_the_contract_pool_turns_on_the_settings_for_scarce_services(contracts, scarce):
    assert _make_settings(LINES + contracts).shedding.scarce is scarce


@pytest.mark.parametrize(
    ("contracts", "dependencies"),
    [("", "service"), ("contracts=spool", "service"), ("contracts=rate, pool", "route")],
)
def test_dependencies_are_told_apart_by_route_only_with_the_contract(contracts, dependencies):
    assert _make_settings(LINES + contracts).shedding.dependencies == dependencies
