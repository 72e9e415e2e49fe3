"""The replica of evacuations: what nodes that got different listings agree on."""

import itertools

import pytest

from bergamotridge.store import client, evacuations, replica
from tests import positions


def stored(name, revision, value, epoch=1, fault=""):
    return client.StoredObject(evacuations.KIND, name, positions.at(revision, epoch), value, fault)


def listing(revision, *items, epoch=1, complete=False):
    return client.Listing(items, positions.at(revision, epoch), is_complete=complete)


@pytest.fixture
def known():
    return evacuations.Evacuations()


# Guards against an evacuation that ends, or comes back, as an old listing arrives late.
def test_listings_in_any_order_and_repeated_lead_to_the_last_state():
    changes = (
        listing(10, complete=True),
        listing(11, stored("a", 11, {})),
        listing(12, stored("a", 11, None)),  # With the revision of the last write.
        listing(14, stored("b", 13, {}), stored("a", 14, {})),
        listing(15, stored("b", 15, None)),
    )
    for order in itertools.permutations(changes):
        known = evacuations.Evacuations()
        for item in (*order, order[0]):
            known.apply_listing(item)
        assert known.domains == {"a"}
        assert known.version == positions.version(15, 1)


# Guards against a domain that stays evacuated for good after its deletion was not seen as such.
def test_an_object_that_a_complete_listing_lacks_is_deleted_unless_it_is_newer(known):
    known.apply_listing(listing(20, stored("a", 11, {}), stored("b", 20, {})))
    known.apply_listing(listing(15, complete=True))
    assert known.domains == {"b"}
    known.apply_listing(listing(5, stored("c", 4, {}), epoch=2, complete=True))
    assert known.domains == {"c"}, "the store was restored from a copy"
    assert known.version == positions.version(5, 2)


# Guards against evacuations that an unreadable value, or none at all, would end.
def test_whatever_the_value_is_the_object_counts(known):
    odd = ({}, {"x": 1}, [], "", 0, False)
    items = [stored(f"d{number}", number + 1, value) for number, value in enumerate(odd)]
    known.apply_listing(listing(20, *items, stored("fault", 19, None, fault="too deep")))
    assert len(known.domains) == len(odd) + 1


# Guards against nodes that differ for good, as a deletion that one of them inferred stays there.
def test_a_replica_learns_all_from_another_deletions_included(known):
    known.apply_listing(listing(12, stored("a", 11, {}), stored("b", 12, {})))
    other = evacuations.Evacuations()
    other.apply_listing(known.listing_since(replica.EMPTY))
    assert other.domains == {"a", "b"}
    known.apply_listing(listing(30, stored("b", 12, {}), complete=True))
    assert known.version > other.version
    assert other.apply_listing(known.listing_since(other.version))
    assert (
        (other.domains, other.version) == (known.domains, known.version) == ({"b"}, known.version)
    )
    assert not other.apply_listing(known.listing_since(replica.EMPTY))


# Guards against memory and messages that grow with the objects of another writer.
def test_many_objects_go_in_pages_and_old_deletions_are_forgotten(known):
    items = [stored(f"d{number}", number + 1, {}) for number in range(2500)]
    known.apply_listing(listing(2500, *items))
    other, pages = evacuations.Evacuations(), 0
    while other.version < known.version:
        other.apply_listing(known.listing_since(other.version))
        pages += 1
    assert (other.domains, pages) == (known.domains, 3)
    known.apply_listing(listing(2600, complete=True))
    assert len(known.listing_since(replica.EMPTY).items) == evacuations.MAX_DELETIONS


def test_listeners_learn_each_change_and_the_present_state(known):
    told = []
    known.add_listener(told.append)
    known.apply_listing(listing(11, stored("a", 11, {})))
    known.apply_listing(listing(12, stored("a", 11, {})))
    known.apply_listing(listing(13, stored("a", 13, None)))
    assert told == [frozenset(), {"a"}, frozenset()]
