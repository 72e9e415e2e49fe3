"""The operators' port: pages, error responses, and an address in use.

Connections that send no request must not occupy the worker threads forever.
"""

import socket

import attrs
import pytest

from bergamotridge import errors, events, metrics
from bergamotridge.nodes import confirmation
from bergamotridge.operators import (
    client,
    page_server,
    pages,
    port,
    route_preview,
    status,
)
from bergamotridge.util import http_client, message

SECRET = "fleet secret"
TIMEOUT_S = 10
KNOWLEDGE = confirmation.Knowledge((confirmation.Place("h1", "amsterdam"),), cause="outage")
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
        return KNOWLEDGE

    def preview(self, query):
        return route_preview.RoutePreview("h1", "9", f"{query.method} {query.path} {query.team}")


@pytest.fixture
def node():
    running_node = Node("127.0.0.1:0", events.EventLog("h1", 17, "amsterdam"))
    registry = metrics.Metrics()
    registry.counter("calls_total", "Calls.").add()
    served_pages = (
        pages.metrics_page(registry),
        pages.status_page(lambda: STATUS),
        pages.events_page(running_node.log),
        pages.withdraw_page(SECRET, running_node.withdraw),
        pages.preview_page(running_node.preview),
    )
    operator_port = port.OperatorPort(running_node.address, lambda: served_pages)
    operator_port.start()
    running_node.address = operator_port.address
    yield running_node
    operator_port.stop()


def send_request(node, method, target, headers=(), body=b""):
    sent = message.Request(method, target, list(headers), body)
    return http_client.send_once(node.address, sent, TIMEOUT_S, 1 << 20)


def test_client_reads_status_and_events(node):
    operator_client = client.OperatorClient(node.address, TIMEOUT_S)
    assert operator_client.status() == STATUS
    first = node.log.emit("call.refused", "r1", "rate", retry_after_s=1.5)
    second = node.log.emit("upstream.lost", cause="silent")
    assert operator_client.events() == [first, second]
    assert operator_client.events("r1") == [first]
    assert operator_client.events(since=str(first.stamp)) == [second]
    assert operator_client.events(since=str(second.stamp.millis + 1)) == []


def test_client_asks_where_a_request_would_go(node):
    operator_client = client.OperatorClient(node.address, TIMEOUT_S)
    query = route_preview.Query("GET", "/a b?", "app", "delft")
    assert operator_client.preview(query).refusal == "GET /a b? delft"
    with pytest.raises(errors.OperatorPortError, match="path is missing"):
        operator_client.preview(route_preview.Query("GET", "a"))


def test_metrics_page(node):
    answer = send_request(node, b"GET", b"/metrics")
    assert b"calls_total 1\n" in answer.body
    assert answer.header(b"content-type").startswith(b"text/plain")


def test_withdrawal_requires_the_fleet_secret(node):
    operator_client = client.OperatorClient(node.address, TIMEOUT_S)
    with pytest.raises(errors.OperatorPortError, match="403"):
        operator_client.withdraw("k1", "wrong secret")
    assert send_request(node, b"POST", b"/keys/withdraw", body=b'{"key_id": "k1"}').status == 403
    assert node.withdrawn == []
    assert operator_client.withdraw("k1", SECRET) == KNOWLEDGE
    assert node.withdrawn == ["k1"]
    with pytest.raises(errors.OperatorPortError, match="no key 'unknown'"):
        operator_client.withdraw("unknown", SECRET)


@pytest.mark.parametrize(
    ("method", "target", "status_code"),
    [
        (b"GET", b"/none", 404),
        (b"GET", b"/keys/withdraw", 405),
        (b"GET", b"/events?since=x", 400),
    ],
)
def test_error_status_codes(node, method, target, status_code):
    assert send_request(node, method, target).status == status_code


def test_error_names_an_address_in_use(node):
    with pytest.raises(errors.AddressInUseError, match=node.address):
        port.OperatorPort(node.address, tuple).start()


def test_silent_connections_do_not_block_the_port(node, monkeypatch):
    monkeypatch.setattr(page_server._RequestHandler, "timeout", 0.2)
    host, _, port_number = node.address.partition(":")
    silent_connections = [
        socket.create_connection((host, int(port_number)))
        for _ in range(3 * page_server.WORKER_THREADS)
    ]
    assert client.OperatorClient(node.address, TIMEOUT_S).status() == STATUS
    for connection in silent_connections:
        connection.close()


# The server is loaded at the first request; without one, stopping would wait for it without end.
def test_a_port_that_got_no_request_stops_and_frees_its_address():
    first = port.OperatorPort("127.0.0.1:0", tuple)
    first.start()
    address = first.address
    first.stop()
    second = port.OperatorPort(address, tuple)
    second.start()
    second.stop()
