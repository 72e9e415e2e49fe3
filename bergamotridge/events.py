"""Typed events, the bounded ring that keeps them, and the registry of their listeners."""

import collections
import threading
import time
from collections.abc import Callable

import attrs

from bergamotridge.util import hlc

RING_SIZE = 20_000


@attrs.frozen
class Event:
    """One thing that happened on one host.

    Attributes:
        stamp: Hybrid logical time.
        host: Host it happened on.
        incarnation: Start time of the node's process in milliseconds.
        failure_domain: Failure domain of the host.
        kind: Dotted kind such as ``"call.refused"`` or ``"upstream.draining"``.
        request_id: The request concerned, or "".
        cause: Why, in a few words, or "".
        detail: Further fields, JSON-compatible.
    """

    stamp: hlc.Stamp
    host: str
    incarnation: int
    failure_domain: str
    kind: str
    request_id: str = ""
    cause: str = ""
    detail: dict[str, object] = attrs.field(factory=dict)


class EventLog:
    """Keeps the latest events of this node and tells listeners of each.

    A listener is any callable that takes an `Event`; it must be quick and must not raise.
    """

    def __init__(
        self, host: str, incarnation: int, failure_domain: str, size: int = RING_SIZE
    ) -> None:
        self.clock = hlc.HybridClock(host)
        self._host = host
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._lock = threading.Lock()
        self._ring: collections.deque[Event] = collections.deque(maxlen=size)
        self._listeners: list[Callable[[Event], None]] = []

    def listen(self, listener: Callable[[Event], None]) -> None:
        """Registers a listener for all later events."""
        self._listeners.append(listener)

    def emit(self, kind: str, request_id: str = "", cause: str = "", **detail: object) -> Event:
        """Stamps and keeps one event and returns it."""
        event = Event(
            self.clock.stamp(time.time_ns() // 1_000_000),
            self._host,
            self._incarnation,
            self._failure_domain,
            kind,
            request_id,
            cause,
            detail,
        )
        with self._lock:
            self._ring.append(event)
        for listener in self._listeners:
            listener(event)
        return event

    def recent(self, request_id: str = "") -> list[Event]:
        """Returns the kept events in order, only those of `request_id` if it is given."""
        with self._lock:
            events = list(self._ring)
        return [event for event in events if not request_id or event.request_id == request_id]
