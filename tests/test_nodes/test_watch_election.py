"""All nodes agree on one leader and one head a failure domain, and every other node relies on one.

With equal views, each chain of sources must end at the leader, or nodes would wait for each other.
"""

import random

import attrs
import pytest

from bergamotridge.nodes import change_log, membership, peers, record, watch_election
from tests.test_nodes import fleet

ELECTED = 2


def elections(size: int, leaving=()):
    """Returns the elections of all nodes of a fleet in three failure domains, by host."""
    records = [
        fleet.own_record(f"h{number}", number + 1, domain="abc"[number % 3])
        for number in range(size)
    ]
    return {own.host: election(own, records, leaving)[0] for own in records}


def election(own, records, leaving=()):
    """Returns the election of one node and what records the answers of its peers."""
    members = membership.Membership(own, membership.MembershipTimings())
    updates = [
        change_log.RecordUpdate(
            attrs.evolve(item, state=record.State.LOST) if item.host in leaving else item,
            item.version,
            suspected=False,
        )
        for item in records
        if item.host != own.host
    ]
    members.merge(updates, change_log.LOCAL_SESSION, 0.0)
    chooser = peers.PeerChooser(members, (), random.Random(1))
    return watch_election.WatchElection(members, chooser, ELECTED), chooser


@pytest.mark.parametrize("size", [1, 2, 4, 40])
def test_every_chain_of_sources_ends_at_the_only_leader(size):
    found = elections(size)
    leaders = [host for host, item in found.items() if item.read_age_fraction() == 0.0]
    assert len(leaders) == 1
    for host in found:
        chain = [host]
        while chain[-1] != leaders[0]:
            chain.append(found[chain[-1]].sources()[0].host)
            assert len(chain) <= 3
    assert all(item.sources() or size == 1 for host, item in found.items() if host not in leaders)


def test_heads_read_before_their_domains_have_to_and_few_nodes_are_elected():
    found = elections(39)
    fractions = sorted(item.read_age_fraction() for item in found.values())
    assert fractions[:3] == [0.0, *watch_election.STANDBY_AGE_FRACTIONS]
    assert fractions[3:6] == [watch_election.DEPUTY_AGE_FRACTION] * 3
    assert set(fractions[6:]) == {1.0}
    places = [item.place() for item in found.values() if item.place() is not None]
    assert sorted(places) == sorted(list(range(ELECTED)) * 3)


def test_a_node_that_leaves_is_no_longer_relied_on():
    found = elections(12)
    leader = next(host for host, item in found.items() if item.read_age_fraction() == 0.0)
    after = elections(12, leaving=(leader,))
    others = {host: item for host, item in after.items() if host != leader}
    assert sum(item.read_age_fraction() == 0.0 for item in others.values()) == 1
    assert all(leader not in {item.host for item in o.sources()} for o in others.values())


def test_a_node_without_recent_answers_counts_as_elected():
    records = [fleet.own_record(f"h{number}", number + 1) for number in range(12)]
    found = [election(own, records) for own in records]
    item, chooser = next(pair for pair in found if pair[0].place() is None)
    assert item.is_elected(0.0)
    chooser.record_answer(peers.Peer("127.0.0.1:1"), 1.0)
    assert not item.is_elected(2.0)
