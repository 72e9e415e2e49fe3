"""Servers that answer without end take no more memory of a node than it may hold."""

import concurrent.futures
import contextlib

import pytest

from standins import endless, fleet, processes
from tests import process_usage

HELD = 16_777_216
MARGIN = 16_777_216  # For the connections, the parser and what the allocator keeps.
CROWD = 24
DESCRIPTORS = 4 * CROWD  # Above those of the idle process: each call takes two, and may be retried.
SETTINGS = f"[limits]\nheld_bytes = {HELD}\nanswers_bytes = {HELD // 2}\n"
TEXT = """
[services.faulty]
slots = 40
[services.sound]
slots = 20
[routes.faulty]
method = "GET"
path = "/faulty"
service = "faulty"
open = true
timeout_s = 8.0
[routes.sound]
method = "POST"
path = "/sound"
service = "sound"
open = true
timeout_s = 8.0
"""
HOSTS = (
    fleet.Host("entry", "east", "sound", slots=20),
    fleet.Host("flooded", "east", "faulty", slots=40, settings=SETTINGS),
)


@pytest.fixture
def running(tmp_path):
    with fleet.Fleet(tmp_path, HOSTS, TEXT) as made:
        made.wait_ready()
        yield made


def is_answered(running):
    """Returns whether the flooded node answers an ordinary request of an ordinary caller."""
    with contextlib.suppress(OSError):
        return running.call("flooded", "POST", "/sound", tag="one").status == 200
    return False


def call_faulty(running, tag):
    """Returns the status of the answer to a call, which the server answers without end."""
    return running.call("flooded", "GET", "/faulty", tag=tag, timeout_s=60.0).status


# Each answer had a bound and all of them together had none, so that the machine that had called ran
# out of memory and the requests of others ended with its process.
@pytest.mark.parametrize("part", endless.Part)
def test_answers_without_end_leave_a_node_within_its_memory_and_answering(running, part):
    member = running.members["flooded"]
    pid = member.node.pid
    idle_bytes = process_usage.read_resident_bytes(pid)
    idle_descriptors = process_usage.count_descriptors(pid)
    member.inject_faults(endless=part)
    with concurrent.futures.ThreadPoolExecutor(CROWD) as pool:
        calls = [pool.submit(call_faulty, running, f"tag-{number}") for number in range(CROWD)]
        processes.wait_until(lambda: is_answered(running), "an ordinary request is answered")
        assert process_usage.count_descriptors(pid) - idle_descriptors < DESCRIPTORS
        # Each caller gets an answer, and no part of what the server has sent.
        assert {call.result() for call in calls} <= {502, 503, 504}
    assert any(line["event"] == "poured" for line in running.records())
    assert process_usage.read_peak_bytes(pid) - idle_bytes < HELD + MARGIN
    assert member.node.running
    assert is_answered(running)
