"""The readiness port: a load balancer reads there whether this node should receive new calls."""

from collections.abc import Callable

from bergamotridge.util import cancellation, httpd, message

CONNECTIONS = 16
BODY_BYTES = 1024


def build_handler(ready: Callable[[], bool]) -> httpd.Handler:
    """Returns a handler that answers 200 while `ready` returns True, else 503."""

    async def handle(request: message.Request, token: cancellation.Token) -> message.Response:
        del request, token
        return message.Response(200 if ready() else 503)

    return handle
