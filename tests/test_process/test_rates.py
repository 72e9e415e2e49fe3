"""No team above its rate and burst over all hosts together, in any window."""

import pytest

from standins import history
from tests import fleet

LIMIT = history.Limit(rate=10, burst=10)


@pytest.mark.parametrize("fault", ["none", "kill", "pause", "outage"])
def test_greedy_team_stays_within_rate_and_burst(rig, fault):
    hosts = tuple(rig.fleet.members)
    pending = rig.begin_send(rig.stream("small", "rows", 80, 2, hosts), seed=len(fault))
    before = len(rig.runs())
    fleet.processes.wait_until(lambda: len(rig.runs()) > before + 2, "calls run")
    node = rig.fleet.members["front-1"].node
    if fault == "kill":
        node.kill()
        node.start()
    elif fault == "pause":
        node.pause()
    elif fault == "outage":
        rig.fleet.platform_faults(outage=True)
    if fault == "pause":
        fleet.processes.wait_until(lambda: len(rig.runs()) > before + 12, "more calls run")
        node.resume()
    attempts = pending.result()
    admitted = history.admitted_intervals(attempts, rig.runs(), "small")
    assert history.above_rate(admitted, LIMIT) == []
    assert len(admitted) < len(attempts)
