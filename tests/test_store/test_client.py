"""The client against a scripted HTTP server: responses, conflicts, lost and truncated responses."""

import contextlib
import http.server
import threading

import pytest

from bergamotridge import errors
from bergamotridge.store import client
from tests import positions

LOST = None  # Stands for a connection that is closed without a response.


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def _send_next_response(self):
        length = int(self.headers.get("Content-Length", 0))
        self.server.requests.append((self.command, self.path, self.rfile.read(length)))
        response = self.server.responses.pop(0)
        if response is LOST:
            self.close_connection = True
            return
        status, body, missing_bytes = response
        self.send_response(status)
        self.send_header("Content-Length", str(len(body) + missing_bytes))
        self.end_headers()
        self.wfile.write(body)
        self.close_connection = missing_bytes > 0

    do_GET = do_PUT = do_DELETE = _send_next_response  # noqa: N815

    def log_message(self, *_):
        pass


@contextlib.contextmanager
def _scripted_server(*responses):
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
    server.responses, server.requests = list(responses), []
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    try:
        yield server, client.ObjectClient(f"127.0.0.1:{server.server_port}", 5.0)
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def test_requests_are_sent_and_responses_decoded():
    item = b'{"kind": "k", "name": "a/b", "version": 4, "value": {"x": 1}}'
    listing = b'{"items": [' + item + b'], "version": 9}'
    with _scripted_server(
        (200, item, 0), (200, listing, 0), (200, listing, 0), (200, b'{"version": 5}', 0)
    ) as (server, platform):
        stored = platform.get("k", "a/b")
        assert (stored.version, stored.value) == (positions.at(4), {"x": 1})
        assert platform.list("k") == client.Listing((stored,), positions.at(9), is_complete=True)
        assert platform.watch("k", positions.at(3), 0.5).items == (stored,)
        assert platform.put("k", "a/b", [1], positions.at(4)) == positions.at(5)
    assert server.requests == [
        ("GET", "/objects/k/a%2Fb", b""),
        ("GET", "/objects/k", b""),
        ("GET", "/watch/k?since=3&wait_s=0.5&epoch=0", b""),
        ("PUT", "/objects/k/a%2Fb?version=4&epoch=0", b"[1]"),
    ]


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        ((409, b'{"version": 7}', 0), errors.ConflictError),
        ((404, b"{}", 0), errors.NotFoundError),
        ((503, b"", 0), errors.PlatformUnavailableError),
        ((400, b"", 0), errors.PlatformError),
        ((200, b'{"version": 5', 0), errors.PlatformUnavailableError),
        ((200, b'{"version": 5}', 1), errors.PlatformUnavailableError),
        (LOST, errors.PlatformUnavailableError),
    ],
)
def test_failed_responses_raise_errors(answer, error):
    with _scripted_server(answer) as (server, platform), pytest.raises(error) as caught:
        platform.put("k", "n", 1, positions.at(3))
    assert type(caught.value) is error
    assert len(server.requests) == 1
    if error is errors.ConflictError:
        assert caught.value.version == positions.at(7)


def test_a_write_is_sent_only_once_when_the_connection_closes():
    read = b'{"kind": "k", "name": "n", "version": 4, "value": 1}'
    with _scripted_server((200, read, 0), LOST, (409, b'{"version": 5}', 0)) as (server, platform):
        platform.get("k", "n")
        with pytest.raises(errors.PlatformUnavailableError):
            platform.put("k", "n", 2, positions.at(4))
    assert [command for command, _, _ in server.requests] == ["GET", "PUT"]
