"""Tells call attribution which requests the local upstream processes."""

import contextlib
import time
from collections.abc import Callable, Iterator

from bergamotridge import call
from bergamotridge.nodes import call_attribution
from bergamotridge.util import message


class RequestTracker:
    """Finds the route of each request and reports when it begins and ends at the upstream."""

    def __init__(
        self,
        attribution: call_attribution.CallAttribution,
        name_route: Callable[[str, str, str], str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a tracker.

        Args:
            attribution: Is told of the requests.
            name_route: Returns the name of the route of a method, path and host.
            clock: Source of monotonic time in seconds.
        """
        self._attribution = attribution
        self._name_route = name_route
        self._clock = clock

    @contextlib.contextmanager
    def track(
        self, service: str, context: call.CallContext, request: message.Request
    ) -> Iterator[None]:
        """Reports a request as running while the context is entered."""
        method = request.method.decode("latin-1")
        route = self._name_route(method, request.path, context.virtual_host)
        running = self._attribution.begin_request(service, route, context.deadline, self._clock())
        try:
            yield
        finally:
            self._attribution.end_request(running, self._clock())
