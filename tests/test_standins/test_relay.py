"""During a cut, the network stand-in relays connections within a failure domain but not across."""

import os
import socket

import pytest

from standins import relay, serving, sources


class FixedResponseHandler(serving.Handler):
    def do_GET(self) -> None:  # noqa: N802
        self.answer(200, b"whole")


@pytest.fixture
def network():
    server = serving.Server("127.0.0.1:0", FixedResponseHandler)
    server.start()
    network_standin, known = relay.Network(), sources.ProcessDomains()
    known.register(os.getpid(), "east")
    addresses = []
    for domain in ("east", "west"):
        with socket.create_server(("127.0.0.1", 0)) as probe:
            addresses.append(probe.getsockname())
        listen = "{}:{}".format(*addresses[-1])
        relay.Link(listen, f"127.0.0.1:{server.server_port}", domain, network_standin, known)
    yield network_standin, *addresses
    network_standin.cut([])
    server.shutdown()


def fetch(address, timeout_s, family=socket.AF_INET):
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
def test_cut_blocks_only_connections_across_it(network, cut):
    network_standin, address_in_domain, address_across = network
    assert fetch(address_across, 10).startswith(b"HTTP/1.1 200")
    network_standin.cut([cut])
    assert fetch(address_across, 0.2) == b""
    for family in (socket.AF_INET, socket.AF_INET6):
        assert fetch(address_in_domain, 10, family).startswith(b"HTTP/1.1 200")
    network_standin.cut([])
    assert fetch(address_across, 10).startswith(b"HTTP/1.1 200")
