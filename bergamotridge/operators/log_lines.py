"""Reads events back from the log lines of nodes, for when the nodes themselves are gone."""

from collections.abc import Iterable, Iterator, Sequence

import orjson

from bergamotridge import errors, events
from bergamotridge.operators import fleet
from bergamotridge.util import hlc

_FIELDS_OF_LINE = frozenset(("event", "stamp", "cause", "request_id"))


def history(paths: Sequence[str], request_id: str = "", since: str = "") -> fleet.History:
    """Returns the events in log files, in causal order.

    Args:
        paths: Files; text before a line's JSON object is passed over, and so are other lines.
        request_id: Gives only events of this request, if not "".
        since: Gives only events after this stamp or wall time in milliseconds, if not "".

    Raises:
        UsageError: A file cannot be read.
    """
    least = int(since.partition(".")[0]) if since else 0
    found = {
        event.stamp: event
        for path in paths
        for event in _events(_lines(path))
        if (not request_id or event.request_id == request_id) and event.stamp.millis >= least
    }
    return fleet.History(tuple(found[stamp] for stamp in sorted(found)), ())


def _lines(path: str) -> list[bytes]:
    try:
        with open(path, "rb") as file:
            return file.readlines()
    except OSError as error:
        raise errors.UsageError(f"log file '{path}': {error.strerror}") from error


def _events(lines: Iterable[bytes]) -> Iterator[events.Event]:
    for line in lines:
        start = line.find(b"{")
        try:
            table = orjson.loads(line[start:]) if start >= 0 else {}
            fields = table["fields"]
            yield events.Event(
                hlc.parse(fields["stamp"]),
                table["host"],
                table["incarnation"],
                table["failure_domain"],
                fields["event"],
                fields.get("request_id", ""),
                fields.get("cause", ""),
                {key: value for key, value in fields.items() if key not in _FIELDS_OF_LINE},
            )
        except (ValueError, KeyError, TypeError):
            # Not a line on an event.
            continue
