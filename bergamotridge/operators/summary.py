"""The time line in intervals of some seconds, in which events of calls and members are counted."""

import collections
from collections.abc import Iterator

from bergamotridge import events
from bergamotridge.operators import event_kinds, fleet, timeline
from bergamotridge.util import hlc

MS_PER_S = 1000
MEMBER_KIND_PREFIX = "member."
COUNTED_KIND_PREFIXES = (*event_kinds.CALL_KIND_PREFIXES, MEMBER_KIND_PREFIX)
_GROUPING_FIELDS = ("service", "importance", "about", "state")


def _group_label(event: events.Event) -> str:
    """Returns the label under which an event is counted: its kind, cause and some details."""
    parts = [event.kind]
    if event.cause:
        parts.append(f"cause={event.cause}")
    parts += [f"{name}={event.detail[name]}" for name in _GROUPING_FIELDS if event.detail.get(name)]
    return "  ".join(parts)


def _interval_lines(start: hlc.Stamp, interval: list[events.Event]) -> Iterator[str]:
    counts: collections.Counter[str] = collections.Counter()
    for event in interval:
        if event.kind.startswith(COUNTED_KIND_PREFIXES):
            counts[_group_label(event)] += 1
        else:
            yield timeline.format_event(event)
    for label, count in sorted(counts.items()):
        yield f"{timeline.format_wall_time(start)}  {count} x {label}"


def format_lines(history: fleet.History, every_s: float, kind_prefix: str = "") -> Iterator[str]:
    """Yields the intervals that have events, then the missing nodes.

    Args:
        history: Events of the fleet.
        every_s: Length of an interval in seconds.
        kind_prefix: Prefix of the event kinds to show, "" for all.
    """
    interval_ms = max(1, int(every_s * MS_PER_S))
    intervals: dict[int, list[events.Event]] = collections.defaultdict(list)
    for event in history.events:
        if event.kind.startswith(kind_prefix):
            intervals[event.stamp.millis // interval_ms].append(event)
    for number, interval in sorted(intervals.items()):
        yield from _interval_lines(hlc.Stamp(number * interval_ms, 0, ""), interval)
    yield from timeline.missing_lines(history.missing)
