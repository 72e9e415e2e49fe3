"""Announcements of the local upstream, including late and malformed ones."""

import hypothesis
import orjson
import pytest

from bergamotridge import malformed
from bergamotridge.callers import keys
from bergamotridge.nodes import exchange, gossip_pb2, membership, record
from bergamotridge.util import cancellation, message
from tests import event_loop, odd_values
from tests.test_nodes import fleet

VALID_FIELDS = {
    "service": "slots",
    "address": "10.0.0.9:80",
    "zone": "a",
    "version": "v1",
    "slots": 58,
    "state": "ready",
    "cold_remaining": "250ms",
    "seq": 4,
    "born": 1000,
}
NEXT_START = {**VALID_FIELDS, "seq": 1, "born": 1_790_000_000_000}
# Some raised another error than the ones that were expected, so the upstream got status 500; the
# others were taken, and numbers too large for a gossip message ended all gossip of the node.
ODD_VALUES = {
    "address": (80, ["10.0.0.9:80"], "10.0.0.9:99999", "10.0.0.9:-5", f"10.0.0.9:{10**30}"),
    "slots": (True, -1, 1.0, 2**32, 10**18),
    "seq": (True, -1, 2**32, 10**18),
    "born": (True, -1, 10**15, 10**18),
    "state": ([], {}, 1, "READY", "x" * 500),
    "service": ([], {}, 1, "slots "),
    "cold_remaining": (5, "infs", "nans", "-5ms", "1e999s", "250", "\u0665s"),
    "zone": (3, ""),
    "version": ([], "x" * 500),
}


@pytest.fixture
def handler():
    from hosting import announcements

    received, reports = [], []
    made = announcements.AnnouncementHandler(
        "slots", lambda item, now: received.append(item), reports.append
    )
    made.received, made.reports = received, reports
    return made


def _post(handler, operation, body=b"", instance="i-1"):
    target = f"/Instances.{operation}/{instance}".encode()
    body = body if isinstance(body, bytes) else orjson.dumps(body)
    request = message.Request(b"POST", target, [], body)
    return event_loop.run(handler.handle(request, cancellation.Token())).status


def test_a_heartbeat_announces_the_upstream(handler):
    assert _post(handler, "Heartbeat", VALID_FIELDS) == 200
    (received,) = handler.received
    assert (received.instance, received.sequence, received.cold_s) == ("i-1", 4, 0.25)


@pytest.mark.parametrize(
    "late", [{"seq": 3}, {"seq": 4}, {"seq": 9, "born": 999}, {"seq": 1, "born": 1}]
)
def test_a_late_heartbeat_is_acknowledged_and_changes_nothing(handler, late):
    _post(handler, "Heartbeat", VALID_FIELDS)
    assert _post(handler, "Heartbeat", {**VALID_FIELDS, **late}) == 200
    assert len(handler.received) == 1


def test_a_heartbeat_after_deregistration_does_not_bring_the_upstream_back(handler):
    _post(handler, "Heartbeat", VALID_FIELDS)
    assert _post(handler, "Deregister") == 200
    _post(handler, "Heartbeat", {**VALID_FIELDS, "seq": 5})
    assert [item.state for item in handler.received] == [record.State.READY, record.State.DRAINING]
    _post(handler, "Heartbeat", {**VALID_FIELDS, "seq": 1, "born": 2000})
    assert handler.received[-1].state is record.State.READY


@pytest.mark.parametrize(
    "body",
    [
        b"\xff",
        b"[]",
        {},
        {**VALID_FIELDS, "slots": "58"},
        {**VALID_FIELDS, "slots": 0},
        {**VALID_FIELDS, "state": "well"},
        {**VALID_FIELDS, "service": "else"},
        {**VALID_FIELDS, "born": 1.5},
        {**VALID_FIELDS, "address": "x"},
        *({**VALID_FIELDS, key: value} for key, values in ODD_VALUES.items() for value in values),
        *({**VALID_FIELDS, key: None} for key in VALID_FIELDS),
        *(
            {name: value for name, value in VALID_FIELDS.items() if name != key}
            for key in VALID_FIELDS
            if key != "born"
        ),
        orjson.dumps(VALID_FIELDS).replace(b'"250ms"', b"[" * 1000 + b"]" * 1000),
    ],
)
def test_a_malformed_heartbeat_is_rejected_and_changes_nothing(handler, body):
    assert _post(handler, "Heartbeat", body) == 400
    assert handler.received == []
    (report,) = handler.reports
    assert (report.source, report.name) == ("announcement", "/Instances.Heartbeat/i-1")
    assert len(report.reason) <= malformed.MAX_REASON_LENGTH


# A node that was started again forgot what it confirmed, and took a late report for a new one.
@pytest.mark.parametrize("body", [b"", {"born": 1000}, b"[" * 1000, {"born": "1000"}])
def test_a_late_heartbeat_after_a_deregistration_of_an_unknown_instance_changes_nothing(
    handler, body
):
    assert _post(handler, "Deregister", body) == 200
    assert _post(handler, "Heartbeat", VALID_FIELDS) == 200
    assert handler.received == []


# A deregistration that came late took the next start under the same id out for good.
def test_a_deregistration_of_an_earlier_start_changes_nothing(handler):
    _post(handler, "Heartbeat", VALID_FIELDS)
    _post(handler, "Heartbeat", {**VALID_FIELDS, "seq": 1, "born": 2000})
    assert _post(handler, "Deregister", {"born": 1000}) == 200
    _post(handler, "Heartbeat", {**VALID_FIELDS, "seq": 2, "born": 2000})
    assert [item.state for item in handler.received] == [record.State.READY] * 3


def test_deregistration_of_another_instance_changes_nothing(handler):
    _post(handler, "Heartbeat", VALID_FIELDS)
    assert _post(handler, "Deregister", instance="i-0") == 200
    assert len(handler.received) == 1


@pytest.mark.parametrize("instance", ["", "\x7f", "%" * 300])
def test_an_announcement_without_a_usable_id_is_rejected(handler, instance):
    assert _post(handler, "Heartbeat", VALID_FIELDS, instance) == 400
    assert _post(handler, "Deregister", instance=instance) == 400


# A sequence of 0 stood for "not sent", so such a report replaced all later ones.
def test_a_late_heartbeat_with_the_sequence_0_changes_nothing(handler):
    _post(handler, "Heartbeat", VALID_FIELDS)
    assert _post(handler, "Heartbeat", {**VALID_FIELDS, "seq": 0, "state": "draining"}) == 200
    assert [item.state for item in handler.received] == [record.State.READY]


# One report of another writer outranked all later ones, or ended all gossip of the node.
@odd_values.SETTINGS
@hypothesis.given(body=odd_values.changed(VALID_FIELDS).map(str.encode) | odd_values.BODIES)
def test_whatever_a_report_holds_the_next_start_of_the_upstream_is_taken(body):
    from hosting import announcements

    members = membership.Membership(fleet.own_record("h", 1), membership.MembershipTimings())
    gossip_exchange = exchange.Exchange(members, (), keys.KeyRing("s"), 1)
    session = 5
    gossip_exchange.process_message(gossip_pb2.GossipMessage(host="p", session=session), 0.0)

    taken = []

    def announce(item, now):
        taken.append(item)
        members.announce(item.service, item.state, item.slots, item.load, now)
        sent = gossip_exchange.build_message(session, 1)
        assert sent.records
        sent.SerializeToString()

    handler = announcements.AnnouncementHandler("slots", announce)
    assert _post(handler, "Heartbeat", VALID_FIELDS) == 200
    assert _post(handler, "Heartbeat", body) in (200, 400)
    assert _post(handler, "Heartbeat", NEXT_START) == 200
    assert taken[-1].incarnation == NEXT_START["born"]
