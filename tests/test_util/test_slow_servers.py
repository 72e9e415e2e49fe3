"""Servers may read a long request as slowly as they like."""

import socket
import threading
import time

from bergamotridge.util import client_connection, http_client, message
from tests import event_loop

LIMIT_S = 60
UNREAD_FOR_S = 1.5
USER_TIMEOUT_MS = 50
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
BODY = b"x" * 1_000_000


class LateReader:
    """Reads a request some time after it has come, and answers it."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        sock, _ = self._listener.accept()
        time.sleep(UNREAD_FOR_S)
        received = b""
        while not received.endswith(BODY):
            received += sock.recv(1_000_000)
        sock.sendall(OK)
        self._kept = sock


# A request was broken off, 502, as its server left a part of its body unread for over a second.
def test_a_server_that_reads_late_gets_the_whole_request(monkeypatch):
    monkeypatch.setattr(client_connection, "TCP_USER_TIMEOUT_MS", USER_TIMEOUT_MS)
    server = LateReader()
    pool = http_client.Pool(server.address, 1000)
    post = message.Request(b"POST", b"/", [], BODY)
    assert event_loop.send(pool, post, LIMIT_S).body == b"ok"
    kept = pool._idle[0]._transport.get_extra_info("socket")
    in_force = kept.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert in_force == USER_TIMEOUT_MS  # The next request may be short.
    event_loop.call(pool.close)
