"""Typed events, the ring buffer that keeps the latest of them, and their listeners."""

import collections
import threading
import time
from collections.abc import Callable

import attrs

from bergamotridge.util import hlc

RING_CAPACITY_EVENTS = 20_000


@attrs.frozen
class Event:
    """One event on one host.

    Attributes:
        stamp: Hybrid logical time.
        host: Host on which the event occurred.
        incarnation: Start time of the node's process in milliseconds.
        failure_domain: Failure domain of the host.
        kind: Dotted kind such as ``"call.refused"`` or ``"upstream.draining"``.
        request_id: Id of the request that the event concerns, or "".
        cause: Cause of the event in a few words, or "".
        detail: Further fields by name; values are JSON-compatible.
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
    """Keeps the latest events of this node and passes each event to the listeners.

    A listener is any callable that takes an `Event`. It runs on the thread that emits the event, so
    it must return quickly and must not raise.

    Attributes:
        clock: Hybrid logical clock that stamps the events.
    """

    def __init__(
        self, host: str, incarnation: int, failure_domain: str, size: int = RING_CAPACITY_EVENTS
    ) -> None:
        self.clock = hlc.HybridClock(host)
        self._host = host
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._lock = threading.Lock()
        self._ring: collections.deque[Event] = collections.deque(maxlen=size)
        self._listeners: list[Callable[[Event], None]] = []

    def add_listener(self, listener: Callable[[Event], None]) -> None:
        """Registers a listener that is called with each later event."""
        self._listeners.append(listener)

    def emit(self, kind: str, request_id: str = "", cause: str = "", **detail: object) -> Event:
        """Creates an event stamped with the current time, stores it and passes it to the listeners.

        Args:
            kind: Dotted kind, see `operators.kinds`.
            request_id: Id of the request that the event concerns, or "".
            cause: Cause of the event in a few words, or "".
            **detail: Further fields; values are JSON-compatible.

        Returns:
            The event.
        """
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
        """Returns the stored events, oldest first; only those of `request_id` if it is given."""
        with self._lock:
            events = list(self._ring)
        return [event for event in events if not request_id or event.request_id == request_id]
