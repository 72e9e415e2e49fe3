"""A withdrawal is in force at once, and confirmed once others know of it or the time is over."""

import random
import threading

import attrs
import pytest

from bergamotridge import errors
from bergamotridge.callers import keys, withdrawal_confirmer
from bergamotridge.nodes import confirmation, membership
from tests.test_nodes import fleet

KEY_ID = "k1"
SHORT = attrs.evolve(withdrawal_confirmer.REQUIREMENT, within_s=0.05)


@attrs.define
class Fleet:
    """Peers and a platform, each of which answers, fails or is silent until `end` is set."""

    silent: tuple[str, ...] = ()
    failing: tuple[str, ...] = ()
    ring: keys.KeyRing = attrs.field(factory=lambda: keys.KeyRing(fleet.SECRET))
    end: threading.Event = attrs.field(factory=threading.Event)

    def _receive(self, name):
        assert self.ring.pending == {KEY_ID}, "the withdrawal is not in force at the own node"
        if name in self.silent:
            self.end.wait()
        return name not in self.failing

    def tell(self, peer, key_id):
        assert key_id == KEY_ID
        return self._receive(peer.host)

    def get(self, kind, name):
        if not self._receive("platform"):
            raise errors.PlatformUnavailableError("status 503")
        return keys.client.StoredObject(
            kind, name, 1, {"team": "ward", "digest": "0" * 64, "withdrawn": True}
        )


def make_members(hosts):
    own = fleet.own_record("own", 1)
    members = membership.Membership(own, membership.MembershipTimings())
    for number, host in enumerate(hosts):
        item = fleet.own_record(host, number + 2, domain="abc"[number % 3])
        members.merge([membership.change_log.RecordUpdate(item, 1, suspected=False)], 7, 0.0)
    return members


def withdraw(peers, hosts, **options):
    confirmer = withdrawal_confirmer.WithdrawalConfirmer(
        peers.ring, make_members(hosts), peers.tell, peers, random.Random(1), **options
    )
    try:
        return confirmer.withdraw(KEY_ID)
    finally:
        peers.end.set()


def test_nodes_of_other_failure_domains_and_the_platform_are_named_in_the_answer():
    known = withdraw(Fleet(), ["h1", "h2", "h3"])
    assert known.stored
    assert known.known_by[0] == confirmation.Place("own", "a")
    assert len(known.known_by) >= SHORT.nodes
    assert len(known.failure_domains) >= SHORT.failure_domains


def test_a_silent_platform_and_cut_off_peers_do_not_hold_up_the_answer():
    known = withdraw(Fleet(("platform", "h2"), ("h3",)), ["h1", "h2", "h3"], requirement=SHORT)
    assert {place.host for place in known.known_by} == {"own", "h1"}
    assert not known.stored
    assert known.cause


@pytest.mark.parametrize("hosts", [[], ["h1", "h2"]])
def test_what_only_this_process_knows_is_said_to_be_so(hosts):
    known = withdraw(Fleet(failing=("platform", "h1", "h2")), hosts)
    assert not known.outlives_a_process
    assert "not confirmed" in known.cause
