"""The time line: events of all nodes, as lines of text."""

import datetime
from collections.abc import Iterable, Iterator

from bergamotridge import events
from bergamotridge.operators import fleet
from bergamotridge.util import hlc


def format_wall_time(stamp: hlc.Stamp) -> str:
    """Returns the wall time of a stamp in UTC, to the millisecond."""
    moment = datetime.datetime.fromtimestamp(stamp.millis / 1000, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{stamp.millis % 1000:03d}Z"


def format_event(event: events.Event) -> str:
    """Returns one event as a line of text."""
    parts = [format_wall_time(event.stamp), f"{event.host} ({event.failure_domain})", event.kind]
    if event.cause:
        parts.append(f"cause={event.cause}")
    parts += [f"{name}={value}" for name, value in event.detail.items()]
    if event.request_id:
        parts.append(f"request={event.request_id}")
    return "  ".join(parts)


def missing_lines(missing: Iterable[fleet.MissingNode]) -> Iterator[str]:
    """Yields a line for each node that could not be read."""
    for node in missing:
        yield f"missing: {node}"


def format_lines(history: fleet.History, kind_prefix: str = "") -> Iterator[str]:
    """Yields the time line, then the missing nodes.

    Args:
        history: Events of the fleet.
        kind_prefix: Prefix of the event kinds to show, "" for all.
    """
    for event in history.events:
        if event.kind.startswith(kind_prefix):
            yield format_event(event)
    yield from missing_lines(history.missing)
