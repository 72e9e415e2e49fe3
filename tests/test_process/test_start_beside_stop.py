"""A node that is started while the one before it still answers calls in its stop."""

import pytest

from standins import fleet as standin_fleet
from standins import processes
from tests import fleet

DRAIN_S = 20.0
SERVICE_MS = 3000.0
HOSTS = (
    standin_fleet.Host(
        "back-1", "east", "back", settings=f"[limits]\nnotice_s = 0.2\ndrain_s = {DRAIN_S}"
    ),
)


@pytest.fixture
def rig(tmp_path):
    with standin_fleet.Fleet(tmp_path, HOSTS, fleet.TEXT) as running:
        running.wait_ready()
        rig = fleet.Rig(running, tmp_path, {"large": running.grant("large")})
        rig.call_until_served("back-1", path="/rows")
        yield rig
        rig.stop()


# The next process ended at once with status 1, and nobody served the host any more.
def test_calls_under_way_are_answered_and_the_next_process_serves(rig, tmp_path):
    rig.inject_faults("back", service_ms=SERVICE_MS)
    tag = rig.tag()
    call = rig.start_call("back-1", "POST", "/payments", tag)
    processes.wait_until(lambda: rig.runs(tag), "the payment runs")
    node = rig.fleet.members["back-1"].node
    node.terminate()
    arguments = ["bergamotridge", "node", "--settings", str(tmp_path / "back-1.toml")]
    following = processes.Process("back-1-following", arguments, tmp_path)

    def waits():
        assert following.running, f"the next process ended with {following.exit_code}"
        return "waits up to" in following.output.read_text(encoding="utf-8")

    try:
        processes.wait_until(waits, "the next process waits for its ports")
        assert node.running
        assert call.result().status == 200
        assert node.wait() == 0
        rig.inject_faults("back", service_ms=fleet.FAST_SERVICE_MS)
        rig.call_until_served("back-1", path="/rows")
        assert following.running
    finally:
        following.kill()
