"""A kept connection is used again only if its server hasn't ended it."""

import select
import socket
import threading

import pytest

from bergamotridge.util import http_client, message
from tests import event_loop

LIMIT_S = 30
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
POST = message.Request(b"POST", b"/pay", [], b"x")


class EndingServer:
    """Answers one request on each connection; ends the first in a given way when told to."""

    def __init__(self, end):
        self.requests, self.may_end = [], threading.Event()
        self._end = end
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        for _ in range(2):
            sock, _ = self._listener.accept()
            self.requests.append(sock.recv(1000))
            sock.sendall(OK)
            self.may_end.wait(LIMIT_S)
            self._end(sock)


def _reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def _send_more(sock):
    sock.sendall(OK)


def _stand_still_until_readable(connection):
    number = connection._transport.get_extra_info("socket").fileno()
    readable = select.poll()
    readable.register(number, select.POLLIN)
    assert readable.poll(1000 * LIMIT_S)


# Calls got 502, may-have-run, that were sent on a connection whose end had arrived but wasn't read.
@pytest.mark.parametrize("end", [socket.socket.close, _reset, _send_more])
def test_a_request_is_not_sent_on_a_connection_whose_end_waits_to_be_read(end):
    server = EndingServer(end)
    pool = http_client.Pool(server.address, 1000)

    async def send_twice():
        first = await pool.send(POST, LIMIT_S)
        server.may_end.set()
        _stand_still_until_readable(pool._idle[0])
        return first, await pool.send(POST, LIMIT_S)

    answers = event_loop.run(send_twice())
    assert [item.body for item in answers] == [b"ok", b"ok"]
    assert len(server.requests) == 2
    event_loop.call(pool.close)


# A connection that is sound must still be used again.
def test_a_connection_that_the_server_keeps_is_used_again():
    server = EndingServer(_reset)
    pool = http_client.Pool(server.address, 1000)

    async def send_and_look():
        await pool.send(POST, LIMIT_S)
        return pool._take_idle_connection(0.0)

    taken = event_loop.run(send_and_look())
    assert taken is not None and not taken.ended
    event_loop.call(taken.abort)
    server.may_end.set()
