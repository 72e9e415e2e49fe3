"""Limits that change apply to the next request on connections that are open."""

import socket

import pytest

from bergamotridge.util import request_reader
from tests import event_loop
from tests.test_util import test_httpd

LIMIT_S = 30
BODY = b"x" * 500


def _make_bounds(body_bytes):
    return request_reader.RequestLimits(65_536, body_bytes, 10.0, 75.0)


def _post(client, body):
    client.sendall(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
    return client.recv(10_000)[:12]


# A request was refused by the limits that held when its connection was opened.
@pytest.mark.parametrize(
    ("before", "after", "status"), [(100, 1000, b"HTTP/1.1 200"), (1000, 100, b"HTTP/1.1 413")]
)
def test_a_kept_connection_follows_changed_limits(before, after, status):
    in_force = [_make_bounds(before)]
    server, address = test_httpd.start_server(test_httpd.echo, bounds=lambda: in_force[0])
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=LIMIT_S) as client:
        assert _post(client, b"short") == b"HTTP/1.1 200"
        in_force[0] = _make_bounds(after)
        assert _post(client, BODY) == status
    server.stop(0)


# A limit that is lowered while a body is under way must not cut it off.
def test_a_request_that_has_begun_keeps_the_limits_of_its_begin():
    in_force = [_make_bounds(1000)]
    server, address = test_httpd.start_server(test_httpd.echo, bounds=lambda: in_force[0])
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=LIMIT_S) as client:
        client.sendall(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 500\r\n\r\n" + BODY[:50])
        event_loop.call(lambda: None)
        while not any(item.is_in_use for item in server.connections):
            event_loop.call(lambda: None)
        in_force[0] = _make_bounds(100)
        client.sendall(BODY[50:])
        assert client.recv(10_000).startswith(b"HTTP/1.1 200")
    server.stop(0)
