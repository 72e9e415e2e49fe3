"""Objects of the platform's store that other software wrote: they are skipped, the others hold."""

import json

import hypothesis
import pytest
from hypothesis import strategies as st

from bergamotridge import errors
from bergamotridge.store import client, configuration, position
from tests import odd_values, positions

AS_OF = 50


def _object(name, revision, spec='{"address":"10.0.0.5:80"}'):
    metadata = json.dumps({"name": name, "revision": revision})
    return odd_values.object_text({"metadata": metadata, "spec": spec})


ODD_OBJECTS = (
    "null",
    "[]",
    "5",
    "{}",
    '{"metadata":null,"spec":1}',
    '{"metadata":[],"spec":1}',
    '{"metadata":{"name":"x"}}',
    '{"metadata":{"revision":5}}',
    '{"metadata":{"name":5,"revision":5}}',
    '{"metadata":{"name":"","revision":5}}',
    '{"metadata":{"name":"x","revision":true}}',
    '{"metadata":{"name":"x","revision":0}}',
    '{"metadata":{"name":"x","revision":-3}}',
    '{"metadata":{"name":"x","revision":"7"}}',
    '{"metadata":{"name":"x","revision":1e300}}',
    _object("x", 2**64 - 1),
)
DEEP_OBJECTS = (
    _object("x", 5, odd_values.nested(300)),
    _object("main", 5, odd_values.object_text({"version": odd_values.nested(300)})),
)
# These can be told to be odd only by the revision of the whole listing.
NEWER_THAN_THE_STORE = (_object("x", AS_OF + 1), _object("x", 10**18))


class RawTransport:
    """Transport that returns scripted bodies."""

    timeout_s = 2.0

    def __init__(self, *bodies, status=200):
        self._bodies = list(bodies)
        self._status = status
        self.paths = []

    def perform(self, method, path, body=None, timeout_s=None):
        del method, body, timeout_s
        self.paths.append(path)
        return client.Reply(self._status, self._bodies.pop(0).encode())


@pytest.fixture
def make_store():
    from hosting import metadata_store

    return lambda *bodies, **options: metadata_store.MetadataStore(RawTransport(*bodies, **options))


def _page(*objects, more=False):
    return odd_values.object_text(
        {
            "items": odd_values.list_text(objects),
            "more": "true" if more else "false",
            "as_of": str(AS_OF),
        }
    )


def _events(*objects):
    events = [odd_values.object_text({"object": item, "deleted": "false"}) for item in objects]
    return odd_values.object_text(
        {"events": odd_values.list_text([*events, "{}", "7"]), "as_of": str(AS_OF)}
    )


def _names(listing):
    return [item.name for item in listing.items]


# One object without a name or with an odd revision failed each listing: the node no longer followed
# any change.
@pytest.mark.parametrize("odd", ODD_OBJECTS + NEWER_THAN_THE_STORE)
@pytest.mark.parametrize("kind", ["nodes", configuration.KIND])
def test_an_odd_object_fails_neither_listing_nor_watch(make_store, odd, kind):
    objects = (_object("a", 7), odd, _object("b", AS_OF))
    store = make_store(_page(*objects), _events(*objects))
    listing = store.watch(kind, position.START, 1.0)
    assert (_names(listing), len(listing.reports)) == (["a", "b"], 1)
    watched = store.watch(kind, positions.at(7), 1.0)
    assert (_names(watched), len(watched.reports)) == (["a", "b"], 3)
    assert watched.version == positions.at(AS_OF)


# One that was nested deeper than 254 levels ended each round of the watch.
@pytest.mark.parametrize("deep", DEEP_OBJECTS)
@pytest.mark.parametrize("kind", ["nodes", configuration.KIND])
def test_an_object_that_is_nested_too_deeply_has_no_value(make_store, deep, kind):
    store = make_store(_page(_object("a", 7), deep, _object("b", AS_OF)), deep)
    listing = store.watch(kind, position.START, 1.0)
    assert [item.value is None for item in listing.items] == [False, True, False]
    assert [report.reason for report in listing.reports] == [listing.items[1].fault]
    # So that an operator can replace it.
    assert store.get(kind, "x").version == positions.at(5)


@pytest.mark.parametrize("odd", ODD_OBJECTS)
def test_a_read_of_an_odd_object_is_an_error_of_its_own(make_store, odd):
    with pytest.raises(errors.PlatformUnavailableError):
        make_store(odd).get("nodes", "x")


def test_a_listing_goes_on_after_a_page_that_ends_with_odd_objects(make_store):
    store = make_store(
        _page(_object("a", 1), '{"metadata":{"name":"b"}}', "null", more=True),
        _page(_object("c", 2)),
    )
    assert _names(store.list("nodes")) == ["a", "c"]
    assert store._transport.paths[1].endswith("?after=b")


@pytest.mark.parametrize("pages", [("null",), (_object("a", 1), _object("a", 1))])
def test_a_listing_that_cannot_go_on_ends_with_an_error(make_store, pages):
    store = make_store(*(_page(page, more=True) for page in pages))
    with pytest.raises(errors.PlatformUnavailableError):
        store.list("nodes")


@pytest.mark.parametrize(
    "answer",
    ["{}", '{"object":[]}', '{"metadata":7}', '{"metadata":{"revision":"x"}}', '{"object":7}'],
)
def test_a_conflict_without_a_readable_version_is_still_a_conflict(make_store, answer):
    with pytest.raises(errors.ConflictError) as caught:
        make_store(answer, status=409).put("nodes", "x", {}, positions.at(3))
    assert caught.value.version == position.START


ENTRIES = (
    odd_values.changed({"metadata": {"name": "x", "revision": 3}, "spec": {}})
    | odd_values.changed({"name": "x", "revision": 3}).map('{{"metadata":{},"spec":1}}'.format)
    | odd_values.TEXTS
)


@odd_values.SETTINGS
@hypothesis.given(odd=ENTRIES, kind=st.sampled_from(["nodes", configuration.KIND]))
def test_whatever_stands_between_two_objects_both_are_read(odd, kind):
    from hosting import metadata_store

    objects = (_object("a", 7), odd, _object("b", AS_OF))
    store = metadata_store.MetadataStore(RawTransport(_page(*objects), _events(*objects)))
    for since in (position.START, positions.at(7)):
        try:
            listing = store.watch(kind, since, 1.0)
        except errors.PlatformUnavailableError:
            # The whole response is no JSON.
            continue
        assert {"a", "b"} <= set(_names(listing))
        assert max(item.version for item in listing.items) == positions.at(AS_OF)


@odd_values.SETTINGS
@hypothesis.given(body=odd_values.BODIES.map(lambda body: body.decode("latin-1")))
def test_whatever_the_store_answers_only_the_documented_errors_are_raised(body):
    from hosting import metadata_store

    for status in (200, 409, 410):
        store = metadata_store.MetadataStore(RawTransport(body, body, status=status))
        with pytest.raises(errors.PlatformError):
            store.list("nodes")
        with pytest.raises(errors.PlatformError):
            store.put("nodes", "x", {}, positions.at(3))
