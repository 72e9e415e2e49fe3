"""The store accepts only higher versions and rejects texts that it cannot parse."""

from bergamotridge.store import client, configuration

TEXT = "[services.booking]\n[teams.{}]\nrate = 1\nburst = 1\n"


def test_only_higher_versions_come_into_force():
    store, versions_in_force = configuration.ConfigurationStore(), []
    store.listen(lambda current: versions_in_force.append(current.version))
    for version in (3, 2, 3, 7, 5):
        store.offer(version, TEXT.format(f"t{version}"))
    assert versions_in_force == [3, 7]
    assert list(store.current.text.teams) == ["t7"]
    assert store.newer(7).items == ()


def test_an_invalid_text_is_rejected_and_reported():
    store = configuration.ConfigurationStore()
    store.offer(1, TEXT.format("a"))
    assert not store.offer(2, "[services.booking]\nslots = -1\n")
    assert (store.current.version, store.version) == (1, 2)
    assert "services.booking.slots" in store.rejected
    assert store.offer(3, TEXT.format("b"))
    assert store.rejected is None


def test_the_text_stays_in_force_when_its_object_is_deleted():
    store = configuration.ConfigurationStore()
    store.offer(1, TEXT.format("a"))
    deleted = client.StoredObject("configuration", "current", 2, None)
    assert not store.take(client.Listing((deleted,), 2))
    assert (store.current.version, store.version) == (1, 2)
    assert store.newer(1).items == (deleted,)
    assert store.offer(3, TEXT.format("b"))


def test_a_listing_of_one_store_updates_another():
    first, second = configuration.ConfigurationStore(), configuration.ConfigurationStore()
    first.offer(4, TEXT.format("a"), "change")
    assert second.take(first.newer(second.version))
    assert second.current == first.current
    stale = client.StoredObject("configuration", "current", 3, {"text": TEXT.format("old")})
    assert not second.take(client.Listing((stale,), 9))
