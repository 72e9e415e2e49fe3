"""Which services lie below a service: by the operator's text, and as seen in running calls."""

import time
from collections.abc import Callable

KEPT_S = 60.0
SWEEP_S = 5.0


class CallGraph:
    """Joins the dependencies of the operator's text with those that calls have shown.

    An upstream whose calls do not name the request that they belong to still shows, by calling,
    that its service depends on another. A dependency that was not seen for `KEPT_S` is forgotten.
    Belongs to one event loop.
    """

    def __init__(
        self,
        configured: Callable[[str], frozenset[str]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Starts with what is configured.

        Args:
            configured: Returns all services below a service by the operator's text.
            clock: Source of monotonic time in seconds.
        """
        self._configured = configured
        self._clock = clock
        self._seen: dict[str, dict[str, float]] = {}
        self._below: dict[str, tuple[frozenset[str], frozenset[str]]] = {}
        self._swept_at = clock()

    def learn(self, service: str, called: str) -> None:
        """Learns that requests of `service` lead to calls of `called`."""
        if called == service:
            return
        seen = self._seen.setdefault(service, {})
        if called not in seen:
            self._below.clear()
        seen[called] = self._clock()

    def below(self, service: str) -> frozenset[str]:
        """Returns all services below `service`, without itself."""
        now = self._clock()
        if now - self._swept_at >= SWEEP_S:
            self._sweep(now)
        configured = self._configured(service)
        known = self._below.get(service)
        if known is None or known[0] is not configured:
            known = self._below[service] = (configured, self._reachable(service))
        return known[1]

    def _sweep(self, now: float) -> None:
        """Forgets what was not seen for long, and what a former text said of learned services."""
        self._swept_at = now
        self._below.clear()
        for seen in self._seen.values():
            for called in [name for name, at in seen.items() if now - at > KEPT_S]:
                del seen[called]

    def _reachable(self, start: str) -> frozenset[str]:
        found: set[str] = set()
        todo = [start]
        while todo:
            service = todo.pop()
            for called in self._configured(service) | self._seen.get(service, {}).keys():
                if called not in found:
                    found.add(called)
                    todo.append(called)
        return frozenset(found - {start})
