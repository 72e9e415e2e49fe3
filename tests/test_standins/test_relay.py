"""The network stand-in carries connections within a failure domain through a cut, not across."""

import os
import socket

import pytest

from standins import relay, serving, sources


class EchoHandler(serving.Handler):
    def do_GET(self) -> None:  # noqa: N802
        self.answer(200, b"whole")


@pytest.fixture
def network():
    server = serving.Server("127.0.0.1:0", EchoHandler)
    server.start()
    made, known = relay.Network(), sources.Sources()
    known.register(os.getpid(), "east")
    addresses = []
    for domain in ("east", "west"):
        with socket.create_server(("127.0.0.1", 0)) as free:
            addresses.append(free.getsockname())
        listen = "{}:{}".format(*addresses[-1])
        relay.Link(listen, f"127.0.0.1:{server.server_port}", domain, made, known)
    yield made, *addresses
    made.cut([])
    server.shutdown()


def received(address, timeout_s, family=socket.AF_INET):
    host = f"::ffff:{address[0]}" if family == socket.AF_INET6 else address[0]
    with socket.socket(family) as connection:
        connection.settimeout(timeout_s)
        connection.connect((host, address[1]))
        connection.sendall(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        try:
            return connection.recv(1000)
        except TimeoutError:
            return b""


@pytest.mark.parametrize("cut", ["east", "west"])
def test_cut_stops_what_crosses_it(network, cut):
    made, near, far = network
    assert received(far, 10).startswith(b"HTTP/1.1 200")
    made.cut([cut])
    assert received(far, 0.2) == b""
    for family in (socket.AF_INET, socket.AF_INET6):
        assert received(near, 10, family).startswith(b"HTTP/1.1 200")
    made.cut([])
    assert received(far, 10).startswith(b"HTTP/1.1 200")
