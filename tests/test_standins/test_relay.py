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
    addresses, links = [], []
    for domain in ("east", "west"):
        with socket.create_server(("127.0.0.1", 0)) as probe:
            addresses.append(probe.getsockname())
        listen, target = "{}:{}".format(*addresses[-1]), f"127.0.0.1:{server.server_port}"
        links.append(relay.Link(listen, target, domain, network_standin, known))
    yield network_standin, *addresses, links
    network_standin.cut([])
    server.shutdown()


@pytest.fixture
def link(network):
    """A link with its address, and an open connection that has carried a whole response."""
    _, address, _, links = network
    with socket.create_connection(address) as connection:
        assert exchange(connection, 10).startswith(b"HTTP/1.1 200")
        yield links[0], address, connection


def exchange(connection, timeout_s):
    connection.settimeout(timeout_s)
    connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
    try:
        return connection.recv(1000)
    except TimeoutError:
        return b""


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
    network_standin, address_in_domain, address_across, _ = network
    assert fetch(address_across, 10).startswith(b"HTTP/1.1 200")
    network_standin.cut([cut])
    assert fetch(address_across, 0.2) == b""
    for family in (socket.AF_INET, socket.AF_INET6):
        assert fetch(address_in_domain, 10, family).startswith(b"HTTP/1.1 200")
    network_standin.cut([])
    assert fetch(address_across, 10).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("loss", ["requests_lost", "answers_lost"])
def test_data_lost_in_one_direction_arrives_after_the_fault(link, loss):
    faulty, _, connection = link
    faulty.inject(relay.LinkFaults(**{loss: True}))
    assert exchange(connection, 0.2) == b""
    faulty.inject(relay.LinkFaults())
    connection.settimeout(10)
    assert connection.recv(1000).startswith(b"HTTP/1.1 200")


def test_delayed_link_carries_data_late(link):
    faulty, _, connection = link
    faulty.inject(relay.LinkFaults(delay_ms=300))
    assert exchange(connection, 0.2) == b""
    connection.settimeout(10)
    assert connection.recv(1000).startswith(b"HTTP/1.1 200")


def test_reset_ends_open_connections_and_no_later_ones(link):
    faulty, address, connection = link
    faulty.reset()
    with pytest.raises(ConnectionResetError):
        connection.recv(1000)
    assert fetch(address, 10).startswith(b"HTTP/1.1 200")
