"""Process with a plain HTTP server, for tests that let it stand still; SIGTERM stops it.

It answers requests itself, or passes them on to the upstream at the address of the second argument.
"""

import sys

from bergamotridge.util import http_client, message
from standins import serving
from tests.test_util.test_httpd import start_server

STOP_S = 5.0
BODY_LIMIT_BYTES, LIMIT_S = 1000, 60.0


async def _answer(_request, _token):
    return message.Response(200, [], b"ok")


def _pass_on(address):
    pool = http_client.Pool(address, BODY_LIMIT_BYTES)

    async def pass_on(request, token):
        try:
            return await pool.send(request, LIMIT_S, token)
        except http_client.TransferError:
            return message.Response(504)

    return pass_on


if __name__ == "__main__":
    stop_signal = serving.StopSignal()
    handler = _pass_on(sys.argv[2]) if sys.argv[2:] else _answer
    server, address = start_server(handler, idle_s=float(sys.argv[1]))
    print(address, flush=True)
    stop_signal.wait()
    server.stop(float(sys.argv[3]) if sys.argv[3:] else STOP_S)
