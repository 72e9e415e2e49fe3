"""Logs: one JSON object on a line on standard output, through logbook."""

import atexit
import sys
import threading
import time
from collections.abc import Callable
from typing import TextIO

import attrs
import logbook
import orjson
from logbook import compat

from bergamotridge import events, settings
from bergamotridge.nodes import load
from bergamotridge.operators import kinds
from bergamotridge.util import line_queue

_log = logbook.Logger(__name__)


@attrs.frozen
class Origin:
    """Where log lines come from; the same on each line of a process."""

    host: str
    incarnation: int
    failure_domain: str


class JsonFormatter:
    """Turns a record into one line of JSON."""

    def __init__(self, origin: Origin) -> None:
        self._origin = attrs.asdict(origin)

    def __call__(self, record: logbook.LogRecord, handler: logbook.Handler) -> str:
        """Returns the line for `record`; `handler` is not used."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name,
            **self._origin,
            "logger": record.channel,
            "message": record.message,
        }
        if record.extra:
            line["fields"] = dict(record.extra)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return orjson.dumps(line, default=str).decode()


CALL_LINES_PER_S = 20.0
CALL_LINES_BURST = 200.0
LEAST_SHARE = 1 / 1024


class CallSample:
    """Bounds the lines on single calls, and keeps whole calls rather than single lines.

    While lines come faster than the bound, the share of calls that are logged is halved; it
    doubles again with each second of room. A call is kept by a hash of its id, so all nodes that
    have the same share keep the same calls.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._room = CALL_LINES_BURST
        self._at = float("-inf")
        self._share = 1.0
        self.left_out = 0

    def keeps(self, request_id: str, now: float) -> bool:
        """Returns True if a line on a call is to be written at the monotonic time `now`."""
        with self._lock:
            passed = max(0.0, now - self._at)
            self._at = now
            self._room = min(CALL_LINES_BURST, self._room + passed * CALL_LINES_PER_S)
            if self._room >= CALL_LINES_BURST / 2:
                self._share = 1.0
            if load.position(request_id) >= self._share:
                self.left_out += 1
                return False
            self._room -= 1.0
            if self._room < CALL_LINES_BURST / 2 * self._share:
                self._share = max(LEAST_SHARE, self._share / 2)
            if self._room < 0:
                self._room = 0.0
                self.left_out += 1
                return False
            return True


class EventWriter:
    """Listener of an event log that writes each event to the log, of single calls a sample."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates a writer; `clock` gives monotonic seconds."""
        self._clock = clock
        self._sample = CallSample()

    def __call__(self, event: events.Event) -> None:
        """Logs one event."""
        of_call = event.kind.startswith(kinds.OF_CALLS)
        if of_call:
            if not self._sample.keeps(event.request_id, self._clock()):
                return
            left_out, self._sample.left_out = self._sample.left_out, 0
            if left_out:
                _log.info("lines on calls left out: {}", left_out)
        fields = {"event": event.kind, "stamp": str(event.stamp), **event.detail}
        if event.cause:
            fields["cause"] = event.cause
        if event.request_id:
            fields["request_id"] = event.request_id
        text = f"{event.kind}: {event.cause}" if event.cause else event.kind
        _log.info("{}", text, extra=fields)


def setup(
    node: settings.NodeSettings, incarnation: int, stream: TextIO | None = None
) -> logbook.Handler:
    """Sends all logs of this process to `stream` as JSON lines.

    Args:
        node: Gives the host, the failure domain and the lowest level.
        incarnation: Start time of the process in milliseconds.
        stream: Where the lines go; standard output through a queue if None.

    Returns:
        The handler, which is in force until its `pop_application` is called.
    """
    if stream is None:
        stream = line_queue.LineQueue(sys.stdout.fileno())
        stream.start()
        atexit.register(stream.stop)
    handler = logbook.StreamHandler(stream, level=node.log_level)
    handler.formatter = JsonFormatter(Origin(node.host, incarnation, node.failure_domain))
    handler.push_application()
    _log.level = logbook.lookup_level(node.log_level)
    compat.redirect_logging()
    return handler
