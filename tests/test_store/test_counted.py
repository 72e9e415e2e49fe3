"""Each request to the platform is counted once, by kind, operation and result."""

import collections

import pytest

from bergamotridge import errors, malformed
from bergamotridge.store import client, counted, position
from standins import store
from tests import fake_objects, positions


def test_requests_are_counted_by_kind_operation_and_result():
    counts = collections.Counter()
    fake = fake_objects.FakeObjects(store.Store())
    objects = counted.CountedStore(fake, lambda *labels: counts.update([labels]))
    version = objects.put("quota", "a", 1, position.START)
    objects.get("quota", "a")
    objects.get("quota", "a", eventual=True)
    objects.list("nodes", eventual=True)
    with pytest.raises(errors.NotFoundError):
        objects.get("quota", "b")
    with pytest.raises(errors.ConflictError):
        objects.put("quota", "a", 2, positions.at(version.revision + 1))
    fake.faults.outage = True
    with pytest.raises(errors.PlatformUnavailableError):
        objects.list("nodes")
    assert counts == {
        ("quota", "put", counted.OK): 1,
        ("quota", "get", counted.OK): 1,
        ("quota", "get-stale", counted.OK): 1,
        ("nodes", "list-stale", counted.OK): 1,
        ("quota", "get", counted.NOT_FOUND): 1,
        ("quota", "put", counted.CONFLICT): 1,
        ("nodes", "list", counted.UNAVAILABLE): 1,
    }


class OddObjects(fake_objects.FakeObjects):
    """A store in which other software left an object that cannot be read."""

    REPORT = malformed.MalformedEntry("nodes", "b", "odd")

    def list(self, kind, *, eventual=False):
        return client.Listing((), 1, (self.REPORT,))

    def get(self, kind, name, *, eventual=False):
        raise errors.MalformedObjectError("odd")


def test_objects_that_cannot_be_read_are_reported():
    reports, counts = [], collections.Counter()
    objects = counted.CountedStore(
        OddObjects(store.Store()), lambda *labels: counts.update([labels]), reports.append
    )
    objects.list("nodes")
    with pytest.raises(errors.MalformedObjectError):
        objects.get("nodes", "b")
    assert reports == [OddObjects.REPORT] * 2
    assert counts["nodes", "get", counted.MALFORMED] == 1
