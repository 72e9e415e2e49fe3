"""Objects that other software wrote to the platform: they are skipped, the others hold."""

import hypothesis
import pytest

from bergamotridge import errors
from bergamotridge.store import position
from tests import odd_values, positions
from tests.test_store import test_client

VERSION = 50
VALID = {"kind": "nodes", "name": "x", "version": 3, "value": {"address": "10.0.0.5:80"}}


def _object(name, version, value="1"):
    return odd_values.object_text({"name": f'"{name}"', "version": version, "value": value})


def _listing(odd):
    items = odd_values.list_text([_object("a", "7"), odd, _object("b", str(VERSION))])
    return odd_values.object_text({"items": items, "version": str(VERSION)}).encode()


@pytest.fixture(scope="module")
def server_and_client():
    with test_client._scripted_server() as pair:
        yield pair


# One such object failed each listing and watch: the node no longer followed any change.
@odd_values.SETTINGS
@hypothesis.given(odd=odd_values.changed(VALID) | odd_values.TEXTS)
@hypothesis.example(odd=_object("x", "true"))
@hypothesis.example(odd=_object("x", str(10**18)))
@hypothesis.example(odd=_object("x", "3", odd_values.nested(300)))
@hypothesis.example(odd='{"version":3}')
def test_whatever_stands_between_two_objects_both_are_read(server_and_client, odd):
    server, platform = server_and_client
    server.responses[:] = [(200, _listing(odd), 0)] * 2
    for read in (
        lambda: platform.list("nodes"),
        lambda: platform.watch("nodes", positions.at(1), 0.0),
    ):
        try:
            listing = read()
        except errors.PlatformUnavailableError:
            # The whole response is no JSON.
            continue
        assert {"a", "b"} <= {item.name for item in listing.items}
        assert max(item.version for item in listing.items) == positions.at(VERSION)
        assert len(listing.items) + len(listing.reports) >= 3
        assert all(item.value is None for item in listing.items if item.fault)


@pytest.mark.parametrize("body", [b"{}", b"[]", b'{"version":true}', b'{"version":-1}'])
def test_an_odd_answer_to_a_write_leaves_its_outcome_open(server_and_client, body):
    server, platform = server_and_client
    server.responses[:] = [(200, body, 0)]
    with pytest.raises(errors.PlatformUnavailableError):
        platform.put("nodes", "x", 1, position.START)


def test_a_read_of_an_odd_object_is_an_error_of_its_own(server_and_client):
    server, platform = server_and_client
    server.responses[:] = [(200, b'{"name":"x","version":-1}', 0)]
    with pytest.raises(errors.MalformedObjectError):
        platform.get("nodes", "x")
    assert issubclass(errors.MalformedObjectError, errors.PlatformUnavailableError)
