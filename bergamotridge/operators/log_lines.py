"""Reads events from the log files of nodes, for when the nodes themselves no longer run."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

import orjson

from bergamotridge import errors, events
from bergamotridge.operators import event_lines, fleet
from bergamotridge.util import excerpt, fields, hlc

_FIELDS_NOT_IN_DETAIL = frozenset(("event", "stamp", "cause", "request_id"))


def read_history(paths: Sequence[str], request_id: str = "", since: str = "") -> fleet.History:
    """Returns the events in log files, in causal order.

    Args:
        paths: Log files; text before the JSON object of a line is skipped, and so are lines
            without an event. Each event is returned once, even if several files hold it.
        request_id: Returns only events of this request, if not "".
        since: Returns only events after this stamp, or after this wall time in milliseconds, if
            not "".

    Raises:
        UsageError: A file cannot be read, or `since` is malformed.
    """
    after = _parse_since(since)
    events_by_stamp = {
        event.stamp: event
        for path in paths
        for event in _parse_events(_read_lines(path))
        if (not request_id or event.request_id == request_id)
        and (after is None or event.stamp > after)
    }
    return fleet.History(tuple(events_by_stamp[stamp] for stamp in sorted(events_by_stamp)), ())


def _parse_since(since: str) -> hlc.Stamp | None:
    try:
        return event_lines.parse_since(since) if since else None
    except ValueError as error:
        raise errors.UsageError(
            f"--since is '{since}'; accepted: a stamp, or milliseconds of wall time"
        ) from error


def _read_lines(path: str) -> list[bytes]:
    try:
        with open(path, "rb") as file:
            return file.readlines()
    except OSError as error:
        raise errors.UsageError(f"log file '{path}': {error.strerror}") from error


def _parse_events(lines: Iterable[bytes]) -> Iterator[events.Event]:
    for line in lines:
        start = line.find(b"{")
        try:
            record = orjson.loads(line[start:]) if start >= 0 else {}
            yield _parse_event(record)
        except (ValueError, KeyError, TypeError):
            # The line holds no event.
            continue


def _parse_event(record: Mapping) -> events.Event:
    """Returns the event in a log record; raises ValueError, KeyError or TypeError without one."""
    event_fields = record["fields"]
    # Raises TypeError for values of so many levels that they cannot be shown.
    orjson.dumps(event_fields)
    return events.Event(
        hlc.parse(_text(event_fields["stamp"])),
        _text(record["host"]),
        fields.whole_number("incarnation", record["incarnation"], 0, fields.MAX_INTEGER),
        _text(record["failure_domain"]),
        _text(event_fields["event"]),
        _text(event_fields.get("request_id", "")),
        _text(event_fields.get("cause", "")),
        {key: value for key, value in event_fields.items() if key not in _FIELDS_NOT_IN_DETAIL},
    )


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{excerpt.quote(value)} is no text")
    return value
