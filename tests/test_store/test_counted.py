"""Each request to the platform is counted once, by kind, operation and result."""

import collections

import pytest

from bergamotridge import errors
from bergamotridge.store import counted, position
from standins import store
from tests import fake_objects, positions


def test_requests_are_counted_by_kind_operation_and_result():
    counts = collections.Counter()
    fake = fake_objects.FakeObjects(store.Store())
    client = counted.CountedStore(fake, lambda *labels: counts.update([labels]))
    version = client.put("quota", "a", 1, position.START)
    client.get("quota", "a")
    client.get("quota", "a", eventual=True)
    client.list("nodes", eventual=True)
    with pytest.raises(errors.NotFoundError):
        client.get("quota", "b")
    with pytest.raises(errors.ConflictError):
        client.put("quota", "a", 2, positions.at(version.revision + 1))
    fake.faults.outage = True
    with pytest.raises(errors.PlatformUnavailableError):
        client.list("nodes")
    assert counts == {
        ("quota", "put", counted.OK): 1,
        ("quota", "get", counted.OK): 1,
        ("quota", "get-stale", counted.OK): 1,
        ("nodes", "list-stale", counted.OK): 1,
        ("quota", "get", counted.NOT_FOUND): 1,
        ("quota", "put", counted.CONFLICT): 1,
        ("nodes", "list", counted.UNAVAILABLE): 1,
    }
