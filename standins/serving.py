"""A threaded HTTP/1.1 server with keep-alive connections, shared by the stand-ins."""

import contextlib
import http.server
import json
import queue
import select
import signal
import socketserver
import threading
import urllib.parse

LISTEN_BACKLOG = 512
POLL_INTERVAL_S = 0.05
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Handler(http.server.BaseHTTPRequestHandler):
    """Base class of the stand-ins' request handlers: buffered writes, no log lines."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *arguments: object) -> None:
        """Discards the log lines of the standard handler."""

    @property
    def route(self) -> list[str]:
        """Unquoted segments of the path, without the query."""
        path = urllib.parse.urlsplit(self.path).path
        return [urllib.parse.unquote(part) for part in path.strip("/").split("/")]

    @property
    def query(self) -> dict[str, str]:
        """Query parameters; the last value wins if one is repeated."""
        return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))

    def read_body(self) -> bytes:
        """Returns the request body; only bodies with a Content-Length are supported."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Sends a complete response with its Content-Length."""
        self.send_response_only(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def answer_json(self, status: int, value: object) -> None:
        """Sends a response whose body is `value` as JSON."""
        self.answer(status, json.dumps(value).encode(), {"Content-Type": "application/json"})

    def cut_connection(self) -> None:
        """Closes the connection after what has been written so far, even half a response."""
        self.close_connection = True

    def wait_for_disconnect(self, wait_s: float) -> bool:
        """Waits `wait_s` seconds; returns True as soon as the client closes the connection."""
        poll = select.poll()
        poll.register(self.connection, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        return bool(poll.poll(max(0.0, wait_s) * 1000))


class Server(http.server.ThreadingHTTPServer):
    """HTTP server that handles each connection in a thread of its own."""

    daemon_threads = True
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, address: str, handler: type[Handler]) -> None:
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), handler)

    def server_bind(self) -> None:
        """Binds without the lookup of the host's name that the standard class does."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignores errors of connections whose client left in the middle of a response."""

    def start(self) -> None:
        """Starts to accept connections in a background thread."""
        threading.Thread(
            target=self.serve_forever, args=(POLL_INTERVAL_S,), name="accept", daemon=True
        ).start()


class StopSignal:
    """SIGTERM and SIGINT, which no longer end the process once this object exists."""

    def __init__(self) -> None:
        """Installs the handlers; must be called in the main thread, before a port is opened."""
        # An event would be locked for good by a handler that runs while `wait` holds its lock.
        self._received: queue.SimpleQueue[int] = queue.SimpleQueue()
        for signal_number in STOP_SIGNALS:
            signal.signal(signal_number, lambda number, _: self._received.put(number))

    def wait(self) -> None:
        """Blocks until one of the signals is received; to be called once.

        A signal that arrives just before the thread blocks does not wake it, and its handler runs
        only when the thread goes on.
        """
        while True:
            with contextlib.suppress(queue.Empty):
                self._received.get(timeout=POLL_INTERVAL_S)
                return
