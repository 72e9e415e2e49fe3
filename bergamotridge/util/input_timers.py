"""Limits the time that the client of a connection takes for the head and the body of a request."""

import asyncio
from collections.abc import Callable

from bergamotridge.util import late_timer, request_reader


class InputTimers:
    """The timers of the request that is being read from one connection; at most one of them runs.

    Attributes:
        head_started_at: Time of the loop at which the first byte of an incomplete head arrived,
            None if no head is incomplete.
    """

    def __init__(self, event_loop: asyncio.AbstractEventLoop, on_late: Callable[[], None]) -> None:
        """Creates timers that don't run.

        Args:
            event_loop: The event loop of the connection.
            on_late: Called once a head or a body is late.
        """
        self.head_started_at: float | None = None
        self._event_loop = event_loop
        self._on_late = on_late
        self._timer: late_timer.LateTimer | None = None
        self._is_in_body = False

    def start_head(self, bounds: request_reader.RequestLimits) -> None:
        """Limits the time of a head, unless a timer runs already."""
        if self._timer is None:
            self.head_started_at = self._event_loop.time()
            self._start(min(bounds.header_timeout_s, bounds.idle_s))

    def start_body(self, bounds: request_reader.RequestLimits) -> None:
        """Limits the time of the whole body, of which single bytes keep the connection active."""
        if not self._is_in_body:
            self.clear()
            self._is_in_body = True
            self._start(bounds.body_timeout_s)

    def clear(self) -> None:
        """Stops the timer that runs."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._is_in_body = False
        self.head_started_at = None

    def _start(self, delay_s: float) -> None:
        self._timer = late_timer.LateTimer(self._event_loop, delay_s, self._on_late)
