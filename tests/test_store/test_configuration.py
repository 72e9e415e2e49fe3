"""The store accepts only higher versions and rejects texts that it cannot parse."""

from bergamotridge.store import client, configuration

TEXT = "[services.booking]\n[teams.{}]\nrate = 1\nburst = 1\n"


def test_only_higher_versions_come_into_force():
    store, versions_in_force = configuration.ConfigurationStore(), []
    store.add_listener(lambda current: versions_in_force.append(current.version))
    for version in (3, 2, 3, 7, 5):
        store.apply_version(version, TEXT.format(f"t{version}"))
    assert versions_in_force == [3, 7]
    assert list(store.current.text.teams) == ["t7"]
    assert store.listing_since(7).items == ()


def test_an_invalid_text_is_rejected_and_reported():
    store = configuration.ConfigurationStore()
    store.apply_version(1, TEXT.format("a"))
    assert not store.apply_version(2, "[services.booking]\nslots = -1\n")
    assert (store.current.version, store.version) == (1, 2)
    assert "services.booking.slots" in store.rejection_reason
    assert store.apply_version(3, TEXT.format("b"))
    assert store.rejection_reason is None


def test_the_text_stays_in_force_when_its_object_is_deleted():
    store = configuration.ConfigurationStore()
    store.apply_version(1, TEXT.format("a"))
    deleted = client.StoredObject("configuration", "current", 2, None)
    assert not store.apply_listing(client.Listing((deleted,), 2))
    assert (store.current.version, store.version) == (1, 2)
    assert store.listing_since(1).items == (deleted,)
    assert store.apply_version(3, TEXT.format("b"))


def test_a_listing_of_one_store_updates_another():
    first, second = configuration.ConfigurationStore(), configuration.ConfigurationStore()
    first.apply_version(4, TEXT.format("a"), "change")
    assert second.apply_listing(first.listing_since(second.version))
    assert second.current == first.current
    stale = client.StoredObject("configuration", "current", 3, {"text": TEXT.format("old")})
    assert not second.apply_listing(client.Listing((stale,), 9))
