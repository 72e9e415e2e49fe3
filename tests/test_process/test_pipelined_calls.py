"""Pipelined calls of one caller, from its connection through a real node to the upstream."""

import socket

import pytest

from standins import fleet as standin_fleet
from tests import fleet

SETTINGS = "[limits]\npipelined_calls = 4\n"
HOSTS = (standin_fleet.Host("back-1", "east", "back", slots=20, settings=SETTINGS),)
CALLS = 3
TIMEOUT_S = 30.0


@pytest.fixture
def rig(tmp_path):
    with standin_fleet.Fleet(tmp_path, HOSTS, fleet.TEXT) as running:
        keys = {"large": running.grant("large")}
        running.wait_ready()
        made = fleet.Rig(running, tmp_path, keys)
        yield made
        made.stop()


def send_pipelined(rig, method, path, tags):
    """Sends a call for each tag at once on one connection, and returns all that is answered."""
    key = rig.keys["large"].secret.encode()
    requests = [
        b"%s %s HTTP/1.1\r\nhost: a\r\nrequest-tag: %s\r\nauthorization: Bearer %s\r\n"
        b"content-length: 0\r\n%s\r\n" % (method, path, tag.encode(), key, end)
        for tag, end in zip(tags, [b""] * (len(tags) - 1) + [b"connection: close\r\n"], strict=True)
    ]
    host, port = rig.fleet.addresses("back-1").callers.split(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as client:
        client.sendall(b"".join(requests))
        received = b""
        while piece := client.recv(65_536):
            received += piece
    return received


def find_times(rig, event, tags):
    """Returns the times of an event at the upstream, in the order of the calls."""
    runs = {entry["run"]: entry["tag"] for entry in rig.fleet.records() if "tag" in entry}
    times = {
        runs[entry["run"]]: entry["time"]
        for entry in rig.fleet.records()
        if entry["event"] == event and entry.get("run") in runs
    }
    return [times[tag] for tag in tags]


# Guards against a slow call that keeps those behind it on its connection from being sent.
def test_pipelined_calls_run_side_by_side_and_are_answered_in_order(rig):
    rig.call_until_served("back-1", path="/rows")
    for _ in range(CALLS):
        # Each raises the limit of the gate, which starts with the first configuration.
        rig.call("back-1", "GET", "/rows", rig.tag())
    rig.inject_faults("back", service_ms=fleet.SLOW_SERVICE_MS)
    tags = [rig.tag() for _ in range(CALLS)]
    answers = send_pipelined(rig, b"GET", b"/rows", tags)
    assert answers.count(b"HTTP/1.1 200") == CALLS
    assert [answers.index(tag.encode()) for tag in tags] == sorted(
        answers.index(tag.encode()) for tag in tags
    )
    assert max(find_times(rig, "start", tags)) < min(find_times(rig, "end", tags))


# Guards against a payment that has run though its caller sends it again, as it counts as not read.
def test_pipelined_calls_that_may_not_be_repeated_run_one_after_the_other(rig):
    rig.call_until_served("back-1", path="/rows")
    tags = [rig.tag() for _ in range(CALLS)]
    answers = send_pipelined(rig, b"POST", b"/payments", tags)
    assert answers.count(b"HTTP/1.1 200") == CALLS
    starts, ends = find_times(rig, "start", tags), find_times(rig, "end", tags)
    assert all(end <= start for end, start in zip(ends, starts[1:], strict=False))
