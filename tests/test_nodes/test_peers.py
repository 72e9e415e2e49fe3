"""Choice of peers, the watch election, and the rules for suspecting a host."""

import collections
import random

from bergamotridge.nodes import change_log, membership, peers
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
