"""The watch task against the stand-in platform: changes, outages, stale responses."""

import contextlib
import json
import random
import time

import pytest

from bergamotridge import errors
from bergamotridge.store import (
    apply,
    client,
    configuration,
    freshness,
    position,
    read_policy,
    watch,
)
from bergamotridge.util import clock
from tests import odd_values, positions

TEXT = "[services.booking]\n"
FAST_TIMINGS = watch.WatchTimings(
    max_first_delay_s=0.01,
    max_age_s=0.1,
    wait_s=0.5,
    backoff_base_s=0.01,
    backoff_cap_s=0.05,
    min_interval_s=0.0,
    max_check_s=0.01,
)
RELY_ON_PEERS = read_policy.ReadDuty(1.0, retry_cap_s=0.05)
TIMEOUT_S = 20.0


@contextlib.contextmanager
def _running_watch(server, duty=read_policy.ALWAYS_WATCH, known_freshness=None):
    store = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    replica = configuration.ConfigurationStore()
    known_freshness = known_freshness or freshness.Freshness()
    task = watch.Watcher(
        store, replica, known_freshness, FAST_TIMINGS, random.Random(1), lambda: duty
    )
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


@pytest.mark.parametrize("duty", [read_policy.ALWAYS_WATCH, RELY_ON_PEERS])
def test_changes_arrive_before_and_after_an_outage(server, duty):
    faults = server.RequestHandlerClass.platform.change_faults
    with _running_watch(server, duty) as (store, replica, task):
        first = apply.apply(store, TEXT, position.START)
        _wait_until(lambda: replica.version.seen == first.version)
        faults({"outage": True})
        _wait_until(lambda: task.reachable is False)
        assert replica.current.version == first.version
        faults({"outage": False})
        second = apply.apply(store, TEXT, first.version)
        _wait_until(lambda: replica.version.seen == second.version)


def test_a_stale_response_does_not_revert_the_configuration(server):
    faults = server.RequestHandlerClass.platform.change_faults
    with _running_watch(server) as (store, replica, _):
        first = apply.apply(store, TEXT, position.START)
        faults({"stale_reads": True})
        store.put("configuration", "current", {"text": TEXT}, first.version)
        later = positions.at(first.version.revision + 1)
        replica.apply_version(later, TEXT)
        watches_before = server.RequestHandlerClass.platform.statistics.watches
        _wait_until(
            lambda: server.RequestHandlerClass.platform.statistics.watches > watches_before + 2
        )
        assert replica.current.version == later


class _PlatformInOutage:
    """A platform in an outage that counts requests."""

    def __init__(self):
        self.requests = 0

    def watch(self, kind, since, wait_s):
        self.requests += 1
        raise errors.PlatformUnavailableError("outage")


@pytest.mark.parametrize(
    ("duty", "fewest", "most"),
    [(read_policy.ALWAYS_WATCH, 20, 60), (read_policy.ReadDuty(0.5, retry_cap_s=20.0), 2, 6)],
)
def test_in_an_outage_only_nodes_that_watch_retry_soon(monkeypatch, duty, fewest, most):
    now = [100.0]
    monkeypatch.setattr(clock, "boot_time", lambda: now[0])
    platform, replica = _PlatformInOutage(), configuration.ConfigurationStore()
    task = watch.Watcher(
        platform,
        replica,
        freshness.Freshness(),
        watch.WatchTimings(),
        random.Random(1),
        lambda: duty,
    )
    while now[0] < 120.0:
        now[0] += max(0.01, task.request_once())
    assert fewest <= platform.requests <= most


class _PlatformWithUnknownObject:
    """A platform that always returns an object of a name unknown to the replica."""

    def watch(self, kind, since, wait_s):
        return client.Listing(
            (client.StoredObject(kind, "other", positions.at(9), 1),), positions.at(9)
        )


def test_a_watch_backs_off_when_the_replica_ignores_the_returned_objects():
    store = configuration.ConfigurationStore()
    timings = watch.WatchTimings(backoff_base_s=1.0, backoff_cap_s=64.0)
    task = watch.Watcher(
        _PlatformWithUnknownObject(), store, freshness.Freshness(), timings, random.Random(1)
    )
    assert sum(task.request_once() for _ in range(5)) > 10 * timings.min_interval_s


# A node whose machine had been suspended took its replica for as young as before.
def test_the_time_for_which_a_machine_was_suspended_counts_for_the_age(server, monkeypatch):
    suspended_s = [0.0]
    monkeypatch.setattr(clock, "boot_time", lambda: time.monotonic() + suspended_s[0])
    store = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    known = freshness.Freshness()
    task = watch.Watcher(
        store,
        configuration.ConfigurationStore(),
        known,
        watch.WatchTimings(max_age_s=60.0),
        random.Random(1),
        lambda: RELY_ON_PEERS,
    )
    known.confirm("configuration", clock.boot_time())
    task.request_once()
    assert task.reachable is None
    suspended_s[0] = 60.0
    task.request_once()
    assert task.reachable
    store.close()


# Each watch returned such an object again at once, and the replica never counted as current: all
# nodes read the platform by themselves.
@pytest.mark.parametrize("is_readable", [False, True])
def test_a_replica_is_current_beside_objects_that_it_cannot_use(server, is_readable):
    known = freshness.Freshness()
    with _running_watch(server, known_freshness=known) as (store, replica, _):
        if is_readable:
            store.put(configuration.KIND, "other", {"text": "x"}, position.START)
        else:
            server.RequestHandlerClass.platform.change_faults({"odd_items": [{"name": "x"}]})
        started_at = clock.boot_time()
        _wait_until(lambda: known.as_of(configuration.KIND) > started_at)
        version = apply.apply(store, TEXT, position.START).version
        _wait_until(lambda: replica.version.seen == version)


def test_an_operator_can_replace_a_configuration_that_is_nested_too_deeply(server):
    with _running_watch(server) as (store, replica, _):
        deep = json.loads(odd_values.nested(300))
        platform = server.RequestHandlerClass.platform
        revision = platform.store.put(configuration.KIND, configuration.NAME, 0, {"text": deep})
        version = positions.at(revision)
        _wait_until(lambda: replica.version.seen == version)
        assert replica.rejection_reason
        applied = apply.apply(store, TEXT, version)
        _wait_until(lambda: replica.current and replica.current.version == applied.version)
