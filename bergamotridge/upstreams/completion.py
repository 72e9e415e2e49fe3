"""Refuses requests that hardly ever complete, as a service below the local upstream rejects calls.

A request that needs several calls of a service which rejects a part of them fails with the first
call for which there is no retry. Where nearly all fail, the work on them is lost, and their callers
can't tell whether they have run. A refusal says that they have not.
"""

import math
from collections.abc import Callable

import attrs

from bergamotridge import errors
from bergamotridge.nodes import load
from bergamotridge.upstreams import refusal

REASON = "dependency-rejects"
WINDOW_S = 4.0  # Time constant of the decay.
# Fraction of completed requests from which all are begun. Below it they are begun in proportion.
MIN_COMPLETED = 0.01
# Requests beside those seen, of which as many completed as are enough, so that one failure is no
# evidence.
PRIOR_REQUESTS = 5.0
MIN_BEGUN = 0.05  # Begun in any case, to notice when they complete again.
MAX_ROUTES = 1024  # With more, those without requests for `FORGET_S` are forgotten.
FORGET_S = 10.0


@attrs.define
class _Counts:
    """Decayed numbers of requests of one route, since a service below it rejects calls.

    Attributes:
        since: Monotonic time in seconds of the first request in that time.
        ended: Requests that the upstream ran to an end, good or bad.
        completed: Requests that it ran to a good end.
        updated_at: Monotonic time in seconds of the last of them.
    """

    since: float
    ended: float = 0.0
    completed: float = 0.0
    updated_at: float = float("-inf")

    def decay(self, now: float) -> float:
        """Returns the factor by which the numbers have decayed."""
        return math.exp(min(0.0, self.updated_at - now) / WINDOW_S)


class Completion:
    """Computes which share of the requests of a route to begin while a service rejects calls.

    Only requests count that began and ended in that time. All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _Counts] = {}

    def begun_share(self, route: str, now: float) -> float:
        """Returns the share, in proportion to the requests that complete, 1.0 without evidence."""
        counts = self._routes.get(route)
        if counts is None:
            self._forget_routes(now)
            counts = self._routes[route] = _Counts(now)
        decay = counts.decay(now)
        ended = decay * counts.ended + PRIOR_REQUESTS
        completed = (decay * counts.completed + MIN_COMPLETED * PRIOR_REQUESTS) / ended
        return min(1.0, max(MIN_BEGUN, completed / MIN_COMPLETED))

    def record_end(self, route: str, began: float, *, completed: bool, now: float) -> None:
        """Records that the upstream ran a request.

        Args:
            route: Route of the request.
            began: When it began.
            completed: True if the upstream ran it to a good end.
            now: When it ended.
        """
        counts = self._routes.get(route)
        if counts is None or began < counts.since:
            return
        decay = counts.decay(now)
        counts.ended = decay * counts.ended + 1.0
        counts.completed = decay * counts.completed + completed
        counts.updated_at = now

    def forget(self, route: str) -> None:
        """Forgets a route, as the services below it accept all calls."""
        self._routes.pop(route, None)

    def _forget_routes(self, now: float) -> None:
        if len(self._routes) >= MAX_ROUTES:
            self._routes = {
                route: counts
                for route, counts in self._routes.items()
                if now - max(counts.since, counts.updated_at) < FORGET_S
            }


class CompletionGuard:
    """Decides whether the local upstream begins a request; for use on one event loop."""

    def __init__(
        self,
        dependencies_of: Callable[[str, str, float], frozenset[str]],
        accepted_fraction: Callable[[str, float], float],
    ) -> None:
        """Creates a guard that has seen no request.

        Args:
            dependencies_of: Takes a service, a route and the time, and returns all services below.
            accepted_fraction: Takes a service and the time, and returns the fraction of calls that
                its upstreams accept.
        """
        self._dependencies_of = dependencies_of
        self._accepted_fraction = accepted_fraction
        self._completion = Completion()

    def check(self, service: str, route: str, request_id: str, now: float) -> None:
        """Refuses most requests of a route that hardly ever completes.

        Args:
            service: Service of the local upstream.
            route: Route of the request.
            request_id: Id of the request; all nodes refuse the same ones at the same share.
            now: Monotonic time in seconds.

        Raises:
            CallError: The request is refused; the verdict is NOT_RUN.
        """
        rejecting = self._find_rejecting(service, route, now)
        if not rejecting:
            self._completion.forget(route)
            return
        share = self._completion.begun_share(route, now)
        if load.request_position(request_id) >= share:
            raise _build_refusal(route, rejecting, request_id, share)

    def record_end(
        self, service: str, route: str, began: float, *, completed: bool, now: float
    ) -> None:
        """Records that the upstream ran a request; see `Completion.record_end`."""
        if self._find_rejecting(service, route, now):
            self._completion.record_end(route, began, completed=completed, now=now)

    def _find_rejecting(self, service: str, route: str, now: float) -> str:
        """Returns a service below a route that rejects calls, "" if there is none."""
        below = self._dependencies_of(service, route, now)
        return next((name for name in below if self._accepted_fraction(name, now) < 1.0), "")


def _build_refusal(route: str, rejecting: str, request_id: str, share: float) -> errors.CallError:
    return refusal.build_refusal(
        REASON,
        f"hardly any request on route '{route}' completes, as service '{rejecting}' rejects calls; "
        "retry later",
        request_id,
        refusal.compute_return_s(request_id, share),
    )
