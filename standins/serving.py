"""A small threaded HTTP/1.1 server that keeps connections, shared by the stand-ins."""

import http.server
import json
import select
import signal
import socketserver
import threading
import urllib.parse

BACKLOG = 512
POLL_S = 0.05
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Handler(http.server.BaseHTTPRequestHandler):
    """Base of the stand-ins' handlers: whole answers in one write, no log lines."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *arguments: object) -> None:
        """Keeps the standard handler silent."""

    @property
    def route(self) -> list[str]:
        """Parts of the path, without the query."""
        path = urllib.parse.urlsplit(self.path).path
        return [urllib.parse.unquote(part) for part in path.strip("/").split("/")]

    @property
    def query(self) -> dict[str, str]:
        """The query, last value of each key."""
        return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))

    def read_body(self) -> bytes:
        """Returns the body; only bodies with a Content-Length are taken."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Writes a whole answer with its Content-Length."""
        self.send_response_only(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def answer_json(self, status: int, value: object) -> None:
        """Writes `value` as JSON."""
        self.answer(status, json.dumps(value).encode(), {"Content-Type": "application/json"})

    def cut_connection(self) -> None:
        """Ends the connection with whatever has been written so far."""
        self.close_connection = True

    def client_left(self, wait_s: float) -> bool:
        """Waits and returns True as soon as the client has closed its connection."""
        poll = select.poll()
        poll.register(self.connection, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        return bool(poll.poll(max(0.0, wait_s) * 1000))


class Server(http.server.ThreadingHTTPServer):
    """One thread for each connection."""

    daemon_threads = True
    request_queue_size = BACKLOG

    def __init__(self, address: str, handler: type[Handler]) -> None:
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), handler)

    def server_bind(self) -> None:
        """Binds without the look-up of the host's name that the standard class makes."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request: object, client_address: object) -> None:
        """Passes over clients that went away in the middle of an answer."""

    def start(self) -> None:
        """Serves from a thread of its own."""
        threading.Thread(
            target=self.serve_forever, args=(POLL_S,), name="accept", daemon=True
        ).start()


def wait_for_stop() -> None:
    """Blocks until SIGTERM or SIGINT comes."""
    stop = threading.Event()
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: stop.set())
    stop.wait()
