"""A TCP relay that stands in for the network between failure domains and can be partitioned.

Run ``python -m standins.relay --link 127.0.0.1:7000=127.0.0.1:8000=east --control
127.0.0.1:7999``. Each link names its listening address, its target and the target's failure
domain, which is empty for the platform.

* ``POST /sources`` with JSON ``{"PID": "DOMAIN"}`` registers the failure domains of connecting
  processes.
* ``POST /cut`` with JSON ``{"failure_domains": ["east"]}`` partitions these failure domains
  from all others and from the platform; an empty list ends the partition. During a partition
  connections stay open and carry no data, as in a network that drops all packets.
* ``POST /link`` with JSON ``{"listen": "127.0.0.1:7000", "delay_ms": 100}`` sets the faults of one
  link, any of the fields of `LinkFaults`; those that are not named end.
* ``POST /reset`` with JSON ``{"listen": "127.0.0.1:7000"}`` resets all open connections of a link.
"""

import functools
import json
import socket
import struct
import threading
import time
from collections.abc import Callable

import attrs
from absl import app, flags

from standins import serving, sources

RECEIVE_CHUNK_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # Value of SO_LINGER.


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


@attrs.frozen
class LinkFaults:
    """Faults of one link.

    Attributes:
        delay_ms: Milliseconds by which each piece of data is delayed.
        requests_lost: True if connections stay open but carry no data to the target.
        answers_lost: The same for data from the target.
    """

    delay_ms: float = 0.0
    requests_lost: bool = False
    answers_lost: bool = False


class Network:
    """Holds the set of failure domains that are cut off."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._cut: frozenset[str] = frozenset()

    def cut(self, failure_domains: list[str]) -> None:
        """Cuts these failure domains off and reconnects all others."""
        with self._changed:
            self._cut = frozenset(failure_domains)
            self._changed.notify_all()

    def wait_until_reachable(self, find_source: Callable[[], str], target: str) -> None:
        """Waits until no cut separates the failure domains of the source and the target.

        Args:
            find_source: Returns the failure domain of the source; called only during a cut, since
                it reads the kernel's table of all sockets. An empty one stands for an unknown
                process, whose connections wait during any cut.
            target: Failure domain of the target.
        """
        if not self._cut:
            return
        source = find_source()
        with self._changed:
            while self._is_blocked(source, target):
                self._changed.wait()

    def _is_blocked(self, source: str, target: str) -> bool:
        if not source:
            return bool(self._cut)
        return source != target and bool(self._cut & {source, target})


class Link:
    """Accepts connections at one listening address and relays them to one target address."""

    def __init__(
        self, listen: str, target: str, domain: str, network: Network, known: sources.ProcessDomains
    ) -> None:
        self._target = _parse_address(target)
        self._target_domain = domain
        self._network = network
        self._known = known
        self._changed = threading.Condition()
        self._faults = LinkFaults()
        self._open: set[socket.socket] = set()
        self._reset: set[socket.socket] = set()
        self._listener = socket.create_server(
            _parse_address(listen), backlog=serving.LISTEN_BACKLOG
        )
        threading.Thread(target=self._accept, name=f"link {listen}", daemon=True).start()

    def inject(self, faults: LinkFaults) -> None:
        """Replaces the faults of this link."""
        with self._changed:
            self._faults = faults
            self._changed.notify_all()

    def reset(self) -> None:
        """Resets all open connections, on both sides."""
        with self._changed:
            self._reset |= self._open
            for connection in self._open:
                _prepare_reset(connection)

    def _accept(self) -> None:
        while True:
            client, client_address = self._listener.accept()
            arguments = (client, client_address[1])
            threading.Thread(target=self._relay_connection, args=arguments, daemon=True).start()

    def _relay_connection(self, client: socket.socket, port: int) -> None:
        listening_port = self._listener.getsockname()[1]
        source = functools.cache(lambda: self._known.find_domain(port, listening_port))
        self._network.wait_until_reachable(source, self._target_domain)
        try:
            server = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        with self._changed:
            self._open |= {client, server}
        for connection in (client, server):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        response_thread = threading.Thread(
            target=self._copy_bytes, args=(server, client, source, "answers_lost"), daemon=True
        )
        response_thread.start()
        self._copy_bytes(client, server, source, "requests_lost")
        response_thread.join()
        with self._changed:
            self._open -= {client, server}
            self._reset -= {client, server}
        client.close()
        server.close()

    def _copy_bytes(
        self, origin: socket.socket, sink: socket.socket, source: Callable[[], str], loss: str
    ) -> None:
        """Copies until the end of the data; `loss` is the field of the fault that holds it up."""
        try:
            while data := origin.recv(RECEIVE_CHUNK_BYTES):
                self._wait_until_passing(source, loss)
                sink.sendall(data)
        except OSError:
            pass
        self._wait_until_passing(source, loss)
        with self._changed:
            is_reset = origin in self._reset
        if not is_reset:
            for connection in (origin, sink):
                _shut_down(connection)

    def _wait_until_passing(self, source: Callable[[], str], loss: str) -> None:
        self._network.wait_until_reachable(source, self._target_domain)
        time.sleep(self._faults.delay_ms / 1000)
        with self._changed:
            self._changed.wait_for(lambda: not getattr(self._faults, loss))


def _prepare_reset(connection: socket.socket) -> None:
    """Ends the wait of the thread that reads a connection, and makes its close send a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        return


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class Handler(serving.Handler):
    """Handles requests to the control port of the relay."""

    network: Network
    known: sources.ProcessDomains
    links: dict[str, Link]

    def do_POST(self) -> None:  # noqa: N802
        """Registers processes or changes the faults."""
        request = json.loads(self.read_body())
        match self.path:
            case "/sources":
                for pid, failure_domain in request.items():
                    self.known.register(int(pid), failure_domain)
            case "/cut":
                self.network.cut(request["failure_domains"])
            case "/link":
                self.links[request.pop("listen")].inject(LinkFaults(**request))
            case "/reset":
                self.links[request["listen"]].reset()
            case _:
                self.answer_json(404, {"error": "no such path"})
                return
        self.answer_json(200, {})


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_multi_string("link", [], "link as LISTEN=TARGET=DOMAIN with addresses as IP:PORT")
    flags.DEFINE_string("control", "127.0.0.1:7999", "IP:PORT of the control port")


def main(_: list[str]) -> None:
    """Relays until SIGTERM."""
    stop_signal = serving.StopSignal()
    network, known = Network(), sources.ProcessDomains()
    links = {}
    for link in flags.FLAGS.link:
        listen, target, failure_domain = link.split("=")
        links[listen] = Link(listen, target, failure_domain, network, known)
    fields = {"network": network, "known": known, "links": links}
    handler = type("BoundHandler", (Handler,), fields)
    serving.Server(flags.FLAGS.control, handler).start()
    stop_signal.wait()


if __name__ == "__main__":
    define_flags()
    app.run(main)
