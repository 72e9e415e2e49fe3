"""Gossip of another process: what cannot be read is skipped, the rest of the message holds."""

import math

import hypothesis
import pytest
from hypothesis import strategies as st

from bergamotridge.callers import keys
from bergamotridge.nodes import exchange, gossip_pb2, membership
from bergamotridge.util import fields, hlc
from tests import odd_values
from tests.test_nodes import fleet

OWN_HOST, PEER_HOST, OTHER_HOST = "own", "peer", "other"
MAX_UINT32, MAX_UINT64 = 2**32 - 1, 2**64 - 1
VALID_RECORD = {
    "host": OTHER_HOST,
    "incarnation": 1000,
    "version": 3,
    "detail_version": 3,
    "failure_domain": "a",
    "region": "r",
    "service": "booking",
    "state": "ready",
    "slots": 5,
    "load": 0.5,
    "relay_address": "10.0.0.5:80",
    "control_address": "10.0.0.5:81",
    "operators_address": "10.0.0.5:82",
}
ODD_ADDRESSES = ("", "10.0.0.5:99999", f"10.0.0.5:{10**30}", "10.0.0.5:-5", "x:80", "\0")
ODD_BY_FIELD = {
    "host": ("", "x" * 300, "a\nb"),
    "incarnation": (MAX_UINT64, 2**63, 10**18, fields.MAX_START_MS + 1),
    "version": (MAX_UINT64, 2**63),
    "detail_version": (MAX_UINT64, 2**63),
    "slots": (MAX_UINT32, 2**31),
    "load": (math.nan, math.inf, -math.inf, -1.0, 1e30),
    "relay_address": ODD_ADDRESSES,
    "control_address": ODD_ADDRESSES,
    "operators_address": ODD_ADDRESSES[1:],
    "failure_domain": ("", "x" * 300),
    "region": ("",),
    "service": ("x" * 300, "\r"),
}
ODD_FIELDS = [(name, value) for name, values in ODD_BY_FIELD.items() for value in values]
STAMPS = (
    "x",
    "1",
    f"{10**18}.0@h",
    "-1.0@h",
    f"1.{10**18}@h",
    "9" * 5000 + ".0@h",
    "nan.0@h",
)


class Node:
    """One node and the reports that it made."""

    def __init__(self, host=OWN_HOST, session=11):
        own = fleet.own_record(host, 1, incarnation=500)
        self.members = membership.Membership(own, membership.MembershipTimings())
        self.clock, self.reports = hlc.HybridClock(host), []
        ring = keys.KeyRing(fleet.SECRET)
        self.exchange = exchange.Exchange(
            self.members, (ring,), ring, session, self.clock, on_malformed=self.reports.append
        )

    def receive(self, *records, briefs=(), stamp="", sequence=0):
        """Takes in a message of a peer, with its log up to `sequence`, and answers it."""
        sent = gossip_pb2.GossipMessage(
            host=PEER_HOST, session=22, stamp=stamp, sequence_to=sequence
        )
        for record in records:
            sent.records.add(**record)
        for brief in briefs:
            sent.briefs.add(**brief)
        received = self.exchange.process_message(
            gossip_pb2.GossipMessage.FromString(sent.SerializeToString()), 0.0
        )
        return self.exchange.build_message(received.session, 1).SerializeToString()

    def hosts(self):
        return {item.host for item in self.members.members()}


# Such a record was kept and passed on: its addresses failed the tasks that used them.
@pytest.mark.parametrize(("name", "value"), ODD_FIELDS)
def test_an_odd_record_is_skipped_and_those_beside_it_hold(name, value):
    node = Node()
    odd = {**VALID_RECORD, name: value}
    node.receive({**VALID_RECORD, "host": "a"}, odd, {**VALID_RECORD, "host": "b"})
    assert node.hosts() == {OWN_HOST, "a", "b"}
    assert [report.source for report in node.reports] == ["gossip"]


# A record of this host with the highest incarnation made it publish one that fits into no message,
# so all gossip of the node failed from then on.
@pytest.mark.parametrize("name", ["incarnation", "version"])
@pytest.mark.parametrize("value", [MAX_UINT64, 2**63, 2**63 - 1, 10**18, fields.MAX_START_MS])
def test_a_node_can_publish_its_record_after_any_that_it_receives_for_itself(name, value):
    node, peer = Node(), Node(PEER_HOST, 22)
    odd = {**VALID_RECORD, "host": OWN_HOST, "incarnation": 500, name: value}
    answer = node.receive(odd)
    peer.receive(odd)
    peer.exchange.process_message(gossip_pb2.GossipMessage.FromString(answer), 0.0)
    second = node.exchange.build_message(22, 1)
    peer.exchange.process_message(second, 0.0)
    (known,) = [item for item in peer.members.members() if item.host == OWN_HOST]
    assert known == node.members.own


def test_briefs_of_a_skipped_record_do_not_ask_for_it_with_each_message():
    node = Node()
    brief = {"host": OTHER_HOST, "incarnation": 1000, "version": 4, "detail_version": 3}
    node.receive({**VALID_RECORD, "relay_address": "x"}, sequence=1)
    answer = gossip_pb2.GossipMessage.FromString(node.receive(briefs=[brief], sequence=2))
    assert answer.acknowledged == 2
    node.receive(VALID_RECORD)
    node.receive(briefs=[brief])
    (known,) = [item for item in node.members.members() if item.host == OTHER_HOST]
    assert known.version == brief["version"]


# The clock never goes back: one such stamp was passed on by all nodes, and no relayed call could be
# sent any more, as its time did not fit into the header.
@pytest.mark.parametrize("stamp", STAMPS)
def test_an_odd_stamp_moves_no_clock_and_the_message_holds(stamp):
    node = Node()
    node.receive(VALID_RECORD, stamp=stamp)
    assert OTHER_HOST in node.hosts()
    assert node.clock.stamp(7).millis == 7
    assert [report.source for report in node.reports] == ["gossip"]


RECORDS = st.dictionaries(st.sampled_from(ODD_FIELDS), st.none(), min_size=1, max_size=4).map(
    lambda odd: {**VALID_RECORD, **dict(odd.keys())}
)
BRIEFS = st.fixed_dictionaries(
    {
        "host": st.sampled_from((OWN_HOST, OTHER_HOST, "a", "", "x" * 300)),
        "incarnation": st.sampled_from((0, 500, 1000, 10**18, MAX_UINT64)),
        "version": st.sampled_from((0, 3, 4, 2**62, 2**63, MAX_UINT64)),
        "detail_version": st.sampled_from((0, 3, MAX_UINT64)),
        "load": st.sampled_from((0.0, -1.0, math.nan, math.inf)),
        "suspected": st.booleans(),
    }
)


@odd_values.SETTINGS
@hypothesis.given(
    records=st.lists(RECORDS, max_size=3),
    briefs=st.lists(BRIEFS, max_size=3),
    stamp=st.sampled_from((*STAMPS, "")),
    host=st.sampled_from((OWN_HOST, OTHER_HOST)),
)
def test_whatever_a_message_holds_the_node_answers_and_takes_the_valid_record(
    records, briefs, stamp, host
):
    node = Node()
    node.receive(
        *({**item, "host": host} if item["host"] == OTHER_HOST else item for item in records),
        {**VALID_RECORD, "host": "valid"},
        briefs=briefs,
        stamp=stamp,
    )
    node.receive(*records, briefs=briefs)
    assert {OWN_HOST, "valid"} <= node.hosts()
