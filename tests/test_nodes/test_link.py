"""A gossip link whose peer is gone while another host answers at its address."""

import random

import attrs
import pytest

from bergamotridge.callers import keys
from bergamotridge.nodes import change_log, exchange, link, membership, peers
from tests.test_nodes import fleet

TIMINGS = membership.MembershipTimings(suspect_s=4.0)
PORT = 7


@attrs.define(eq=False)
class Process:
    members: membership.Membership
    exchange: exchange.Exchange


def start(host, port, session):
    members = membership.Membership(fleet.own_record(host, port), TIMINGS)
    return Process(members, exchange.Exchange(members, (), keys.KeyRing(fleet.SECRET), session))


def exchange_messages(own, number, answering, count):
    """Exchanges messages over a link, all of which one process answers; returns the link's hosts.

    Args:
        own: Process that has the link.
        number: Number of the link, None for the one that tries lost hosts.
        answering: Process that answers whatever address the link uses.
        count: Number of messages.
    """
    chooser = peers.PeerChooser(own.members, (), random.Random(1))
    peer_link = link.GossipLink(number, chooser, own.exchange, 60.0, random.Random(1))
    hosts = []
    for step in range(count):
        now = step / 10
        peer = peer_link.current_peer(now)
        if peer is None:
            break
        hosts.append(peer.host)
        received = answering.exchange.process_message(peer_link.build_message(0), now)
        peer_link.process_answer(answering.exchange.build_message(received.session, 0), now)
    return hosts


@pytest.fixture
def own():
    """A process that knows of host `gone`, which has ended without a word."""
    process = start("own", 1, 11)
    gone = change_log.RecordUpdate(fleet.own_record("gone", PORT), 1, suspected=False)
    process.members.merge([gone], change_log.LOCAL_SESSION, 0.0)
    return process


# A host that had ended stayed a member for good once another host had taken over its address: its
# calls were refused, and its part of the quotas was not taken over.
def test_a_host_at_whose_address_another_answers_is_lost(own):
    successor = start("new", PORT, 22)
    exchange_messages(own, 0, successor, peers.FAILURES_TO_SUSPECT)
    own.members.tick(1.0 + TIMINGS.suspect_s)
    assert {item.host for item in own.members.lost()} == {"gone"}
    assert {item.host for item in own.members.members()} == {"own", "new"}


def test_a_host_that_answers_at_its_address_is_not_lost(own):
    exchange_messages(own, 0, start("gone", PORT, 22), 10)
    own.members.tick(1.0 + TIMINGS.suspect_s)
    assert not own.members.lost()


def test_a_lost_host_is_not_found_again_by_the_answer_of_another(own):
    own.members.suspect("gone", 0.0)
    own.members.tick(TIMINGS.suspect_s)
    successor = start("new", PORT, 22)
    hosts = exchange_messages(own, None, successor, 3)
    assert hosts[0] == "gone"
    assert {item.host for item in own.members.lost()} == {"gone"}


# The link kept to a node that was stopping, while a process that had just started on another host
# knew of no node and had no configuration.
def test_the_link_for_lost_hosts_keeps_to_no_node_that_stops():
    own = start("own", 1, 11)
    stopping = {name: start(name, PORT + number, 22 + number) for number, name in enumerate("abc")}
    for process in stopping.values():
        process.members.publish_lost(0.0)
        update = change_log.RecordUpdate(process.members.own, 2, suspected=False)
        own.members.merge([update], change_log.LOCAL_SESSION, 0.0)
    chooser = peers.PeerChooser(own.members, (), random.Random(1))
    peer_link = link.GossipLink(None, chooser, own.exchange, 60.0, random.Random(1))
    hosts = []
    for step in range(30):
        now = step / 10
        hosts.append(peer_link.current_peer(now).host)
        answering = stopping[hosts[-1]].exchange
        received = answering.process_message(peer_link.build_message(0), now)
        peer_link.process_answer(answering.build_message(received.session, 0), now)
    assert set(hosts) == set(stopping)
    assert all(hosts.count(name) <= 20 for name in stopping)
