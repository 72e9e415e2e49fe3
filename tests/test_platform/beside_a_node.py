"""What a node process talks to, on real ports: the metadata store, its upstream and a client."""

import contextlib
import http.client
import http.server
import threading
import time

import orjson

from tests.test_platform import wire_store

HOST = "book.example"
PATH = "/book/1"
SERVICE = "slots"
WATCH_PAUSE_S = 0.1
AGE_S = 60.0  # Of the upstream when the first node starts.
CONFIGURATION = {
    "version": "r3",
    "listeners": [
        {
            "host": HOST,
            "rules": [
                {
                    "kind": "unsafe",
                    "public": True,
                    "match": {"path_prefix": "/book/"},
                    "action": {"service": SERVICE, "timeout": "2000ms", "max_attempts": 1},
                }
            ],
        }
    ],
    "clusters": [{"name": SERVICE, "health_path": "/health"}],
}


class _Handler(http.server.BaseHTTPRequestHandler):
    """Hands each request to the function `answer` of its class: status, fields and body."""

    protocol_version = "HTTP/1.1"

    def _respond(self):
        body = self.rfile.read(int(self.headers.get("content-length") or 0))
        status, fields, content = self.answer(self.command, self.path, self.headers, body)
        self.send_response(status)
        for name, value in {**fields, "Content-Length": len(content)}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(content)

    def __getattr__(self, name):
        """Returns the method for a kind of request, as the base class looks it up."""
        if not name.startswith("do_"):
            raise AttributeError(name)
        return self._respond

    def log_message(self, *arguments):
        del arguments


@contextlib.contextmanager
def _serve(port, answer):
    handler = type("Handler", (_Handler,), {"answer": staticmethod(answer)})
    server = http.server.ThreadingHTTPServer(("127.0.0.1", port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield
    finally:
        server.shutdown()
        server.server_close()


@contextlib.contextmanager
def serve_store(port):
    """Serves a metadata store that holds a configuration."""
    store, lock = wire_store.WireStore(), threading.Lock()
    store.write("config", "main", CONFIGURATION)

    def answer(method, path, fields, body):
        del fields
        if "watch=" in path:
            time.sleep(WATCH_PAUSE_S)
        with lock:
            reply = store.answer(method, path, body)
        return reply.status, dict(reply.headers), reply.body

    with _serve(port, answer):
        yield


class Upstream:
    """An upstream; `healthy` and `names_itself` say how it answers the health check."""

    def __init__(self, port, control_port, instance="i-1"):
        self.healthy = self.names_itself = True
        self.health_checks, self.runs = [], []
        self.born, self.sequence, self.instance = int(1000 * (time.time() - AGE_S)), 0, instance
        self._port, self._control_port = port, control_port
        self._may_answer = threading.Event()
        self._may_answer.set()

    def serve(self):
        return _serve(self._port, self._answer)

    @contextlib.contextmanager
    def hold_health_checks(self):
        """Answers no health check until the end of the context."""
        self._may_answer.clear()
        try:
            yield
        finally:
            self._may_answer.set()

    def _answer(self, method, path, fields, body):
        del method, body
        if path == "/health":
            self.health_checks.append(time.monotonic())
            self._may_answer.wait()
            named = {"Instance-Id": self.instance} if self.names_itself else {}
            return (200 if self.healthy else 503), named, b""
        self.runs.append(time.monotonic())
        request_id = fields.get("request-id")
        return 200, {"Request-Id": request_id, "Response-Seal": f"s.{request_id}"}, b"done"

    def report(self):
        """Returns the next report, to be sent now or late."""
        self.sequence += 1
        return orjson.dumps(
            {
                "service": SERVICE,
                "address": f"127.0.0.1:{self._port}",
                "zone": "a",
                "version": "v1",
                "slots": 20,
                "state": "ready",
                "cold_remaining": "0ms",
                "seq": self.sequence,
                "born": self.born,
            }
        )

    def say(self, operation, body=b""):
        """Sends a report to the node, and returns the status."""
        return _request(self._control_port, "POST", f"/Instances.{operation}/{self.instance}", body)


def call(port):
    """Sends a call through a node, and returns the status."""
    return _request(port, "POST", PATH, b"{}", {"Host": HOST, "Request-Id": "r1"})


def is_ready(port):
    try:
        return _request(port, "GET", "/ready") == 200
    except OSError:
        return False


def _request(port, method, path, body=b"", fields=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    with contextlib.closing(connection):
        connection.request(method, path, body, fields or {})
        response = connection.getresponse()
        response.read()
        return response.status
