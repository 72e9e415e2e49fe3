"""Shedding at the first node, by the thresholds of all services that a request can reach."""

import threading
from collections.abc import Collection

import attrs

from bergamotridge import call
from bergamotridge.nodes import load
from bergamotridge.upstreams import admission

FRESH_S = 1.0
DECAY_S = 2.0


@attrs.frozen
class _Seen:
    """A threshold and the monotonic time in seconds at which its gate worked it out."""

    threshold: load.Threshold
    at: float


class ThresholdTable:
    """Latest thresholds by service; thread-safe.

    A request is placed by a hash of its id, so all nodes shed the same requests and the tree of
    one is kept or shed whole. A threshold that is not refreshed opens by itself.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: dict[str, _Seen] = {}

    def observe(self, service: str, observed: load.Threshold, now: float) -> None:
        """Takes over a threshold that came with an answer of `service`."""
        self._take(service, observed, now)

    def check(
        self,
        request_id: str,
        importance: call.Importance,
        services: Collection[str],
        now: float,
        team: str = "",
    ) -> None:
        """Refuses a request that one of the services would have to shed.

        Args:
            request_id: The request.
            importance: Its class.
            services: All services that it can reach.
            now: Monotonic time in seconds.
            team: Its team.

        Raises:
            CallError: It is shed; the verdict is NOT_RUN.
        """
        position = load.position(request_id)
        for service in services:
            if position >= self._share(service, importance, team, now):
                raise admission.refusal("shed", f"service '{service}' is overloaded", request_id)

    def encode(self, services: Collection[str], now: float) -> str:
        """Returns the thresholds of `services` that shed anything, with their ages, for a header.

        Args:
            services: Services below the one that answers.
            now: Monotonic time in seconds.
        """
        with self._lock:
            seen = [(service, self._seen.get(service)) for service in services]
        return " ".join(
            f"{service}@{int((now - item.at) * 1000)}@{item.threshold.encoded}"
            for service, item in seen
            if item is not None and not item.threshold.open and now - item.at < FRESH_S + DECAY_S
        )

    def merge(self, text: str | None, services: Collection[str], now: float) -> None:
        """Takes over thresholds from a header that `encode` wrote.

        Args:
            text: The header; malformed parts are passed over.
            services: Services that the sender may speak of; those it leaves out shed nothing.
            now: Monotonic time in seconds.
        """
        told = {}
        for part in (text or "").split(" "):
            service, _, rest = part.partition("@")
            age_ms, _, encoded = rest.partition("@")
            try:
                told[service] = _Seen(load.decode_threshold(encoded), now - float(age_ms) / 1000)
            except ValueError:
                continue
        for service in services:
            item = told.get(service, _Seen(load.OPEN, now))
            self._take(service, item.threshold, item.at)

    def _take(self, service: str, observed: load.Threshold, at: float) -> None:
        with self._lock:
            earlier = self._seen.get(service)
            if earlier is None or at >= earlier.at:
                self._seen[service] = _Seen(observed, at)

    def _share(self, service: str, importance: call.Importance, team: str, now: float) -> float:
        item = self._seen.get(service)
        if item is None:
            return 1.0
        share = item.threshold.share(importance, team)
        opened = min(1.0, max(0.0, now - item.at - FRESH_S) / DECAY_S)
        return share + (1.0 - share) * opened
