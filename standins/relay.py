"""A TCP relay whose connections can be cut and refused: a stand-in for a network that fails.

Run ``python -m standins.relay --link 127.0.0.1:7000=127.0.0.1:8000 --control 127.0.0.1:7999``.
``POST /cut`` with JSON ``{"links": ["127.0.0.1:7000"], "cut": true}`` cuts links, each named by
its listening address; without ``links`` it cuts them all.
"""

import json
import socket
import threading

from absl import app, flags

from standins import serving

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class Link:
    """Carries connections from one listening address to one target."""

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self._target = _split(target)
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self._cut = False
        self._listener = socket.create_server(_split(listen), backlog=serving.BACKLOG)
        threading.Thread(target=self._accept, name=f"link {listen}", daemon=True).start()

    def cut(self, cut: bool) -> None:
        """Cuts all connections and refuses new ones, or lets new ones through again."""
        with self._lock:
            self._cut = cut
            sockets = list(self._sockets) if cut else []
        for connection in sockets:
            _shut(connection)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for connection in (client, server):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            refused = self._cut
            if not refused:
                self._sockets |= {client, server}
        if refused:
            client.close()
            server.close()
            return
        back = threading.Thread(target=_pump, args=(server, client), daemon=True)
        back.start()
        _pump(client, server)
        back.join()
        with self._lock:
            self._sockets -= {client, server}
        client.close()
        server.close()


def _pump(source: socket.socket, sink: socket.socket) -> None:
    try:
        while data := source.recv(CHUNK_BYTES):
            sink.sendall(data)
    except OSError:
        pass
    _shut(sink)
    _shut(source)


def _shut(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class Handler(serving.Handler):
    """The relay's control port."""

    links: list[Link]

    def do_POST(self) -> None:  # noqa: N802
        """Cuts links or mends them."""
        order = json.loads(self.read_body())
        named = order.get("links", [link.listen for link in self.links])
        chosen = [link for link in self.links if link.listen in named]
        for link in chosen:
            link.cut(bool(order["cut"]))
        self.answer_json(200, {"links": len(chosen)})


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_multi_string("link", [], "LISTEN=TARGET, both IP:PORT")
    flags.DEFINE_string("control", "127.0.0.1:7999", "IP:PORT that takes POST /cut")


def main(_: list[str]) -> None:
    """Relays until SIGTERM."""
    links = [Link(*text.split("=")) for text in flags.FLAGS.links]
    server = serving.Server(flags.FLAGS.control, type("BoundHandler", (Handler,), {"links": links}))
    server.start()
    serving.wait_for_stop()


if __name__ == "__main__":
    define_flags()
    app.run(main)
