"""A node is killed after it has confirmed that its upstream leaves; a late report arrives."""

import time

import pytest

from standins import processes
from tests.test_platform import beside_a_node, test_process_start

WATCHED_S = 3.0


class Host:
    """A node, its upstream and the store."""

    def __init__(self, program):
        self.program = program
        _, self.callers, _, self.ready, control, upstream, self.store = program.ports
        self.upstream = beside_a_node.Upstream(upstream, control)
        self.process = None

    def start(self):
        self.process = self.program.start()
        processes.wait_until(self._is_ready, "the node is ready")

    def _is_ready(self):
        assert self.process.poll() is None, self.program.log()
        return beside_a_node.is_ready(self.ready)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def wait_until_served(self):
        """Waits, without a further report, until a call is answered 200."""
        processes.wait_until(
            lambda: beside_a_node.call(self.callers) == 200, "the upstream gets calls"
        )

    def first_answer_s(self, limit_s):
        """Returns after how many seconds of reports, in their rhythm, a call is answered 200."""
        started = next_report = time.monotonic()
        while time.monotonic() < started + limit_s:
            if time.monotonic() >= next_report:
                assert self.upstream.say("Heartbeat", self.upstream.report()) == 200
                next_report += 1.5
            if beside_a_node.call(self.callers) == 200:
                return time.monotonic() - started
            time.sleep(0.05)
        return None


@pytest.fixture
def host(tmp_path):
    made = Host(test_process_start.Program(tmp_path))
    with beside_a_node.serve_store(made.store), made.upstream.serve():
        try:
            made.start()
            yield made
        finally:
            made.kill()


# The process that followed took the late report for one of now, and sent calls to the upstream.
@pytest.mark.parametrize(
    ("restarted_before", "body", "late_s"),
    [(False, b"", 3.0), (False, b'{"born":%d}', 5.4), (True, b"", 3.0)],
)
def test_a_late_report_after_a_kill_does_not_undo_a_confirmed_leave(
    host, restarted_before, body, late_s
):
    upstream = host.upstream
    assert host.first_answer_s(10.0) is not None
    if restarted_before:
        host.kill()
        host.start()
    late = upstream.report()
    upstream.healthy = False
    assert upstream.say("Deregister", body and body % upstream.born) == 200
    left_at = time.monotonic()
    host.kill()
    host.start()
    time.sleep(max(0.0, left_at + late_s - time.monotonic()))
    runs = len(upstream.runs)
    assert upstream.say("Heartbeat", late) == 200
    watched_until = time.monotonic() + WATCHED_S
    while time.monotonic() < watched_until:
        assert beside_a_node.call(host.callers) == 503
        time.sleep(0.05)
    assert len(upstream.runs) == runs


def test_an_upstream_that_lives_is_served_after_its_first_report_to_a_node_started_anew(host):
    assert host.first_answer_s(10.0) is not None
    host.kill()
    host.start()
    upstream = host.upstream
    checks = len(upstream.health_checks)
    assert upstream.say("Heartbeat", upstream.report()) == 200
    host.wait_until_served()
    assert len(upstream.health_checks) == checks + 1


# An upstream that was full when it was asked stayed without calls until its reports were proof.
def test_an_upstream_that_refuses_a_health_check_has_another_with_its_next_report(host):
    assert host.first_answer_s(10.0) is not None
    host.kill()
    host.start()
    upstream = host.upstream
    upstream.healthy = False
    checks = len(upstream.health_checks)
    assert upstream.say("Heartbeat", upstream.report()) == 200
    processes.wait_until(lambda: len(upstream.health_checks) == checks + 1, "a health check")
    upstream.healthy = True
    # The refusal may still be on its way when the next report comes.
    processes.wait_until(
        lambda: (
            upstream.say("Heartbeat", upstream.report()) == 200
            and len(upstream.health_checks) > checks + 1
        ),
        "a second health check",
    )
    host.wait_until_served()


# A report was acknowledged only once the upstream had answered what it was asked for it.
def test_a_report_is_acknowledged_while_the_upstream_is_asked(host):
    assert host.first_answer_s(10.0) is not None
    host.kill()
    host.start()
    upstream = host.upstream
    with upstream.hold_health_checks():
        checks = len(upstream.health_checks)
        assert upstream.say("Heartbeat", upstream.report()) == 200
        processes.wait_until(lambda: len(upstream.health_checks) > checks, "a health check")
        assert upstream.say("Heartbeat", upstream.report()) == 200
