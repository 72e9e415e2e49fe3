"""Choice of peers, the watch election, and the rules for suspecting a host."""

import collections
import random

import attrs

from bergamotridge.nodes import change_log, membership, peers, record
from tests.test_nodes import fleet


def _chooser(size: int, seed_addresses=()):
    members = membership.Membership(fleet.own_record("own", 1), membership.MembershipTimings())
    records = [
        fleet.own_record(f"h{n}", 100 + n, domain="ab"[n % 2], region="rs"[n % 4 // 2])
        for n in range(size)
    ]
    updates = [change_log.RecordUpdate(item, item.version, suspected=False) for item in records]
    members.merge(updates, change_log.LOCAL_SESSION, 0.0)
    return members, peers.PeerChooser(members, seed_addresses, random.Random(5))


def _lose_upstreams(members, hosts, now):
    lost = [
        attrs.evolve(item, version=item.version + 1, state=record.State.LOST)
        for item in members.members()
        if item.host in hosts
    ]
    updates = [change_log.RecordUpdate(item, item.version, suspected=False) for item in lost]
    members.merge(updates, change_log.LOCAL_SESSION, now)


def test_links_prefer_their_failure_domain_or_region_and_one_uses_any_peer():
    members, chooser = _chooser(16)
    records = {item.host: item for item in members.members()}
    locations = collections.defaultdict(set)
    for _ in range(200):
        for link in range(3):
            found = records[chooser.choose(link).host]
            locations[link].add((found.region, found.failure_domain))
    assert locations[0] == {("r", "a")}
    assert locations[1] == {("r", "b")}
    assert len(locations[2]) == 4


def test_a_node_without_any_answer_suspects_no_host():
    members, chooser = _chooser(6)
    chosen = [chooser.choose(link) for link in range(3)]
    assert not chooser.record_failure(chosen[0], 2, 10.0)
    assert chooser.record_failure(chosen[0], 3, 10.0)
    members.tick(60.0)
    assert members.lost() == ()
    chooser.record_answer(chosen[1], 60.0)
    assert chooser.record_failure(chosen[0], 3, 61.0)
    members.tick(70.0)
    assert [item.host for item in members.lost()] == [chosen[0].host]


def test_lost_hosts_and_seed_addresses_are_tried_again():
    members, chooser = _chooser(3, ("127.0.0.1:9", "127.0.0.1:101"))
    members.suspect("h0", 0.0)
    members.tick(100.0)
    tried = {chooser.choose_reconnect_peer().address for _ in range(50)}
    assert tried == {"127.0.0.1:9", "127.0.0.1:100"}
    assert "127.0.0.1:100" not in {chooser.choose(link).address for link in (0, 1)}


def test_the_reconnect_interval_grows_with_the_fleet():
    for size, interval_s in ((3, 1.0), (159, 10.0)):
        _, chooser = _chooser(size)
        assert chooser.reconnect_interval_s() == interval_s


# A node that stopped as planned was tried only by links that had chosen it by chance. The next
# process on its host knew of no other node while the platform was silent, and had no configuration.
def test_hosts_whose_node_has_stopped_or_is_suspected_are_tried_again_at_once():
    members, chooser = _chooser(4)
    assert chooser.choose_reconnect_peer() is None
    _lose_upstreams(members, {"h1"}, 1.0)
    assert {chooser.choose_reconnect_peer().host for _ in range(50)} == {"h1"}
    members.suspect("h2", 1.0)
    assert {chooser.choose_reconnect_peer().host for _ in range(50)} == {"h1", "h2"}


def test_hosts_whose_upstream_is_lost_leave_half_of_the_tries_to_lost_hosts():
    members, chooser = _chooser(40)
    members.suspect("h0", 0.0)
    members.tick(100.0)
    _lose_upstreams(members, {f"h{number}" for number in range(1, 40)}, 101.0)
    tried = collections.Counter(chooser.choose_reconnect_peer().host for _ in range(200))
    assert tried["h0"] >= 50
    assert len(tried) > 20


def test_a_node_whose_own_upstream_is_lost_does_not_try_itself():
    members, chooser = _chooser(0)
    members.publish_lost(1.0)
    assert chooser.choose_reconnect_peer() is None


# A node that was killed had no configuration for up to 14 s while the platform was silent: no link
# had it as its peer, so that no node found it out of touch, and the next process knew of no other.
def test_a_host_that_a_call_did_not_reach_is_tried_until_its_node_answers():
    _, chooser = _chooser(4)
    chooser.record_unreached("h1")
    chooser.record_unreached("no longer a member")
    assert {chooser.choose_reconnect_peer().host for _ in range(20)} == {"h1"}
    chooser.record_answer(chooser.choose_reconnect_peer(), 1.0)
    assert chooser.choose_reconnect_peer() is None
