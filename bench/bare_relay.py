"""A relay without any policy, against which the cost of a node's own work is measured."""

from collections.abc import Sequence

from absl import app, flags

from bergamotridge.util import cancellation, http_client, httpd, loop, message
from standins import serving

CONNECTIONS = 64
BODY_LIMIT_BYTES = 1 << 20
TIMEOUT_S = 10.0

_ADDRESS = flags.DEFINE_string("address", None, "IP:PORT to listen on", required=True)
_UPSTREAM = flags.DEFINE_string("upstream", None, "IP:PORT to relay to", required=True)


def main(argv: Sequence[str]) -> None:
    """Relays requests until SIGTERM."""
    del argv
    pool = http_client.Pool(_UPSTREAM.value, BODY_LIMIT_BYTES)

    async def relay(request: message.Request, token: cancellation.Token) -> message.Response:
        forwarded_headers = [
            field for field in request.headers if field[0] not in message.UNFORWARDED_FIELDS
        ]
        forwarded = message.Request(request.method, request.target, forwarded_headers, request.body)
        response = await pool.send(forwarded, TIMEOUT_S, token)
        return response

    server = httpd.Server(
        _ADDRESS.value,
        relay,
        connections=CONNECTIONS,
        body_limit=BODY_LIMIT_BYTES,
        name="bare relay",
        refusal=message.Response(503),
        event_loop=loop.Loop("calls"),
    )
    stop_signal = serving.StopSignal()
    server.start()
    stop_signal.wait()
    server.stop(0)


if __name__ == "__main__":
    app.run(main)
