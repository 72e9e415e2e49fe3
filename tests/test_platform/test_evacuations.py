"""Evacuations as they are read from the platform's store."""

import random

import pytest

from bergamotridge.store import evacuations, freshness, read_policy, restorations, watch
from tests.test_platform import wire_store

TIMINGS = watch.WatchTimings(min_interval_s=0.0, backoff_base_s=0.0, backoff_cap_s=0.0)


@pytest.fixture
def store():
    return wire_store.WireStore()


@pytest.fixture
def known():
    return evacuations.Evacuations()


@pytest.fixture
def read(store, known):
    """Makes one request of a node that watches the store."""
    from hosting import metadata_store

    rng, ages = random.Random(1), freshness.Freshness()
    transport = wire_store.WireTransport(store, rng, lambda: None)
    objects = metadata_store.MetadataStore(transport, restorations.Restorations())
    duty = read_policy.ALWAYS_WATCH
    return watch.Watcher(objects, known, ages, TIMINGS, rng, lambda: duty).request_once


# Guards against an evacuation that is missed without a spec, or stays after a missed deletion.
@pytest.mark.parametrize("loss", ["none", "compact", "restore"])
def test_an_evacuation_ends_with_its_object_whether_or_not_an_event_reports_that(
    store, known, read, loss
):
    read()
    store.now = 10.0
    store.write(evacuations.KIND, "a", None)
    del store.objects[evacuations.KIND, "a"]["spec"]
    read()
    assert known.domains == {"a"}
    if loss == "restore":
        store.restore(5.0)
    else:
        store.delete(evacuations.KIND, "a")
    if loss == "compact":
        store.compact()
    read()
    read()
    assert not known.domains


# Guards against requests to the store in quick succession while there is no evacuation.
def test_a_kind_without_objects_is_listed_once_and_then_watched(store, read):
    for _ in range(3):
        read()
    assert ["watch=" in path for _, path in store.requests] == [False, True, True]
