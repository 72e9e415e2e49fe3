"""The store accepts only higher versions and rejects texts that it cannot parse."""

from bergamotridge.store import client, configuration
from tests import positions

TEXT = "[services.booking]\n[teams.{}]\nrate = 1\nburst = 1\n"


def test_only_higher_versions_come_into_force():
    store, versions_in_force = configuration.ConfigurationStore(), []
    store.add_listener(lambda current: versions_in_force.append(current.version))
    for version in (3, 2, 3, 7, 5):
        store.apply_version(positions.at(version), TEXT.format(f"t{version}"))
    assert versions_in_force == [positions.at(3), positions.at(7)]
    assert list(store.current.text.teams) == ["t7"]
    assert store.listing_since(positions.text_version(7)).items == ()


def test_an_invalid_text_is_rejected_and_reported():
    store = configuration.ConfigurationStore()
    store.apply_version(positions.at(1), TEXT.format("a"))
    assert not store.apply_version(positions.at(2), "[services.booking]\nslots = -1\n")
    assert (store.current.version, store.version.seen) == (positions.at(1), positions.at(2))
    assert "services.booking.slots" in store.rejection_reason
    assert store.apply_version(positions.at(3), TEXT.format("b"))
    assert store.rejection_reason is None


def test_the_text_stays_in_force_when_its_object_is_deleted():
    store = configuration.ConfigurationStore()
    store.apply_version(positions.at(1), TEXT.format("a"))
    deleted = client.StoredObject("configuration", "current", positions.at(2), None)
    assert not store.apply_listing(client.Listing((deleted,), positions.at(2)))
    assert (store.current.version, store.version.seen) == (positions.at(1), positions.at(2))
    assert store.listing_since(positions.text_version(1)).items == (deleted,)
    assert store.apply_version(positions.at(3), TEXT.format("b"))


def _item(revision, epoch, order, team):
    value = {"text": TEXT.format(team), "change_id": f"r{order}", "order": [0, order]}
    return client.StoredObject("configuration", "current", positions.at(revision, epoch), value)


def _apply(store, *items):
    return store.apply_listing(client.Listing(items, items[-1].version))


# After the store had come back from a copy, nodes took its older text, or dropped a newer one.
def test_texts_of_two_epochs_are_ordered_by_their_own_order():
    store, in_force = configuration.ConfigurationStore(), []
    store.add_listener(lambda current: in_force.append(current.change_id))
    _apply(store, _item(40, 1, 14, "a"))
    _apply(store, _item(47, 1, 15, "b"))
    _apply(store, _item(30, 2, 14, "a"))
    assert (store.current.change_id, store.version.seen) == ("r15", positions.at(30, 2))
    _apply(store, _item(41, 2, 15, "b"))
    assert store.current.version == positions.at(41, 2)
    _apply(store, _item(43, 2, 16, "c"))
    _apply(store, _item(47, 1, 15, "b"))
    assert in_force == ["r14", "r15", "r16"]


def test_a_node_that_started_after_the_restoration_gets_the_later_text_from_a_peer():
    earlier, started = configuration.ConfigurationStore(), configuration.ConfigurationStore()
    _apply(earlier, _item(47, 1, 15, "b"))
    for store in (earlier, started):
        _apply(store, _item(30, 2, 14, "a"))
    assert earlier.version > started.version
    assert started.apply_listing(earlier.listing_since(started.version))
    assert (started.current.change_id, started.version) == ("r15", earlier.version)


def test_a_listing_of_one_store_updates_another():
    first, second = configuration.ConfigurationStore(), configuration.ConfigurationStore()
    first.apply_version(positions.at(4), TEXT.format("a"), "change")
    assert second.apply_listing(first.listing_since(second.version))
    assert second.current == first.current
    stale = client.StoredObject(
        "configuration", "current", positions.at(3), {"text": TEXT.format("old")}
    )
    assert not second.apply_listing(client.Listing((stale,), positions.at(9)))
