"""The replica of evacuations: what nodes that got different listings agree on."""

import itertools

from bergamotridge.store import client, evacuations, replica
from tests import positions


def stored(name, revision, value, fault=""):
    return client.StoredObject(evacuations.KIND, name, positions.at(revision, 1), value, fault)


def listing(revision, *items, epoch=1, complete=False):
    return client.Listing(items, positions.at(revision, epoch), is_complete=complete)


# Guards against an evacuation that ends, or comes back, as an old listing arrives late, or whose
# value can't be read.
def test_listings_in_any_order_and_repeated_lead_to_the_last_state():
    changes = (
        listing(10, complete=True),
        listing(11, stored("a", 11, {})),
        listing(12, stored("a", 11, None)),  # With the revision of the last write.
        listing(14, stored("b", 13, {}), stored("a", 14, None, "too deep")),
        listing(15, stored("b", 15, None)),
    )
    for order in itertools.permutations(changes):
        known, told = evacuations.Evacuations(), []
        known.add_listener(told.append)
        for item in (*order, order[0]):
            known.apply_listing(item)
        assert known.domains == told[-1] == {"a"}
        assert known.version == positions.version(15, 1)


# Guards against nodes that differ for good, as a deletion that one of them inferred stays there.
def test_a_deletion_inferred_from_a_complete_listing_of_any_epoch_reaches_other_replicas():
    known, other = evacuations.Evacuations(), evacuations.Evacuations()
    known.apply_listing(listing(20, stored("a", 11, {}), stored("b", 20, {})))
    for complete, left in (
        (listing(15, complete=True), {"a", "b"}),
        (listing(25, stored("b", 20, {}), complete=True), {"b"}),
        (listing(5, epoch=2, complete=True), set()),
    ):
        other.apply_listing(known.listing_since(other.version))
        known.apply_listing(complete)
        other.apply_listing(known.listing_since(other.version))
        assert known.domains == other.domains == left
    assert other.version == known.version == positions.version(5, 2)


# Guards against memory and messages that grow with the objects of another writer.
def test_many_objects_go_in_pages_and_old_deletions_are_forgotten():
    known, other = evacuations.Evacuations(), evacuations.Evacuations()
    known.apply_listing(listing(2500, *(stored(f"d{n}", n + 1, {}) for n in range(2500))))
    for _ in range(3):
        other.apply_listing(known.listing_since(other.version))
    assert (other.domains, other.version) == (known.domains, known.version)
    known.apply_listing(listing(2600, complete=True))
    assert len(known.listing_since(replica.EMPTY).items) == evacuations.MAX_DELETIONS
