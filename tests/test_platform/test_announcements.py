"""Announcements of the local upstream, late and broken ones among them."""

import orjson
import pytest

from bergamotridge.nodes import record
from bergamotridge.util import cancellation, message
from tests import event_loop

GOOD = {
    "service": "slots",
    "address": "10.0.0.9:80",
    "slots": 58,
    "state": "ready",
    "cold_remaining": "250ms",
    "seq": 4,
    "born": 1000,
}


@pytest.fixture
def port():
    from hosting import announcements

    heard = []
    made = announcements.AnnouncementHandler("slots", lambda item, now: heard.append(item))
    made.heard = heard
    return made


def _say(port, call, body=b"", instance="i-1"):
    target = f"/Instances.{call}/{instance}".encode()
    body = body if isinstance(body, bytes) else orjson.dumps(body)
    request = message.Request(b"POST", target, [], body)
    return event_loop.run(port.handle(request, cancellation.Token())).status


def test_a_report_names_the_upstream(port):
    assert _say(port, "Heartbeat", GOOD) == 200
    (heard,) = port.heard
    assert (heard.instance, heard.sequence, heard.cold_s) == ("i-1", 4, 0.25)


@pytest.mark.parametrize(
    "late", [{"seq": 3}, {"seq": 4}, {"seq": 9, "born": 999}, {"seq": 1, "born": 1}]
)
def test_a_late_report_is_acknowledged_and_changes_nothing(port, late):
    _say(port, "Heartbeat", GOOD)
    assert _say(port, "Heartbeat", {**GOOD, **late}) == 200
    assert len(port.heard) == 1


def test_a_report_after_the_leave_does_not_bring_the_upstream_back(port):
    _say(port, "Heartbeat", GOOD)
    assert _say(port, "Deregister") == 200
    _say(port, "Heartbeat", {**GOOD, "seq": 5})
    assert [item.state for item in port.heard] == [record.State.READY, record.State.DRAINING]
    _say(port, "Heartbeat", {**GOOD, "seq": 1, "born": 2000})
    assert port.heard[-1].state is record.State.READY


@pytest.mark.parametrize(
    "body",
    [
        b"\xff",
        b"[]",
        {},
        {**GOOD, "slots": "58"},
        {**GOOD, "slots": 0},
        {**GOOD, "state": "well"},
        {**GOOD, "service": "else"},
        {**GOOD, "born": 1.5},
        {**GOOD, "address": "x"},
    ],
)
def test_what_cannot_be_read_names_no_upstream(port, body):
    assert _say(port, "Heartbeat", body) == 400
    assert port.heard == []


def test_a_leave_of_another_upstream_changes_nothing(port):
    _say(port, "Heartbeat", GOOD)
    assert _say(port, "Deregister", instance="i-0") == 200
    assert len(port.heard) == 1
