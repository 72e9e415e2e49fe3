"""The supervisor finds processes that end by themselves and planned stops that go wrong."""

import pytest

from soak import disturbances, supervisor
from standins import processes

NAME = "platform"
STOP_LIMIT_S = 60.0
SHORT_STOP_LIMIT_S = 0.2


@pytest.fixture
def started(tmp_path, request):
    """A process that serves, its supervisor and the log; the parameter is the limit for stops."""
    address = processes.Ports().allocate()
    process = processes.Process(NAME, ["standins.platform", f"--address={address}"], tmp_path)
    stop_limit_s = getattr(request, "param", STOP_LIMIT_S)
    item = supervisor.Supervised(process, disturbances.Part.PLATFORM, "", address, stop_limit_s)
    processes.wait_until(item.is_listening, "the process listens")
    log = disturbances.DisturbanceLog()
    supervising = supervisor.Supervisor([item], log, lambda: None)
    supervising.start()
    yield process, supervising, log
    supervising.close()
    process.kill()


def causes(log):
    return [entry.cause for entry in log.all()]


def test_process_that_was_stopped_is_started_again_without_a_finding(started):
    process, supervising, log = started
    pid = process.pid
    assert supervising.stop(NAME, 0.0)
    processes.wait_until(
        lambda: process.pid != pid and supervising.is_settled(), "it is started again"
    )
    assert supervising.findings == []
    assert causes(log) == [disturbances.Cause.STOP, disturbances.Cause.DOWN]
    assert all(entry.planned for entry in log.all())


def test_process_that_ends_by_itself_is_a_finding(started):
    process, supervising, _ = started
    process.kill()
    processes.wait_until(lambda: supervising.findings, "the end is found")
    assert supervising.findings == ["platform ended with code -9 after no signal"]


@pytest.mark.parametrize("started", [SHORT_STOP_LIMIT_S], indirect=True)
def test_planned_stop_without_an_end_is_a_finding(started):
    process, supervising, log = started
    process.pause()  # Unknown to the supervisor, so that the process seems to hang.
    assert supervising.stop(NAME, 0.0)
    processes.wait_until(lambda: supervising.findings, "the hanging stop is found")
    assert "still runs" in supervising.findings[0]
    processes.wait_until(supervising.is_settled, "it is killed and started again")
    assert disturbances.Cause.KILL in causes(log)


def test_paused_process_is_resumed(started):
    process, supervising, log = started
    assert supervising.pause(NAME, 0.1)
    assert not supervising.pause(NAME, 0.1)
    processes.wait_until(supervising.is_settled, "it is resumed")
    assert causes(log) == [disturbances.Cause.PAUSE]
    assert process.running
