"""The operators' port: pages, refusals and a taken address."""

import socket

import attrs
import pytest

from bergamotridge import errors, events, metrics
from bergamotridge.operators import client, pages, port, status
from bergamotridge.util import http_client, message

SECRET = "fleet secret"
TIMEOUT_S = 10
STATUS = status.Status(
    "h1",
    17,
    "amsterdam",
    3.5,
    configuration_version=9,
    members=(status.Member("h2", 18, "utrecht", "booking", "ready", 0.5, "127.0.0.1:1"),),
    teams=(status.TeamRate("delft", 10, 5, 2.5, 1),),
)


@attrs.define
class Node:
    address: str
    log: events.EventLog
    withdrawn: list[str] = attrs.field(factory=list)

    def withdraw(self, key_id):
        if key_id == "unknown":
            raise errors.NotFoundError("no key 'unknown'")
        self.withdrawn.append(key_id)


@pytest.fixture
def node():
    made = Node("127.0.0.1:0", events.EventLog("h1", 17, "amsterdam"))
    counted = metrics.Metrics()
    counted.counter("calls_total", "Calls.").add()
    served = (
        pages.metrics_page(counted),
        pages.status_page(lambda: STATUS),
        pages.events_page(made.log),
        pages.withdraw_page(SECRET, made.withdraw),
    )
    listening = port.OperatorPort(made.address, served)
    listening.start()
    made.address = listening.address
    yield made
    listening.stop()


def request(node, method, target, headers=(), body=b""):
    sent = message.Request(method, target, list(headers), body)
    return http_client.send_once(node.address, sent, TIMEOUT_S, 1 << 20)


def test_status_and_events_come_back_as_they_were(node):
    asked = client.OperatorClient(node.address, TIMEOUT_S)
    assert asked.status() == STATUS
    first = node.log.emit("call.refused", "r1", "rate", retry_after_s=1.5)
    second = node.log.emit("upstream.lost", cause="silent")
    assert asked.events() == [first, second]
    assert asked.events("r1") == [first]
    assert asked.events(since=str(first.stamp)) == [second]
    assert asked.events(since=str(second.stamp.millis + 1)) == []


def test_metrics(node):
    answer = request(node, b"GET", b"/metrics")
    assert b"calls_total 1\n" in answer.body
    assert answer.header(b"content-type").startswith(b"text/plain")


def test_withdrawal_needs_the_fleet_secret(node):
    asked = client.OperatorClient(node.address, TIMEOUT_S)
    with pytest.raises(errors.OperatorPortError, match="403"):
        asked.withdraw("k1", "wrong secret")
    assert request(node, b"POST", b"/keys/withdraw", body=b'{"key_id": "k1"}').status == 403
    assert node.withdrawn == []
    asked.withdraw("k1", SECRET)
    assert node.withdrawn == ["k1"]
    with pytest.raises(errors.OperatorPortError, match="no key 'unknown'"):
        asked.withdraw("unknown", SECRET)


@pytest.mark.parametrize(
    ("method", "target", "status_code"),
    [
        (b"GET", b"/none", 404),
        (b"GET", b"/keys/withdraw", 405),
        (b"GET", b"/events?since=x", 400),
    ],
)
def test_refusals(node, method, target, status_code):
    assert request(node, method, target).status == status_code


def test_taken_address_is_named(node):
    with pytest.raises(errors.AddressInUseError, match=node.address):
        port.OperatorPort(node.address, ()).start()


def test_silent_connections_do_not_stop_the_port(node, monkeypatch):
    monkeypatch.setattr(port._RequestHandler, "timeout", 0.2)
    host, _, number = node.address.partition(":")
    silent = [socket.create_connection((host, int(number))) for _ in range(3 * port.WORKERS)]
    assert client.OperatorClient(node.address, TIMEOUT_S).status() == STATUS
    for connection in silent:
        connection.close()
