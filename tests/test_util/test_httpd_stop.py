"""A planned stop of the HTTP server answers each request that it has read."""

import asyncio
import contextlib
import socket

from bergamotridge.util import http_connection, message
from standins import processes
from tests import event_loop
from tests.test_util.test_httpd import start_server

STOP_S = 30
PAUSE_S = 0.001
FIRST = b"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none"
SECOND = b"POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\ntwo"


def connect(address):
    host, port = address.split(":")
    return contextlib.closing(socket.create_connection((host, int(port)), timeout=STOP_S))


# No line and no metric told of requests that the server dropped with their connection.
def test_an_end_that_leaves_a_request_without_an_answer_is_reported():
    causes = []
    may_finish = asyncio.Event()

    async def ignore_cancellation(_request, _token):
        await may_finish.wait()
        return message.Response(200)

    server, address = start_server(ignore_cancellation, on_turned_away=causes.append)
    with connect(address) as client:
        client.sendall(FIRST)
        processes.wait_until(
            lambda: any(item.token for item in server.connections), "the request runs"
        )
        server.stop(0.2)
        event_loop.call(may_finish.set)
    assert causes == [http_connection.UNANSWERED]
