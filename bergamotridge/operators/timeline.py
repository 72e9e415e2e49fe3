"""The time line: events of all nodes as lines of text."""

import datetime
from collections.abc import Iterable, Iterator

from bergamotridge import events
from bergamotridge.operators import fleet
from bergamotridge.util import hlc


def clock_text(stamp: hlc.Stamp) -> str:
    """Returns the wall time of a stamp in UTC, to the millisecond."""
    moment = datetime.datetime.fromtimestamp(stamp.millis / 1000, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{stamp.millis % 1000:03d}Z"


def event_line(event: events.Event) -> str:
    """Returns one event as a line."""
    parts = [clock_text(event.stamp), f"{event.host} ({event.failure_domain})", event.kind]
    if event.cause:
        parts.append(f"cause={event.cause}")
    parts += [f"{name}={value}" for name, value in event.detail.items()]
    if event.request_id:
        parts.append(f"request={event.request_id}")
    return "  ".join(parts)


def missing_lines(missing: Iterable[fleet.Missing]) -> Iterator[str]:
    """Yields a line for each node whose events are not in the time line."""
    for node in missing:
        yield f"missing: {node}"


def lines(history: fleet.History, kinds: str = "") -> Iterator[str]:
    """Yields the time line, then the nodes that are missing from it.

    Args:
        history: What was read from the nodes.
        kinds: Beginning of the kinds wanted, "" for all.
    """
    for event in history.events:
        if event.kind.startswith(kinds):
            yield event_line(event)
    yield from missing_lines(history.missing)
