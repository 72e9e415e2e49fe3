"""The watch task against the stand-in platform: changes, outages, stale responses."""

import contextlib
import random
import time

import pytest

from bergamotridge import errors
from bergamotridge.store import apply, client, configuration, watch

TEXT = "[services.booking]\n"
FAST_TIMINGS = watch.WatchTimings(
    max_first_delay_s=0.01,
    wait_s=0.5,
    poll_s=0.1,
    backoff_base_s=0.01,
    backoff_cap_s=0.05,
    min_interval_s=0.0,
    duty_check_s=0.01,
)
TIMEOUT_S = 20.0


@contextlib.contextmanager
def _running_watch(server, must_watch=lambda now: True):
    store = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    replica = configuration.ConfigurationStore()
    task = watch.Watcher(store, replica, FAST_TIMINGS, random.Random(1), must_watch)
    task.start()
    try:
        yield store, replica, task
    finally:
        task.stop()
        store.close()


def _wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


@pytest.mark.parametrize("watches", [True, False])
def test_changes_arrive_before_and_after_an_outage(server, watches):
    faults = server.RequestHandlerClass.platform.change_faults
    with _running_watch(server, lambda now: watches) as (store, replica, task):
        first = apply.apply(store, TEXT, 0)
        _wait_until(lambda: replica.version == first.version)
        faults({"outage": True})
        _wait_until(lambda: task.reachable is False)
        assert replica.current.version == first.version
        faults({"outage": False})
        second = apply.apply(store, TEXT, first.version)
        _wait_until(lambda: replica.version == second.version)


def test_a_stale_response_does_not_revert_the_configuration(server):
    faults = server.RequestHandlerClass.platform.change_faults
    with _running_watch(server) as (store, replica, _):
        first = apply.apply(store, TEXT, 0)
        faults({"stale_reads": True})
        store.put("configuration", "current", {"text": TEXT}, first.version)
        replica.apply_version(first.version + 1, TEXT)
        watches_before = server.RequestHandlerClass.platform.statistics.watches
        _wait_until(
            lambda: server.RequestHandlerClass.platform.statistics.watches > watches_before + 2
        )
        assert replica.current.version == first.version + 1


class _PlatformInOutage:
    """A platform in an outage that counts requests."""

    def __init__(self):
        self.requests = 0

    def watch(self, kind, since, wait_s):
        self.requests += 1
        raise errors.PlatformUnavailableError("outage")


@pytest.mark.parametrize(("watches", "expected"), [(True, 5), (False, 1)])
def test_in_an_outage_only_nodes_that_must_watch_retry_soon(watches, expected):
    platform, replica = _PlatformInOutage(), configuration.ConfigurationStore()
    task = watch.Watcher(
        platform, replica, watch.WatchTimings(), random.Random(1), lambda now: watches
    )
    for _ in range(5):
        task.request_once()
    assert platform.requests == expected


class _PlatformWithUnknownObject:
    """A platform that always returns an object of a name unknown to the replica."""

    def watch(self, kind, since, wait_s):
        return client.Listing((client.StoredObject(kind, "other", 9, 1),), 9)


def test_a_watch_backs_off_when_the_replica_ignores_the_returned_objects():
    store = configuration.ConfigurationStore()
    timings = watch.WatchTimings(backoff_base_s=1.0, backoff_cap_s=64.0)
    task = watch.Watcher(_PlatformWithUnknownObject(), store, timings, random.Random(1))
    assert sum(task.request_once() for _ in range(5)) > 10 * timings.min_interval_s
