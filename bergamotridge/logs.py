"""Logging through logbook: each line on standard output is one JSON object."""

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
from bergamotridge.operators import event_kinds
from bergamotridge.util import line_queue

_log = logbook.Logger(__name__)


@attrs.frozen
class Origin:
    """The process that writes log lines; these fields are the same on all its lines."""

    host: str
    incarnation: int
    failure_domain: str


class JsonFormatter:
    """Formats a log record as one line of JSON."""

    def __init__(self, origin: Origin) -> None:
        self._origin = attrs.asdict(origin)

    def __call__(self, record: logbook.LogRecord, handler: logbook.Handler) -> str:
        """Returns the JSON line for `record`; `handler` is not used."""
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
# Fraction of calls; the sampler halves the logged fraction down to this one.
MIN_SAMPLED_FRACTION = 1 / 1024


class CallSampler:
    """Limits the rate of log lines on single calls by sampling calls rather than lines.

    Each line takes a token from a bucket. The fraction of calls that are logged is halved whenever
    fewer tokens are left than that fraction of half the bucket, and is reset to 1 once the bucket
    is half full. Calls are selected by a hash of the request id: while the fraction does not
    change, either all lines on a call are logged or none, and nodes with the same fraction log the
    same calls.

    Attributes:
        left_out: Number of lines left out; `EventWriter` logs it and sets it back to 0.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tokens = CALL_LINES_BURST
        self._updated_at = float("-inf")
        self._sampled_fraction = 1.0
        self.left_out = 0

    def should_log(self, request_id: str, now: float) -> bool:
        """Takes a token and returns True if a line on the call may be logged.

        Args:
            request_id: Id of the request that the call is a part of.
            now: Monotonic time in seconds.
        """
        with self._lock:
            elapsed_s = max(0.0, now - self._updated_at)
            self._updated_at = now
            self._tokens = min(CALL_LINES_BURST, self._tokens + elapsed_s * CALL_LINES_PER_S)
            if self._tokens >= CALL_LINES_BURST / 2:
                self._sampled_fraction = 1.0
            if load.request_position(request_id) >= self._sampled_fraction:
                self.left_out += 1
                return False
            self._tokens -= 1.0
            if self._tokens < CALL_LINES_BURST / 2 * self._sampled_fraction:
                self._sampled_fraction = max(MIN_SAMPLED_FRACTION, self._sampled_fraction / 2)
            if self._tokens < 0:
                self._tokens = 0.0
                self.left_out += 1
                return False
            return True


class EventWriter:
    """Listener of an event log that logs each event; events of single calls are sampled."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates a writer; `clock` returns the monotonic time in seconds."""
        self._clock = clock
        self._sampler = CallSampler()

    def __call__(self, event: events.Event) -> None:
        """Logs the event, unless it concerns a call that the sampler leaves out."""
        is_call_event = event.kind.startswith(event_kinds.CALL_KIND_PREFIXES)
        if is_call_event:
            if not self._sampler.should_log(event.request_id, self._clock()):
                return
            left_out, self._sampler.left_out = self._sampler.left_out, 0
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
    """Installs a handler that writes all logs of this process to `stream` as JSON lines.

    Args:
        node: Settings with the host, the failure domain and the lowest level that is logged.
        incarnation: Start time of the process in milliseconds.
        stream: Receives the lines; if None, they go to standard output through a queue.

    Returns:
        The handler, which is active until its `pop_application` is called.
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
