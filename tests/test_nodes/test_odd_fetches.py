"""Objects of a peer's replica: those that cannot be read are skipped, the others hold."""

import hypothesis
from hypothesis import strategies as st

from bergamotridge.nodes import gossip_pb2, listing_message
from bergamotridge.store import configuration
from tests import odd_values, positions


def _fetched(*objects, version=50):
    response = gossip_pb2.FetchResponse(version=version)
    for name, item_version, value in objects:
        response.objects.add(name=name, version=item_version, value=value)
    return response


# A value that is no JSON ended the task that fetches replicas, with all objects of the answer.
@odd_values.SETTINGS
@hypothesis.given(
    value=odd_values.BODIES, version=st.sampled_from((0, 3, 51, 10**18, 2**63, 2**64 - 1))
)
def test_whatever_stands_between_two_fetched_objects_both_are_read(value, version):
    response = _fetched(("a", 7, b"1"), ("x", version, value), ("b", 50, b"1"))
    listing = listing_message.decode("keys", response)
    assert {"a", "b"} <= {item.name for item in listing.items}
    assert max(item.version for item in listing.items) == positions.at(50)


# A configuration object without a text was kept as it was, and could not be passed on to peers if
# it was nested deeply.
@odd_values.SETTINGS
@hypothesis.given(text=odd_values.TEXTS, change=odd_values.TEXTS)
@hypothesis.example(text=odd_values.nested(1000), change='""')
@hypothesis.example(text='"x"', change=odd_values.nested(1000))
def test_whatever_a_configuration_object_holds_a_peer_gets_it_and_a_later_one(text, change):
    store = configuration.ConfigurationStore()
    value = odd_values.object_text({"text": text, "change_id": change}).encode()
    store.apply_listing(listing_message.decode("configuration", _fetched(("current", 5, value))))
    listing_message.encode(store.listing_since(positions.version(0))).SerializeToString()
    store.apply_version(positions.at(7), "[services.a]\n")
    assert store.current.version == positions.at(7)
