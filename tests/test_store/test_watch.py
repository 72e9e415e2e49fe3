"""The watch task with the stand-in platform: changes, outages, stale answers."""

import contextlib
import random
import time

import pytest

from bergamotridge import errors
from bergamotridge.store import apply, client, configuration, watch

TEXT = "[services.booking]\n"
FAST = watch.WatchTimings(
    first_s=0.01,
    wait_s=0.5,
    poll_s=0.1,
    backoff_base_s=0.01,
    backoff_cap_s=0.05,
    gap_s=0.0,
    check_s=0.01,
)
PATIENCE_S = 20.0


@contextlib.contextmanager
def _watching(server, watches=lambda now: True):
    store = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    copy = configuration.ConfigurationStore()
    task = watch.Watcher(store, copy, FAST, random.Random(1), watches)
    task.start()
    try:
        yield store, copy, task
    finally:
        task.stop()
        store.close()


def _wait_for(condition):
    until = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.005)


@pytest.mark.parametrize("watches", [True, False])
def test_changes_arrive_before_and_after_an_outage(server, watches):
    faults = server.RequestHandlerClass.platform.change_faults
    with _watching(server, lambda now: watches) as (store, copy, task):
        first = apply.apply(store, TEXT, 0)
        _wait_for(lambda: copy.version == first.version)
        faults({"outage": True})
        _wait_for(lambda: task.reachable is False)
        assert copy.current.version == first.version
        faults({"outage": False})
        second = apply.apply(store, TEXT, first.version)
        _wait_for(lambda: copy.version == second.version)


def test_a_stale_answer_reverts_nothing(server):
    faults = server.RequestHandlerClass.platform.change_faults
    with _watching(server) as (store, copy, _):
        first = apply.apply(store, TEXT, 0)
        faults({"stale_reads": True})
        store.put("configuration", "current", {"text": TEXT}, first.version)
        copy.offer(first.version + 1, TEXT)
        seen = server.RequestHandlerClass.platform.statistics.watches
        _wait_for(lambda: server.RequestHandlerClass.platform.statistics.watches > seen + 2)
        assert copy.current.version == first.version + 1


class _Down:
    """A platform in an outage."""

    def __init__(self):
        self.asked = 0

    def watch(self, kind, since, wait_s):
        self.asked += 1
        raise errors.PlatformUnavailableError("outage")


@pytest.mark.parametrize(("watches", "expected"), [(True, 5), (False, 1)])
def test_in_an_outage_only_nodes_on_duty_ask_again_soon(watches, expected):
    down, copy = _Down(), configuration.ConfigurationStore()
    task = watch.Watcher(down, copy, watch.WatchTimings(), random.Random(1), lambda now: watches)
    for _ in range(5):
        task.ask()
    assert down.asked == expected


class _Foreign:
    """A platform that holds an object which the replica does not know."""

    def watch(self, kind, since, wait_s):
        return client.Listing((client.StoredObject(kind, "other", 9, 1),), 9)


def test_objects_that_are_not_taken_do_not_make_the_watch_spin():
    store = configuration.ConfigurationStore()
    timings = watch.WatchTimings(backoff_base_s=1.0, backoff_cap_s=64.0)
    task = watch.Watcher(_Foreign(), store, timings, random.Random(1))
    assert sum(task.ask() for _ in range(5)) > 10 * timings.gap_s
