"""Withdrawals that were made at nodes are written to the platform after an outage."""

import random

import pytest

from bergamotridge import errors
from bergamotridge.callers import keys, withdrawals
from bergamotridge.store import client

SECRET = "fleet-secret"


def _restore(server, version):
    server.RequestHandlerClass.platform.store.restore(version)


# A withdrawal, or a key granted in the lost seconds, was gone for nodes that started later.
def test_what_a_restored_platform_lost_is_written_again(server):
    store = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    copied = keys.grant(store, SECRET, "ward")
    kept_version = store.list(keys.KIND).version.revision
    keys.withdraw(store, copied.key_id)
    lost, withdrawn = keys.grant(store, SECRET, "ward"), keys.grant(store, SECRET, "ward")
    keys.withdraw(store, withdrawn.key_id)
    ring = keys.KeyRing(SECRET)
    ring.apply_listing(store.list(keys.KIND))
    writer = withdrawals.WithdrawalWriter(store, ring, 1.0, random.Random(1))
    _restore(server, kept_version)
    ring.apply_listing(store.list(keys.KIND))
    assert (ring.pending, ring.unstored) == (
        {copied.key_id},
        {lost.key_id, withdrawn.key_id},
    )
    writer.write_lost_grants()
    writer.write_pending()
    started = keys.KeyRing(SECRET)
    for replica in (ring, started):
        replica.apply_listing(store.list(keys.KIND))
    assert started.check(f"Bearer {lost.secret_text}", 0.0).team == "ward"
    assert started.withdrawn_count == 2
    assert (ring.pending, ring.unstored) == (frozenset(), frozenset())


# A withdrawal whose grant had been lost was taken for one of a key that was never granted.
def test_a_withdrawal_is_written_once_its_lost_grant_is_back(server):
    store = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    granted = keys.grant(store, SECRET, "ward")
    unaware = keys.KeyRing(SECRET)
    unaware.apply_listing(store.list(keys.KIND))
    _restore(server, 0)
    ring = keys.KeyRing(SECRET)
    ring.withdraw(granted.key_id)
    writer = withdrawals.WithdrawalWriter(store, ring, 1.0, random.Random(1))
    writer.write_pending()
    unaware.apply_listing(store.list(keys.KIND))
    withdrawals.WithdrawalWriter(store, unaware, 1.0, random.Random(2)).write_lost_grants()
    ring.apply_listing(store.list(keys.KIND))
    writer.write_pending()
    assert store.get(keys.KIND, granted.key_id).value["withdrawn"] is True


def test_pending_withdrawals_are_written_after_an_outage(server):
    state = server.RequestHandlerClass.platform
    store = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    granted = keys.grant(store, SECRET, "ward")
    ring = keys.KeyRing(SECRET)
    writer = withdrawals.WithdrawalWriter(store, ring, 1.0, random.Random(1))
    ring.withdraw_all((granted.key_id, "never-granted"))
    state.change_faults({"outage": True})
    writer.write_pending()
    state.change_faults({"outage": False, "lose_answers": 1})
    writer.write_pending()
    assert store.get(keys.KIND, granted.key_id).value["withdrawn"] is True
    assert granted.key_id in ring.pending
    ring.apply_listing(store.list(keys.KIND))
    assert ring.pending == {"never-granted"}
    reads = state.statistics.reads
    writer.write_pending()
    assert state.statistics.reads == reads


class OddKeys:
    """A platform that cannot handle one withdrawal, and stores that of the other."""

    def __init__(self, error):
        self.error, self.withdrawn = error, []

    def get(self, kind, name):
        if name == "a":
            raise self.error
        value = {"team": "ward", "digest": "0" * 64, "withdrawn": False}
        return client.StoredObject(kind, name, 1, value)

    def put(self, kind, name, value, version):
        del kind, version
        self.withdrawn.append((name, value["withdrawn"]))
        return 2


# One such key, the first by name, kept all later withdrawals from the platform.
@pytest.mark.parametrize(
    "error", [errors.MalformedObjectError("odd"), errors.PlatformError("status 400")]
)
def test_a_key_that_the_platform_cannot_handle_does_not_keep_others_from_being_written(error):
    ring, platform = keys.KeyRing(SECRET), OddKeys(error)
    ring.withdraw_all(("a", "b"))
    withdrawals.WithdrawalWriter(platform, ring, 1.0, random.Random(1)).write_pending()
    assert platform.withdrawn == [("b", True)]
