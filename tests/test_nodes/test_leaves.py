"""Leaves of upstreams that their nodes confirmed before they were started anew."""

import attrs
import pytest

from bergamotridge.nodes import change_log, exchange, gossip_pb2, leaves, membership, record
from tests.test_nodes import test_dispatch

LEAVE = leaves.Leave("i-1", 1000)
SESSION = 7


@pytest.fixture
def members():
    return membership.Membership(test_dispatch.make_record("own"), membership.MembershipTimings())


def receive(members, now, **changes):
    item = attrs.evolve(test_dispatch.make_record("h1"), **changes)
    update = change_log.RecordUpdate(item, item.version, suspected=False)
    members.merge([update], SESSION, now)


def test_a_leave_is_kept_for_the_process_that_follows_the_one_which_confirmed_it(members):
    receive(members, 0.0, incarnation=1)
    receive(members, 1.0, incarnation=1, version=2, left_instance="i-1", left_incarnation=1000)
    assert members.forgotten_leave("h1", 1.0) is None
    receive(members, 2.0, incarnation=2, version=1)
    receive(members, 3.0, incarnation=2, version=2)
    assert members.forgotten_leave("h1", 3.0) == LEAVE
    assert members.forgotten_leave("h1", 2.0 + leaves.FORGOTTEN_FOR_S) is None
    assert members.forgotten_leave("h2", 3.0) is None


def test_a_process_that_knows_of_a_later_leave_is_told_of_none(members):
    receive(members, 1.0, incarnation=1, version=2, left_instance="i-1", left_incarnation=1000)
    receive(members, 2.0, incarnation=2, version=2, left_instance="i-2", left_incarnation=2000)
    assert members.forgotten_leave("h1", 2.0) is None


def test_a_leave_is_published_once_and_survives_gossip(members):
    members.record_leave("i-1", 1000, 1.0)
    version = members.own.version
    members.record_leave("i-1", 1000, 2.0)
    assert members.own.version == version
    message = gossip_pb2.GossipMessage()
    exchange._add_item(message, change_log.RecordUpdate(members.own, version, suspected=False))
    message.records[0].relay_address = message.records[0].control_address = "127.0.0.1:1"
    received = exchange._decode_record(message.records[0]).record
    assert leaves.published(received) == LEAVE
    assert received.state is record.State.READY
