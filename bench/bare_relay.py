"""A relay with no policy: the measure for what the node's own work costs."""

import signal
import threading
from collections.abc import Sequence

from absl import app, flags

from bergamotridge.util import cancellation, http_client, httpd, loop, message

CONNECTIONS = 64
BODY_LIMIT = 1 << 20
TIMEOUT_S = 10.0

_ADDRESS = flags.DEFINE_string("address", None, "IP:PORT to listen on", required=True)
_UPSTREAM = flags.DEFINE_string("upstream", None, "IP:PORT to relay to", required=True)


def main(argv: Sequence[str]) -> None:
    """Relays until SIGTERM."""
    del argv
    pool = http_client.Pool(_UPSTREAM.value, BODY_LIMIT)

    async def relay(request: message.Request, token: cancellation.Token) -> message.Response:
        kept = [field for field in request.headers if field[0] not in message.HOP_BY_HOP]
        sent = message.Request(request.method, request.target, kept, request.body)
        response = await pool.send(sent, TIMEOUT_S, token)
        return response

    server = httpd.Server(
        _ADDRESS.value,
        relay,
        connections=CONNECTIONS,
        body_limit=BODY_LIMIT,
        name="bare relay",
        refusal=message.Response(503),
        event_loop=loop.Loop("calls"),
    )
    server.start()
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    stopped.wait()
    server.stop(0)


if __name__ == "__main__":
    app.run(main)
