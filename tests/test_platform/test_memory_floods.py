"""Long bodies that never end don't take the memory of a node, nor the calls of others."""

import contextlib
import socket
import time

import pytest

from standins import processes
from tests import process_usage
from tests.test_platform import beside_a_node, test_process_start
from tests.test_platform.test_forgotten_leaves import Host

MEMORY_MB = 300
BODY_BYTES = 4_194_304
FLOODS = 90
HEARTBEAT_S = 1.0
HEAD = b"POST %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %d\r\n\r\n" % (
    beside_a_node.PATH.encode(),
    beside_a_node.HOST.encode(),
    BODY_BYTES,
)


@pytest.fixture
def host(tmp_path):
    program = test_process_start.Program(tmp_path)
    with program._settings.open("a", encoding="ascii") as settings:
        settings.write(f"limits.memory_mb={MEMORY_MB}\n")
    made = Host(program)
    with beside_a_node.serve_store(made.store), made.upstream.serve():
        try:
            made.start()
            yield made
        finally:
            made.kill()


# Request bodies of callers took more memory than a process may have, and it was killed.
def test_bodies_without_end_leave_a_node_below_its_memory_and_others_their_answers(host):
    processes.wait_until(lambda: host.first_answer_s(10.0) is not None, "the upstream is served")
    reported_at, statuses, refusals = 0.0, [], []
    with contextlib.ExitStack() as stack:
        for _ in range(FLOODS):
            flood = socket.create_connection(("127.0.0.1", host.callers), timeout=1.0)
            stack.enter_context(contextlib.closing(flood))
            refusals.append(flood_with_a_body(flood))
            if time.monotonic() - reported_at > HEARTBEAT_S:
                host.upstream.say("Heartbeat", host.upstream.report())
                reported_at = time.monotonic()
            statuses.append(beside_a_node.call(host.callers))
        peak = process_usage.read_peak_bytes(host.process.pid)
    assert set(statuses) == {200}
    assert peak < MEMORY_MB * 1_048_576
    assert {item[:12] for item in refusals} == {b"", b"HTTP/1.1 503"}


def flood_with_a_body(client):
    """Sends a body but for its last byte, and returns the refusal, b"" if there is none."""
    client.sendall(HEAD)
    client.settimeout(0.05)
    with contextlib.suppress(TimeoutError):
        return client.recv(1000)
    client.settimeout(5.0)
    with contextlib.suppress(ConnectionError, TimeoutError):  # It may be refused meanwhile.
        client.sendall(bytes(BODY_BYTES - 1))
    return b""
