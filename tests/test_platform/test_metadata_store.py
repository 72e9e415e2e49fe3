"""The client of the platform's metadata store, against scripted replies."""

import orjson
import pytest

from bergamotridge import errors
from bergamotridge.store import client, configuration, restorations
from tests import positions


class ScriptedTransport:
    """Transport that returns scripted replies in order and records the requests."""

    timeout_s = 2.0

    def __init__(self, *replies):
        self._replies = list(replies)
        self.requests = []

    def perform(self, method, path, body=None, timeout_s=None):
        self.requests.append((method, path, orjson.loads(body) if body else None, timeout_s))
        status, table, *epoch = self._replies.pop(0)
        headers = {"store-era": str(*epoch)} if epoch else {}
        return client.Reply(status, orjson.dumps(table), headers)


def object_json(name, revision, spec):
    return {"metadata": {"name": name, "revision": revision}, "spec": spec, "status": None}


@pytest.fixture
def make_store():
    from hosting import metadata_store

    def make(*replies):
        transport = ScriptedTransport(*replies)
        return metadata_store.MetadataStore(transport), transport

    return make


def test_the_platforms_configuration_is_returned_as_bergamotridges_object(make_store):
    store, transport = make_store(
        (200, {"items": [object_json("main", 7, {"version": "r4"})], "as_of": 9})
    )
    (item,) = store.list(configuration.KIND).items
    assert (item.name, item.version) == (configuration.NAME, positions.at(7))
    assert item.value[configuration.CHANGE_KEY] == "r4"
    assert transport.requests[0][1] == "/objects/config"


def test_a_watch_continues_from_the_last_revision_and_lists_after_status_410(make_store):
    store, transport = make_store(
        (200, {"items": [], "as_of": 9}),
        (200, {"events": [{"object": object_json("a", 11, 1), "deleted": False}], "as_of": 12}),
        (410, {"as_of": 40}),
        (200, {"items": [object_json("a", 33, 2)], "as_of": 40}),
    )
    store.watch("quota", positions.at(0), 1.0)
    assert store.watch("quota", positions.at(1), 1.0).items[0].version == positions.at(11)
    assert store.watch("quota", positions.at(11), 1.0).items[0].value == 2
    assert transport.requests[1][1] == "/objects/quota?watch=9&wait_ms=1000"
    assert transport.requests[2][1] == "/objects/quota?watch=12&wait_ms=1000"


def test_a_watch_without_a_response_times_out_at_most_a_second_after_its_wait(make_store):
    store, transport = make_store(
        (200, {"items": [], "as_of": 9}), (200, {"events": [], "as_of": 9})
    )
    store.watch("quota", positions.at(0), 1.2)
    store.watch("quota", positions.at(1), 1.2)
    assert transport.requests[1][3] <= 1.2 + 1.0


@pytest.mark.parametrize("version", [0, 5])
def test_a_write_sends_the_version_that_it_replaces(make_store, version):
    store, transport = make_store((200, object_json("t", 8, {})))
    assert store.put("quota", "t", {"x": 1}, positions.at(version)) == positions.at(8)
    method, path, body, _ = transport.requests[0]
    assert (method, path) == (
        ("PUT", "/objects/quota/t") if version else ("POST", "/objects/quota")
    )
    assert body["metadata"].get("revision", 0) == version


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (404, errors.NotFoundError),
        (429, errors.PlatformError),
        (503, errors.PlatformUnavailableError),
    ],
)
def test_each_error_status_of_the_store_raises_its_own_error(make_store, status, error):
    store, _ = make_store((status, {}))
    with pytest.raises(error):
        store.get("quota", "t")


def test_a_conflict_error_has_the_current_version(make_store):
    store, _ = make_store((409, object_json("t", 12, {})))
    with pytest.raises(errors.ConflictError) as raised:
        store.put("quota", "t", {}, positions.at(5))
    assert raised.value.version == positions.at(12)


def test_a_rise_of_the_stores_epoch_is_recorded_as_a_restoration():
    from hosting import metadata_store

    known = restorations.Restorations()
    transport = ScriptedTransport((200, object_json("t", 8, {}), 2), (503, {}, 3))
    store = metadata_store.MetadataStore(transport, known)
    store.get("quota", "t")
    assert (known.epoch, known.latest) == (2, None)
    with pytest.raises(errors.PlatformUnavailableError):
        store.get("quota", "t")
    assert known.latest.epoch == 3


@pytest.mark.parametrize("epoch", ["x", "-1", "1.5", ""])
def test_an_epoch_that_is_not_a_number_makes_the_answer_unreadable(make_store, epoch):
    store, _ = make_store((200, object_json("t", 8, {}), epoch))
    with pytest.raises(errors.PlatformUnavailableError):
        store.get("quota", "t")


# A watch went on in a history that was gone: its revisions had been given out again.
def test_a_watch_lists_all_objects_when_the_store_was_restored_since(make_store):
    store, transport = make_store(
        (200, {"items": [object_json("a", 9, 1)], "as_of": 12}, 1),
        (200, {"events": [{"object": object_json("b", 13, 1), "deleted": False}], "as_of": 14}, 2),
        (200, {"items": [object_json("a", 7, 2), object_json("b", 13, 1)], "as_of": 14}, 2),
    )
    store.watch("quota", positions.at(0), 1.0)
    listing = store.watch("quota", positions.at(9, epoch=1), 1.0)
    assert [item.version for item in listing.items] == [positions.at(7, 2), positions.at(13, 2)]
    assert [path for _, path, _, _ in transport.requests][2] == "/objects/quota"


def test_an_answer_of_an_earlier_epoch_that_arrives_late_is_not_used(make_store):
    store, _ = make_store(
        (200, object_json("a", 5, "new"), 2), (200, object_json("a", 90, "old"), 1)
    )
    assert store.get("quota", "a").version == positions.at(5, epoch=2)
    with pytest.raises(errors.PlatformUnavailableError):
        store.get("quota", "a")


# A conditional write succeeded by accident: its revision had been given out again.
def test_a_version_from_before_a_restoration_is_no_condition_of_a_write(make_store):
    store, transport = make_store((200, object_json("a", 5, 1), 2))
    store.get("quota", "a")
    for write in (
        lambda old: store.put("quota", "a", 2, old),
        lambda old: store.delete("quota", "a", old),
    ):
        with pytest.raises(errors.ConflictError):
            write(positions.at(5, epoch=1))
    assert len(transport.requests) == 1


def test_a_write_with_a_restoration_in_between_has_an_unknown_outcome(make_store):
    store, _ = make_store((200, object_json("a", 6, 2), 2), (200, object_json("b", 7, 1), 3))
    with pytest.raises(errors.PlatformUnavailableError):
        store.put("quota", "a", 2, positions.at(5, epoch=1))
    assert store.put("quota", "b", 1, positions.at(0, epoch=2)) == positions.at(7, epoch=3)


def test_pages_of_two_epochs_are_no_listing(make_store):
    store, _ = make_store(
        (200, {"items": [object_json("a", 1, 1)], "more": True, "as_of": 3}, 1),
        (200, {"items": [object_json("b", 2, 1)], "more": False, "as_of": 4}, 2),
    )
    with pytest.raises(errors.PlatformUnavailableError):
        store.list("quota")


@pytest.mark.parametrize(
    ("version", "number"), [("r12", 12), ("r", 0), ("12", 2), (7, 0), ("r" + "9" * 40, 0)]
)
def test_the_configurations_own_number_is_its_order(make_store, version, number):
    store, _ = make_store(
        (200, {"items": [object_json("main", 7, {"version": version})], "as_of": 9})
    )
    (item,) = store.list(configuration.KIND).items
    assert item.value[configuration.ORDER_KEY] == [0, number]


def test_all_pages_of_a_listing_are_read(make_store):
    store, transport = make_store(
        (200, {"items": [object_json("a", 1, 1)], "more": True, "as_of": 3}),
        (200, {"items": [object_json("b", 2, 1)], "more": False, "as_of": 4}),
    )
    assert [item.name for item in store.list("quota").items] == ["a", "b"]
    assert transport.requests[1][1].endswith("?after=a")
