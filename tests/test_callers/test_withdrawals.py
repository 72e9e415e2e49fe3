"""Withdrawals that were made at nodes are written to the platform after an outage."""

import random

from bergamotridge.callers import keys, withdrawals
from bergamotridge.store import client

SECRET = "fleet-secret"


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
