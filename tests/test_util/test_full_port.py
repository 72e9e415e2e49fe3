"""A full port keeps the connections on which requests are under way."""

import asyncio
import socket

from bergamotridge.util import connection_table
from tests import event_loop
from tests.test_util import test_httpd

LIMIT_S = 30
IDLE_FOR_S = 1.0
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


# A client got a reset in place of an answer, as its request was still to be read by a busy loop.
def test_a_request_that_waits_to_be_read_is_answered_though_the_port_is_full():
    server, address = test_httpd.start_server(test_httpd.echo, connections=1)
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=LIMIT_S) as client:
        client.sendall(GET)
        assert client.recv(1000).startswith(b"HTTP/1.1 200")

        async def come_before_the_request_is_read():
            while not server.connections.idle_count:
                await asyncio.sleep(0)
            client.sendall(GET)
            (held,) = server.connections
            while not held.has_arrived:
                pass
            now = asyncio.get_running_loop().time() + IDLE_FOR_S
            return server.connections.admit(object(), now)

        decision = event_loop.run(come_before_the_request_is_read())
        assert decision.cause is connection_table.Cause.FULL
        assert client.recv(1000).startswith(b"HTTP/1.1 200")
    server.stop(0)
