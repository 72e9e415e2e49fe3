"""The metadata store behind the product's object API, with scripted answers."""

import orjson
import pytest

from bergamotridge import errors
from bergamotridge.store import client, configuration


class Script:
    """A transport that gives scripted replies and keeps what was asked."""

    timeout_s = 2.0

    def __init__(self, *replies):
        self._replies = list(replies)
        self.asked = []

    def perform(self, method, path, body=None, timeout_s=None):
        self.asked.append((method, path, orjson.loads(body) if body else None, timeout_s))
        status, table = self._replies.pop(0)
        return client.Reply(status, orjson.dumps(table))


def stored(name, revision, spec):
    return {"metadata": {"name": name, "revision": revision}, "spec": spec, "status": None}


@pytest.fixture
def make():
    from hosting import store

    def made(*replies):
        script = Script(*replies)
        return store.MetadataStore(script), script

    return made


def test_the_operators_configuration_becomes_the_products_object(make):
    store, script = make((200, {"items": [stored("main", 7, {"version": "r4"})], "as_of": 9}))
    (item,) = store.list(configuration.KIND).items
    assert (item.name, item.version) == (configuration.NAME, 7)
    assert item.value[configuration.CHANGE_KEY] == "r4"
    assert script.asked[0][1] == "/objects/config"


def test_a_watch_goes_on_from_the_revision_seen_and_lists_when_history_is_gone(make):
    store, script = make(
        (200, {"items": [], "as_of": 9}),
        (200, {"events": [{"object": stored("a", 11, 1), "deleted": False}], "as_of": 12}),
        (410, {"as_of": 40}),
        (200, {"items": [stored("a", 33, 2)], "as_of": 40}),
    )
    store.watch("quota", 0, 1.0)
    assert store.watch("quota", 1, 1.0).items[0].version == 11
    assert store.watch("quota", 11, 1.0).items[0].value == 2
    assert script.asked[1][1] == "/objects/quota?watch=9&wait_ms=1000"
    assert script.asked[2][1] == "/objects/quota?watch=12&wait_ms=1000"


def test_a_watch_that_goes_deaf_is_given_up_soon(make):
    store, script = make((200, {"items": [], "as_of": 9}), (200, {"events": [], "as_of": 9}))
    store.watch("quota", 0, 1.2)
    store.watch("quota", 1, 1.2)
    assert script.asked[1][3] <= 1.2 + 1.0


def test_the_longest_wait_of_a_watch_stays_inside_the_bound_of_a_configuration():
    from hosting import machine, surroundings

    lines = """node_id=n1
zone=a
region=r
ip=10.0.0.1
listen.inbound=10.0.0.1:1
listen.outbound=10.0.0.1:2
listen.ready=10.0.0.1:3
listen.control=10.0.0.1:4
internal_ports=7000,7015
service=slots
platform.address=10.0.0.9:5
heartbeat=1500ms
bounds=grace=6s,drain=2000ms,config_apply=2000ms,retry_budget_ratio=0.2
unknown.key=1
"""
    found = surroundings.make_node_settings(machine.parse(lines))
    assert found.platform.watch_s < 2.0
    assert found.addresses.control == "10.0.0.1:7000"
    assert found.limits.drain_s < 6.0
    with pytest.raises(errors.SettingsError, match="zone"):
        machine.parse(lines.replace("zone=a\n", ""))


@pytest.mark.parametrize("version", [0, 5])
def test_a_write_names_the_version_that_it_replaces(make, version):
    store, script = make((200, stored("t", 8, {})))
    assert store.put("quota", "t", {"x": 1}, version) == 8
    method, path, body, _ = script.asked[0]
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
def test_what_the_store_refuses_is_an_error_of_its_kind(make, status, error):
    store, _ = make((status, {}))
    with pytest.raises(error):
        store.get("quota", "t")


def test_a_conflict_names_the_current_version(make):
    store, _ = make((409, stored("t", 12, {})))
    with pytest.raises(errors.ConflictError) as raised:
        store.put("quota", "t", {}, 5)
    assert raised.value.version == 12


def test_pages_are_read_to_the_end(make):
    store, script = make(
        (200, {"items": [stored("a", 1, 1)], "more": True, "as_of": 3}),
        (200, {"items": [stored("b", 2, 1)], "more": False, "as_of": 4}),
    )
    assert [item.name for item in store.list("quota").items] == ["a", "b"]
    assert script.asked[1][1].endswith("?after=a")
