"""A team is limited to its rate and burst over all hosts together, in every time window."""

import pytest

from standins import history
from tests import fleet

LIMIT = history.Limit(rate=10, burst=10)


@pytest.mark.parametrize("fault", ["none", "kill", "pause", "outage"])
def test_team_above_its_rate_is_limited_to_rate_and_burst(rig, fault):
    hosts = tuple(rig.fleet.members)
    attempts_future = rig.start_load(rig.stream("small", "rows", 80, 2, hosts), seed=len(fault))
    run_count_before = len(rig.runs())
    fleet.processes.wait_until(
        lambda: len(rig.runs()) > run_count_before + 2, "upstreams run calls of the load"
    )
    node = rig.fleet.members["front-1"].node
    if fault == "kill":
        node.kill()
        node.start()
    elif fault == "pause":
        node.pause()
    elif fault == "outage":
        rig.fleet.inject_platform_faults(outage=True)
    if fault == "pause":
        fleet.processes.wait_until(
            lambda: len(rig.runs()) > run_count_before + 12, "upstreams run more calls of the load"
        )
        node.resume()
    attempts = attempts_future.result()
    admitted = history.admitted_intervals(attempts, rig.runs(), "small")
    assert history.find_rate_violations(admitted, LIMIT) == []
    assert len(admitted) < len(attempts)
