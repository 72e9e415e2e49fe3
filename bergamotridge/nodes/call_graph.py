"""Services below a service, from the operator's text and from the calls that were observed."""

import time
from collections.abc import Callable

DEPENDENCY_TTL_S = 60.0
SWEEP_INTERVAL_S = 5.0


class CallGraph:
    """Joins the dependencies in the operator's text with those observed in calls.

    An upstream may call another service without naming the request that the call belongs to. Such
    a call still shows that the upstream's service depends on the other one. A dependency that was
    not observed for `DEPENDENCY_TTL_S` is removed. For use on one event loop.
    """

    def __init__(
        self,
        configured: Callable[[str], frozenset[str]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a graph that holds only the configured dependencies.

        Args:
            configured: Returns all services below a service, as the operator's text has them.
            clock: Source of monotonic time in seconds.
        """
        self._configured = configured
        self._clock = clock
        # When each call was last observed, by calling and called service.
        self._observed_at: dict[str, dict[str, float]] = {}
        # By service, what is configured below it and all that is below it, as last computed.
        self._cached_dependencies: dict[str, tuple[frozenset[str], frozenset[str]]] = {}
        self._swept_at = clock()

    def record_call(self, service: str, called: str) -> None:
        """Records that requests to `service` lead to calls to `called`."""
        if called == service:
            return
        observed_at = self._observed_at.setdefault(service, {})
        if called not in observed_at:
            self._cached_dependencies.clear()
        observed_at[called] = self._clock()

    def dependencies_of(self, service: str, route: str = "") -> frozenset[str]:
        """Returns all services below `service`, without itself.

        They are the same for all its routes; `route_dependencies` tells them apart.
        """
        del route
        now = self._clock()
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._sweep(now)
        configured = self._configured(service)
        cached = self._cached_dependencies.get(service)
        if cached is None or cached[0] is not configured:
            cached = self._cached_dependencies[service] = (configured, self._reachable(service))
        return cached[1]

    def _sweep(self, now: float) -> None:
        """Removes expired dependencies and the cached results.

        The cache is checked against the text only for the service asked for, so a result may still
        hold what an earlier text configured below a service that was observed.
        """
        self._swept_at = now
        self._cached_dependencies.clear()
        for observed_at in self._observed_at.values():
            for called in [name for name, at in observed_at.items() if now - at > DEPENDENCY_TTL_S]:
                del observed_at[called]

    def _reachable(self, start: str) -> frozenset[str]:
        found: set[str] = set()
        pending = [start]
        while pending:
            service = pending.pop()
            for called in self._configured(service) | self._observed_at.get(service, {}).keys():
                if called not in found:
                    found.add(called)
                    pending.append(called)
        return frozenset(found - {start})
