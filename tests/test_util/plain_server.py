"""Process with a plain HTTP server, for tests that let it stand still; SIGTERM stops it."""

import signal
import sys
import threading

from bergamotridge.util import message
from tests.test_util.test_httpd import start_server

STOP_S = 5.0


async def _answer(_request, _token):
    return message.Response(200, [], b"ok")


if __name__ == "__main__":
    asked_to_stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: asked_to_stop.set())
    server, address = start_server(_answer, idle_s=float(sys.argv[1]))
    print(address, flush=True)
    asked_to_stop.wait()
    server.stop(STOP_S)
