"""Announcements of the local upstream, including late and malformed ones."""

import orjson
import pytest

from bergamotridge.nodes import record
from bergamotridge.util import cancellation, message
from tests import event_loop

VALID_FIELDS = {
    "service": "slots",
    "address": "10.0.0.9:80",
    "slots": 58,
    "state": "ready",
    "cold_remaining": "250ms",
    "seq": 4,
    "born": 1000,
}


@pytest.fixture
def handler():
    from hosting import announcements

    received = []
    made = announcements.AnnouncementHandler("slots", lambda item, now: received.append(item))
    made.received = received
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
    ],
)
def test_a_malformed_heartbeat_is_rejected_and_changes_nothing(handler, body):
    assert _post(handler, "Heartbeat", body) == 400
    assert handler.received == []


def test_deregistration_of_another_instance_changes_nothing(handler):
    _post(handler, "Heartbeat", VALID_FIELDS)
    assert _post(handler, "Deregister", instance="i-0") == 200
    assert len(handler.received) == 1
