"""Event loop shared by all tests; the product runs the same code on a loop of its own."""

from collections.abc import Callable

from bergamotridge.util import http_client, loop, message

SHARED = loop.Loop("tests")


def run(coroutine):
    """Runs a coroutine on the shared loop and returns its result."""
    return SHARED.run(coroutine)


def call(function: Callable):
    """Calls a function on the shared loop and returns its result."""
    return SHARED.call(function)


def send(pool: http_client.Pool, request: message.Request, timeout_s: float, **options):
    """Sends a request through `pool`, which belongs to the shared loop; returns the response."""
    return run(pool.send(request, timeout_s, **options))
