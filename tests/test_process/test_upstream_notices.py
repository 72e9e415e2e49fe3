"""Upstreams that say in their answers how many calls they take, or that they are leaving."""

import collections
import time

import pytest

from standins import processes

RATE_LIMIT_PER_S = 10.0
# Within this time from the first answer that names a limit, the limit need not be kept yet.
CONTACT_S = 3.0
WINDOW_S = 4.0
DRAIN_S = 2.0  # Within this time an upstream that leaves must get no more calls.
MAX_CALLS_IN_WINDOW = 1.5 * RATE_LIMIT_PER_S * WINDOW_S + 5
LOAD_S = 9.0


@pytest.fixture
def leaving(rig):
    """An upstream whose answers say that it leaves, though its heartbeats don't; it ends later."""
    member = rig.members("back")[0]
    member.inject_faults(leaving=True, state="ready")
    yield member
    member.upstream.kill()


def most_calls_in_window(runs, first_end):
    """Returns the highest number of runs that start within one window ending after `first_end`."""
    starts = sorted(run.start for run in runs)
    ends = [start for start in starts if start >= first_end]
    return max((sum(end - WINDOW_S < start <= end for start in starts) for end in ends), default=0)


# An upstream that named a limit on its calls per second got as many calls as before.
def test_an_upstream_gets_no_more_calls_than_the_rate_limit_that_it_names(rig):
    limited, other = rig.members("back")
    limited.inject_faults(rate_limit=RATE_LIMIT_PER_S)
    named_at = time.monotonic()
    hosts = (limited.host.name, other.host.name)
    attempts = rig.send_load(rig.stream("large", "rows", 80, LOAD_S, hosts))
    runs = [run for run in rig.runs() if run.address == limited.addresses.server]
    assert most_calls_in_window(runs, named_at + CONTACT_S) <= MAX_CALLS_IN_WINDOW
    # The other upstream has room for all of them.
    assert collections.Counter(attempt.status for attempt in attempts) == {200: len(attempts)}


# An upstream said in its answers that it leaves, but not yet in its heartbeats, and got more calls.
def test_an_upstream_that_says_in_an_answer_that_it_leaves_gets_no_more_calls(rig, leaving):
    other = rig.members("back")[1]
    processes.wait_until(
        lambda: rig.call(leaving.host.name, "GET", "/rows", rig.tag()).status == 200, "an answer"
    )
    told_at = time.monotonic()
    hosts = (leaving.host.name, other.host.name)
    attempts = rig.send_load(rig.stream("large", "rows", 40, DRAIN_S + 2.0, hosts))
    runs = [run for run in rig.runs() if run.address == leaving.addresses.server]
    assert [run for run in runs if run.start > told_at + DRAIN_S] == []
    assert all(attempt.status == 200 for attempt in attempts)


# The node beside an upstream that leaves was started anew, and sent it calls of nodes that knew.
def test_a_restarted_node_sends_no_calls_of_nodes_that_know_that_the_upstream_leaves(rig, leaving):
    caller = rig.members("front")[0].host.name
    processes.wait_until(
        lambda: (
            rig.call(caller, "GET", "/rows", tag := rig.tag()).status == 200
            and rig.wait_for_run(tag, "back") is leaving
        ),
        "an answer of the upstream that leaves, to a node on another host",
    )
    told_at = time.monotonic()
    processes.wait_until(
        lambda: time.monotonic() > told_at + DRAIN_S, "the time to drain has passed"
    )
    load = rig.start_load(rig.stream("large", "rows", 40, 8.0, (caller,)))
    leaving.node.kill()
    leaving.node.start()
    attempts = load.result()
    runs = [run for run in rig.runs() if run.address == leaving.addresses.server]
    assert [run for run in runs if run.start > told_at + DRAIN_S] == []
    assert rig.find_violations(attempts) == []


def kill_and_start_all_nodes(rig):
    """Returns the monotonic time at which no node remembers what upstreams said."""
    nodes = [member.node for member in rig.fleet.members.values()]
    for node in nodes:
        node.kill()
    ended_at = time.monotonic()
    for node in nodes:
        node.start()
    rig.fleet.wait_ready()
    return ended_at


def runs_since(rig, member, since):
    """Returns the runs of an upstream that started after a time, in their order."""
    runs = [run for run in rig.runs() if run.address == member.addresses.server]
    return sorted((run for run in runs if run.start > since), key=lambda run: run.start)


# With all nodes the notice is forgotten; the upstream's next answer brings it back.
def test_after_a_kill_of_all_nodes_the_next_answer_of_an_upstream_that_leaves_counts(rig, leaving):
    hosts = tuple(rig.fleet.members)
    rig.send_load(rig.stream("large", "rows", 40, 1.0, hosts))
    assert runs_since(rig, leaving, 0.0)
    ended_at = kill_and_start_all_nodes(rig)
    attempts = rig.send_load(rig.stream("large", "rows", 40, DRAIN_S + 3.0, hosts))
    runs = runs_since(rig, leaving, ended_at)
    assert runs
    assert [run for run in runs if run.start > runs[0].start + DRAIN_S] == []
    assert rig.find_violations(attempts) == []


def test_after_a_kill_of_all_nodes_the_next_answer_of_an_upstream_with_a_limit_counts(rig):
    limited = rig.members("back")[0]
    limited.inject_faults(rate_limit=RATE_LIMIT_PER_S)
    hosts = tuple(rig.fleet.members)
    rig.send_load(rig.stream("large", "rows", 40, 1.0, hosts))
    assert runs_since(rig, limited, 0.0)
    ended_at = kill_and_start_all_nodes(rig)
    attempts = rig.send_load(rig.stream("large", "rows", 80, LOAD_S, hosts))
    runs = runs_since(rig, limited, ended_at)
    assert most_calls_in_window(runs, runs[0].start + CONTACT_S) <= MAX_CALLS_IN_WINDOW
    assert rig.find_violations(attempts) == []
