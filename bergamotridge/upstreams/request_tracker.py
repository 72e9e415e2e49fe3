"""Tells which requests the local upstream processes, by route."""

import contextlib
import time
from collections.abc import Callable, Iterator

import attrs

from bergamotridge import answer, call, verdict
from bergamotridge.nodes import call_attribution
from bergamotridge.upstreams import completion
from bergamotridge.util import message


@attrs.define
class TrackedRequest:
    """A request that runs at the upstream; `result` is None until it was answered."""

    result: answer.Answer | None = None


class RequestTracker:
    """Finds the route of each request and reports when it begins and ends at the upstream.

    Attributes:
        guard: Refuses requests that hardly ever complete, and learns which do; None to refuse none.
    """

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
        self.guard: completion.CompletionGuard | None = None
        self._name_route = name_route
        self._clock = clock

    def check(self, service: str, context: call.CallContext, request: message.Request) -> None:
        """Refuses a request that would hardly complete; raises CallError with verdict NOT_RUN.

        Calls of other upstreams are not refused, as the requests above them have cost work.
        """
        if self.guard is not None and not context.depth:
            route = self._find_route(context, request)
            self.guard.check(service, route, context.request_id, self._clock())

    @contextlib.contextmanager
    def track(
        self, service: str, context: call.CallContext, request: message.Request
    ) -> Iterator[TrackedRequest]:
        """Reports a request as running while the context is entered.

        Yields:
            The request, whose result is to be set in the context.
        """
        route = self._find_route(context, request)
        began = self._clock()
        running = self._attribution.begin_request(service, route, context.deadline, began)
        tracked = TrackedRequest()
        try:
            yield tracked
        finally:
            now = self._clock()
            self._attribution.end_request(running, now)
            if self.guard is not None and not context.depth and _has_run(tracked.result):
                completed = not tracked.result.reason
                self.guard.record_end(service, route, began, completed=completed, now=now)

    def _find_route(self, context: call.CallContext, request: message.Request) -> str:
        method = request.method.decode("latin-1")
        return self._name_route(method, request.path, context.virtual_host)


def _has_run(result: answer.Answer | None) -> bool:
    return result is not None and result.verdict is verdict.Verdict.RUN
