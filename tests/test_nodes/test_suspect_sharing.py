"""Nodes of a service tell each other of crashes and agree on trials; over gRPC on loopback."""

import random
import time

import attrs
import grpc
import pytest

from bergamotridge.nodes import (
    control,
    membership,
    record,
    suspect_messages,
    suspect_sharing,
    suspects,
    suspects_pb2,
    trials,
)
from standins import processes
from tests import event_loop

SECRET = "secret"
NODES = 3
KEY = 7
NO_ONE_LISTENS = "127.0.0.1:1"


@attrs.define(eq=False)
class Members:
    """Members as one node sees them; shared by all nodes of the test but for the own host."""

    own: record.UpstreamRecord
    records: list[record.UpstreamRecord]

    def members(self):
        return self.records


@attrs.define
class Clock:
    """The monotonic clock, moved on by `offset_s`."""

    offset_s: float = 0.0

    def __call__(self):
        return time.monotonic() + self.offset_s


@attrs.define(eq=False)
class Node:
    sharing: suspect_sharing.SuspectSharing
    server: control.ControlServer
    channels: control.ChannelPool
    record: record.UpstreamRecord

    def stop(self):
        self.sharing.stop()
        self.server.stop(0)
        self.channels.close()


def build_record(number, address, service="depot"):
    return record.UpstreamRecord(
        f"host-{number}", 1, 1, "", "", service, record.State.READY, 8, 0.0, "", address
    )


def start_node(number, records, clock):
    channels = control.ChannelPool(SECRET)
    members = Members(build_record(number, ""), records)
    sharing = suspect_sharing.SuspectSharing(members, channels, random.Random(number), clock=clock)
    server = control.ControlServer("127.0.0.1:0", SECRET, (sharing,))
    server.start()
    members.own = build_record(number, f"127.0.0.1:{server.port}")
    records.append(members.own)
    return Node(sharing, server, channels, members.own)


@pytest.fixture
def fleet():
    records, clock = [], Clock()
    nodes = [start_node(number, records, clock) for number in range(NODES)]
    # An arbiter grants nothing right after its start.
    clock.offset_s = 10.0
    yield nodes
    for node in nodes:
        node.stop()


def evidence(sharing, *crash_ids, key=KEY, ago_s=1.0):
    at = sharing._clock() - ago_s
    return [suspects.Evidence(key, tuple(suspects.Crash(number, at) for number in crash_ids))]


def tell(node, *crash_ids, key=KEY):
    event_loop.run(node.sharing.record_crash(evidence(node.sharing, *crash_ids, key=key)))


def request(node, key=KEY, lifetime_s=5.0):
    return event_loop.run(node.sharing.request_trial(key, lifetime_s))


# A retry reached another host before the news of the crash did.
def test_the_other_nodes_know_of_a_crash_when_the_report_of_it_returns(fleet):
    tell(fleet[0], 1)
    assert [node.sharing.suspicion(KEY).crashes for node in fleet] == [1] * NODES


# Calls whose time was over when the arbiter was asked ended with 500, as if they might have run.
def test_an_arbiter_can_be_asked_for_a_call_whose_time_is_over(fleet):
    tell(fleet[0], 1)
    rulings = [request(node, lifetime_s=-0.01).decision.ruling for node in fleet]
    assert rulings[0] is trials.Ruling.TRIAL


def test_all_nodes_ask_one_arbiter_which_grants_one_trial_at_a_time(fleet):
    tell(fleet[0], 1)
    granted = [request(node) for node in fleet]
    rulings = [answer.decision.ruling for answer in granted]
    assert rulings == [trials.Ruling.TRIAL, trials.Ruling.WAIT, trials.Ruling.WAIT]
    fleet[0].sharing.finish_trial(granted[0], completed=True)
    processes.wait_until(
        lambda: request(fleet[1]).decision.ruling is trials.Ruling.FREE, "the arbiter knows"
    )
    assert fleet[1].sharing.suspicion(KEY) == suspects.NOT_SUSPECTED


def test_a_node_that_missed_a_crash_learns_it_from_the_answer_to_its_own_report(fleet):
    fleet[0].sharing._table.merge(evidence(fleet[0].sharing, 1, 2), 0.0)
    tell(fleet[1], 3)
    assert fleet[1].sharing.suspicion(KEY).crashes == 3


# A node that was restarted sent a request on that the others held back.
def test_a_node_that_starts_asks_the_first_hosts_of_its_service(fleet):
    tell(fleet[0], 1, 2, 3)
    records = [node.record for node in fleet]
    started = start_node(NODES, records, Clock())
    try:
        for item in (build_record(99, NO_ONE_LISTENS, service="counter"), *records):
            started.sharing.notice_member(item, membership.Change.JOINED)
        processes.wait_until(
            lambda: started.sharing.suspicion(KEY).held_until > 0, "the node that started knows"
        )
    finally:
        started.stop()


def test_a_trial_is_granted_by_another_host_if_the_arbiter_cannot_be_reached(fleet):
    tell(fleet[0], 1)
    records = fleet[0].sharing._members.records
    records[:] = [
        (
            item
            if item.host == fleet[0].record.host
            else attrs.evolve(item, control_address=NO_ONE_LISTENS)
        )
        for item in records
    ]
    keys = range(40)
    answers = []
    for key in keys:
        fleet[0].sharing._table.merge(evidence(fleet[0].sharing, 1, key=key), 0.0)
        answers.append(request(fleet[0], key).decision.ruling)
    assert trials.Ruling.TRIAL in answers
    # Without an arbiter that answers nothing runs.
    assert set(answers) <= {trials.Ruling.TRIAL, trials.Ruling.WAIT}


# After an upgrade of some nodes, no request that was suspected would have run for half an hour.
def test_nodes_of_a_version_without_trials_are_no_arbiters(fleet):
    tell(fleet[0], 1)
    old = control.ControlServer("127.0.0.1:0", SECRET, ())
    old.start()
    try:
        for number in range(10, 20):
            address = f"127.0.0.1:{old.port}"
            fleet[0].sharing._members.records.append(build_record(number, address))
        answers = [request(node).decision.ruling for node in fleet]
    finally:
        old.stop(0)
    assert answers == [trials.Ruling.TRIAL, trials.Ruling.WAIT, trials.Ruling.WAIT]


def test_fingerprints_whose_calls_should_be_cancelled_are_passed_on(fleet):
    strong = []
    fleet[1].sharing.add_listener(strong.extend)
    tell(fleet[0], 1)
    assert strong == []
    tell(fleet[2], 2)
    assert strong == [KEY]


def test_a_message_of_any_size_is_taken_in_only_up_to_the_bound(fleet):
    now = fleet[0].sharing._clock()
    flood = suspects_pb2.EvidenceList(
        evidence=[
            suspects_pb2.FingerprintEvidence(
                fingerprint=key,
                crashes=[suspects_pb2.CrashRecord(crash_id=number) for number in range(30)],
            )
            for key in range(3 * suspect_messages.MAX_EVIDENCE_PER_MESSAGE)
        ]
    )
    reply = fleet[0].sharing.share(flood)
    assert len(reply.evidence) <= suspect_messages.MAX_EVIDENCE_PER_MESSAGE
    known = fleet[0].sharing._table
    assert len(known) <= suspect_messages.MAX_EVIDENCE_PER_MESSAGE
    assert len(known.evidence(5).crashes) <= suspects.MAX_CRASHES_PER_SUSPECT
    assert known.suspicion(5, now).held_until > now


def test_an_unreachable_host_does_not_keep_the_news_from_the_others(fleet):
    fleet[0].sharing._members.records.append(build_record(99, NO_ONE_LISTENS))
    tell(fleet[0], 1)
    assert [node.sharing.suspicion(KEY).crashes for node in fleet] == [1] * NODES


def test_a_call_without_the_token_of_the_fleet_is_refused(fleet):
    stranger = control.ChannelPool("other")
    sharing = suspect_sharing.SuspectSharing(
        Members(build_record(9, ""), [fleet[0].record]), stranger, random.Random(9)
    )
    try:
        event_loop.run(sharing.record_crash(evidence(sharing, 1, 2, 3)))
        assert fleet[0].sharing.suspicion(KEY) == suspects.NOT_SUSPECTED
        with pytest.raises(grpc.RpcError):
            sharing._stub(fleet[0].record.control_address).Share(suspects_pb2.EvidenceList())
    finally:
        sharing.stop()
        stranger.close()
