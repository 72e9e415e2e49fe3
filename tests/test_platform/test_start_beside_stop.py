"""A process that is started while the one before it, on the same ports, is still in its stop."""

import contextlib
import http.client
import json
import signal
import socket

import pytest

from standins import processes
from tests.test_platform import test_process_start

STOPPING_LINE = "node.stopping"
WAITING_LINE = "waits up to"
BODY = b"0123456789"


@pytest.fixture
def program(tmp_path):
    return test_process_start.Program(tmp_path, grace="60s")


@pytest.fixture
def starts(program):
    """Starts the program; ends all processes that still run after the test."""
    started = []

    def start():
        started.append(program.start())
        return started[-1]

    yield start
    for process in started:
        process.kill()
        process.wait()


def _begin_request(program):
    """Sends the first half of a request, which a stopping node waits for."""
    connection = socket.create_connection(("127.0.0.1", program.ports[1]), timeout=60)
    head = f"POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: {len(BODY)}\r\n\r\n"
    connection.sendall(head.encode() + BODY[:5])
    return connection


def _readiness(program):
    """Returns the status of the readiness check, None if nothing listens there."""
    connection = http.client.HTTPConnection("127.0.0.1", program.ports[3], timeout=60)
    with contextlib.closing(connection), contextlib.suppress(ConnectionError):
        connection.request("GET", "/ready")
        return connection.getresponse().status


def _incarnation(log):
    return json.loads(log.splitlines()[0])["incarnation"]


def _stop_with_a_request_under_way(program, starts):
    first = starts()
    program.wait_for_line(test_process_start.SERVING_LINE, first)
    request = _begin_request(program)
    first.terminate()
    program.wait_for_line(STOPPING_LINE, first)
    return first, request


# The next process ended at once with status 1, and nobody served the host any more.
def test_a_start_beside_a_stop_serves_once_the_stop_has_ended(program, starts):
    first, request = _stop_with_a_request_under_way(program, starts)
    second = starts()
    program.wait_for_line(WAITING_LINE, second)
    assert "'addresses.ready'" in program.log()
    assert _readiness(program) == 503
    assert first.poll() is None, "the first process still had a request to answer"
    request.sendall(BODY[5:])
    assert request.makefile("rb").readline().startswith(b"HTTP/1.1 503")
    assert first.wait(60) == 0
    program.wait_for_line(test_process_start.SERVING_LINE, second)
    assert program.log().count(WAITING_LINE) == 1
    assert "all ports are bound after a wait" in program.log()
    assert _readiness(program) == 503
    assert _incarnation(program.log(0)) < _incarnation(program.log(1))
    second.terminate()
    assert second.wait(60) == 0


def test_a_process_that_waits_for_its_ports_takes_reloads_and_stops(program, starts):
    first, request = _stop_with_a_request_under_way(program, starts)
    second = starts()
    program.wait_for_line(WAITING_LINE, second)
    second.send_signal(signal.SIGHUP)
    program.wait_for_line("settings reloaded", second)
    second.terminate()
    assert second.wait(60) == 0
    assert test_process_start.SERVING_LINE not in program.log()
    assert first.poll() is None
    request.sendall(BODY[5:])
    assert request.makefile("rb").readline().startswith(b"HTTP/1.1 503")
    assert first.wait(60) == 0


# Of two processes that start together, one has all ports and the other none.
def test_of_two_processes_that_start_together_one_serves_and_the_other_waits(program, starts):
    both = [starts(), starts()]

    def is_decided():
        assert all(process.poll() is None for process in both)
        logs = [program.log(0), program.log(1)]
        return any(WAITING_LINE in log for log in logs) and any(
            test_process_start.SERVING_LINE in log for log in logs
        )

    processes.wait_until(is_decided, "one process serves and the other waits")
    waiting = next(index for index in range(2) if WAITING_LINE in program.log(index))
    both[1 - waiting].terminate()
    assert both[1 - waiting].wait(60) == 0
    program.wait_for_line(test_process_start.SERVING_LINE, both[waiting], waiting)


# A wait must not hold ports: a client would connect to a process that doesn't serve.
@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_process_that_waits_for_a_port_listens_on_none(program, starts, kind):
    control = ("127.0.0.1", program.ports[0])
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind(control)
        if kind == socket.SOCK_STREAM:
            taken.listen()
        process = starts()
        program.wait_for_line(WAITING_LINE, process)
        assert "'addresses.control'" in program.log()
        for port in program.ports[1:4]:
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", port), timeout=60)
    program.wait_for_line(test_process_start.SERVING_LINE, process)
