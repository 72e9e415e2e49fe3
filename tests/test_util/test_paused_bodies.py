"""Bodies that stop coming are refused, and not run."""

import asyncio
import socket

from bergamotridge.util import httpd
from standins import processes
from tests import event_loop
from tests.test_util import test_httpd

LIMIT_S = 30
PART = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab"


# A client whose body paused for the idle limit got the end of its connection and no answer.
def test_a_request_whose_body_pauses_for_too_long_is_refused_as_not_run():
    server, address = test_httpd.start_server(test_httpd.echo)

    async def check_later():
        server.close_idle(asyncio.get_running_loop().time() + 2 * httpd.IDLE_S)

    with socket.create_connection(httpd.split_address(address), timeout=LIMIT_S) as client:
        client.sendall(PART)
        processes.wait_until(
            lambda: any(item.is_in_use for item in server.connections), "a part of the body is read"
        )
        event_loop.run(check_later())
        answer = b""
        while piece := client.recv(1000):
            answer += piece
    assert answer.startswith(b"HTTP/1.1 408 ") and b"bergamotridge-verdict: not-run" in answer
    server.stop(0)
