"""A TCP relay that stands in for the network between failure domains, and can be cut.

Run ``python -m standins.relay --link 127.0.0.1:7000=127.0.0.1:8000=east --control
127.0.0.1:7999``. Each link names its listening address, its target and the target's failure
domain, which is empty for the platform.

* ``POST /sources`` with JSON ``{"PID": "DOMAIN"}`` says where the connecting processes are.
* ``POST /cut`` with JSON ``{"failure_domains": ["east"]}`` cuts these off from all others and from
  the platform; an empty list mends everything. A cut is silent: connections stay open and carry
  nothing until it is mended, as when a network loses its packets.
"""

import json
import socket
import threading

from absl import app, flags

from standins import serving, sources

CHUNK_BYTES = 65_536


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class Network:
    """Knows which failure domains are cut off."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._cut: frozenset[str] = frozenset()

    def cut(self, failure_domains: list[str]) -> None:
        """Cuts these failure domains off, and only these."""
        with self._changed:
            self._cut = frozenset(failure_domains)
            self._changed.notify_all()

    def wait_open(self, source: str, target: str) -> None:
        """Waits until the two failure domains reach each other.

        A connection of an unknown process, with an empty `source`, is held by every cut.
        """
        with self._changed:
            while self._parts(source, target):
                self._changed.wait()

    def _parts(self, source: str, target: str) -> bool:
        if not source:
            return bool(self._cut)
        return source != target and bool(self._cut & {source, target})


class Link:
    """Carries connections from one listening address to one target."""

    def __init__(
        self, listen: str, target: str, domain: str, network: Network, known: sources.Sources
    ) -> None:
        self._target = _split(target)
        self._domain = domain
        self._network = network
        self._known = known
        self._listener = socket.create_server(_split(listen), backlog=serving.BACKLOG)
        threading.Thread(target=self._accept, name=f"link {listen}", daemon=True).start()

    def _accept(self) -> None:
        while True:
            client, peer = self._listener.accept()
            arguments = (client, peer[1])
            threading.Thread(target=self._connect, args=arguments, daemon=True).start()

    def _connect(self, client: socket.socket, port: int) -> None:
        source = self._known.domain(port, self._listener.getsockname()[1])
        self._network.wait_open(source, self._domain)
        try:
            server = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        for connection in (client, server):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(target=self._pump, args=(server, client, source), daemon=True)
        back.start()
        self._pump(client, server, source)
        back.join()
        client.close()
        server.close()

    def _pump(self, origin: socket.socket, sink: socket.socket, source: str) -> None:
        try:
            while data := origin.recv(CHUNK_BYTES):
                self._network.wait_open(source, self._domain)
                sink.sendall(data)
        except OSError:
            pass
        self._network.wait_open(source, self._domain)
        for connection in (origin, sink):
            _shut(connection)


def _shut(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class Handler(serving.Handler):
    """The relay's control port."""

    network: Network
    known: sources.Sources

    def do_POST(self) -> None:  # noqa: N802
        """Takes sources and cuts."""
        order = json.loads(self.read_body())
        if self.path == "/sources":
            for pid, failure_domain in order.items():
                self.known.register(int(pid), failure_domain)
        else:
            self.network.cut(order["failure_domains"])
        self.answer_json(200, {})


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_multi_string("link", [], "LISTEN=TARGET=DOMAIN, addresses as IP:PORT")
    flags.DEFINE_string("control", "127.0.0.1:7999", "IP:PORT that takes orders")


def main(_: list[str]) -> None:
    """Relays until SIGTERM."""
    network, known = Network(), sources.Sources()
    for text in flags.FLAGS.link:
        listen, target, failure_domain = text.split("=")
        Link(listen, target, failure_domain, network, known)
    handler = type("BoundHandler", (Handler,), {"network": network, "known": known})
    serving.Server(flags.FLAGS.control, handler).start()
    serving.wait_for_stop()


if __name__ == "__main__":
    define_flags()
    app.run(main)
