"""The event loop on which tests run what the product runs on its own."""

from collections.abc import Callable

from bergamotridge.util import http_client, loop, message

SHARED = loop.Loop("tests")


def run(work):
    """Runs a task and returns its result."""
    return SHARED.run(work)


def call(function: Callable):
    """Calls a function on the loop and returns its result."""
    return SHARED.call(function)


def send(pool: http_client.Pool, request: message.Request, timeout_s: float, **more):
    """Sends a request through a pool of the loop."""
    return run(pool.send(request, timeout_s, **more))
