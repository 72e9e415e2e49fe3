"""Logs: one JSON object on a line, written to stderr through logbook."""

import sys
from typing import TextIO

import attrs
import logbook
import orjson
from logbook import compat

from bergamotridge import events, settings
from bergamotridge.operators import kinds

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


class EventWriter:
    """Listener of an event log that writes each event to the log.

    Events of single calls are written at level DEBUG, all others at INFO.
    """

    def __call__(self, event: events.Event) -> None:
        """Logs one event."""
        quiet = event.kind.startswith(kinds.OF_CALLS)
        if quiet and _log.level > logbook.DEBUG:
            return
        fields = {"event": event.kind, "stamp": str(event.stamp), **event.detail}
        if event.request_id:
            fields["request_id"] = event.request_id
        text = f"{event.kind}: {event.cause}" if event.cause else event.kind
        _log.log(logbook.DEBUG if quiet else logbook.INFO, "{}", text, extra=fields)


def setup(
    node: settings.NodeSettings, incarnation: int, stream: TextIO | None = None
) -> logbook.Handler:
    """Sends all logs of this process to `stream` as JSON lines.

    Args:
        node: Gives the host, the failure domain and the lowest level.
        incarnation: Start time of the process in milliseconds.
        stream: Where the lines go; stderr if None.

    Returns:
        The handler, which is in force until its `pop_application` is called.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=node.log_level)
    handler.formatter = JsonFormatter(Origin(node.host, incarnation, node.failure_domain))
    handler.push_application()
    _log.level = logbook.lookup_level(node.log_level)
    compat.redirect_logging()
    return handler
