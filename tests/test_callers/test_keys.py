"""Keys are checked by keyed hash; a withdrawn key stays withdrawn in any order of updates."""

import hypothesis
import orjson
import pytest

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.store import client, freshness
from tests import odd_values, positions

SECRET = "fleet-secret"


@pytest.fixture
def store(server):
    return client.ObjectClient("{}:{}".format(*server.server_address), 5.0)


def _refusal(ring, header):
    with pytest.raises(errors.CallError) as caught:
        ring.check(header, 0.0)
    return caught.value.status, caught.value.reason


def _is_refused(ring, header):
    return _refusal(ring, header) == (401, "key")


def test_check_of_a_granted_key_returns_its_team(store):
    granted = keys.grant(store, SECRET, "ward")
    ring = keys.KeyRing(SECRET)
    ring.apply_listing(store.list("keys"))
    assert ring.check(f"Bearer {granted.secret_text}", 0.0) == keys.Key(granted.key_id, "ward")
    assert granted.secret_text not in str(store.list("keys"))
    for invalid_header in (
        None,
        "",
        "Bearer",
        "Basic x",
        f"Bearer {granted.key_id}.x",
        "Bearer é.x",
    ):
        assert _is_refused(ring, invalid_header)
    other_fleet = keys.KeyRing("other")
    other_fleet.apply_listing(store.list("keys"))
    assert _is_refused(other_fleet, f"Bearer {granted.secret_text}")


# A node that was started anew refused valid keys with 401 until it had received them.
def test_unknown_keys_are_not_called_invalid_before_all_keys_were_received(store):
    granted = keys.grant(store, SECRET, "ward")
    header = f"Bearer {granted.secret_text}"
    current = freshness.Freshness()
    ring = keys.KeyRing(SECRET, lambda: current.was_current("keys"))
    assert _refusal(ring, header) == (503, "keys")
    assert _is_refused(ring, None)
    assert _is_refused(ring, "Basic x")
    ring.withdraw("withdrawn")
    assert _is_refused(ring, "Bearer withdrawn.x")
    ring.apply_listing(store.list("keys"))
    assert ring.check(header, 0.0).team == "ward"
    assert _is_refused(ring, f"Bearer {granted.key_id}.x")
    assert _refusal(ring, "Bearer other.x") == (503, "keys")
    current.confirm("keys", 1.0)
    assert _is_refused(ring, "Bearer other.x")


def test_withdrawal_is_not_undone_by_an_older_listing(store):
    granted = keys.grant(store, SECRET, "ward")
    header, before = f"Bearer {granted.secret_text}", store.list("keys")
    ring = keys.KeyRing(SECRET)
    ring.withdraw(granted.key_id)
    ring.apply_listing(before)
    assert _is_refused(ring, header)
    assert ring.pending == {granted.key_id}
    keys.withdraw(store, granted.key_id)
    ring.apply_listing(store.list("keys"))
    ring.apply_listing(before)
    assert _is_refused(ring, header)
    assert ring.pending == frozenset()


VALID_GRANT = {"team": "ward", "digest": "0" * 64, "withdrawn": False}


# A digest with a letter beyond ASCII raised TypeError: status 500 for each request that named the
# key. A team that was nested deeply ended the watch of the keys.
@odd_values.SETTINGS
@hypothesis.given(text=odd_values.changed(VALID_GRANT) | odd_values.TEXTS)
@hypothesis.example(text='{"team":"ward","digest":"\u00e9","withdrawn":false}')
@hypothesis.example(text=f'{{"team":{odd_values.nested(1000)},"digest":"","withdrawn":false}}')
def test_whatever_a_grant_holds_the_others_are_valid_and_it_lets_nobody_in(text):
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return
    secret_text = "a.secret"
    digest = keys._compute_digest(SECRET, secret_text)
    valid = client.StoredObject("keys", "a", positions.at(3), {**VALID_GRANT, "digest": digest})
    ring = keys.KeyRing(SECRET)
    odd = client.StoredObject("keys", "x", positions.at(2), value)
    ring.apply_listing(client.Listing((odd, valid), positions.at(3)))
    assert ring.check(f"Bearer {secret_text}", 0.0) == keys.Key("a", "ward")
    assert _is_refused(ring, "Bearer x.secret")
    orjson.dumps([item.value for item in ring.listing_since(positions.version(0)).items])


@pytest.mark.parametrize("team", ["", "a\nb", "x" * 300])
def test_a_key_for_a_team_that_nodes_would_not_accept_is_not_granted(store, team):
    with pytest.raises(errors.UsageError):
        keys.grant(store, SECRET, team)
    assert store.list("keys").items == ()


def test_key_ring_is_replicated_in_pages(store, monkeypatch):
    monkeypatch.setattr(keys, "PAGE_ITEMS", 2)
    granted = [keys.grant(store, SECRET, "ward") for _ in range(5)]
    keys.withdraw(store, granted[0].key_id)
    first, second = keys.KeyRing(SECRET), keys.KeyRing(SECRET)
    first.apply_listing(store.list("keys"))
    while second.apply_listing(first.listing_since(second.version)):
        pass
    assert second.version == first.version
    assert _is_refused(second, f"Bearer {granted[0].secret_text}")
    assert second.check(f"Bearer {granted[4].secret_text}", 0.0).team == "ward"


def test_grant_and_withdrawal_succeed_when_a_response_is_lost(server, store):
    change_faults = server.RequestHandlerClass.platform.change_faults
    change_faults({"lose_answers": 1})
    granted = keys.grant(store, SECRET, "ward")
    change_faults({"lose_answers": 1})
    keys.withdraw(store, granted.key_id)
    assert store.get("keys", granted.key_id).value["withdrawn"] is True
    change_faults({"outage": True})
    with pytest.raises(errors.PlatformUnavailableError):
        keys.withdraw(store, granted.key_id)
