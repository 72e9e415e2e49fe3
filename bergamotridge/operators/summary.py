"""The time line in steps of some seconds: events of calls and members are counted."""

import collections
from collections.abc import Iterator

from bergamotridge import events
from bergamotridge.operators import fleet, kinds, timeline
from bergamotridge.util import hlc

MS_PER_S = 1000


MEMBER_KINDS = "member."
COUNTED = (*kinds.OF_CALLS, MEMBER_KINDS)
_FIELDS = ("service", "importance", "about", "state")


def _place(event: events.Event) -> str:
    """Returns what an event is counted by: its kind, cause and a few details."""
    parts = [event.kind]
    if event.cause:
        parts.append(f"cause={event.cause}")
    parts += [f"{name}={event.detail[name]}" for name in _FIELDS if event.detail.get(name)]
    return "  ".join(parts)


def _step_lines(start: hlc.Stamp, step: list[events.Event]) -> Iterator[str]:
    counts: collections.Counter[str] = collections.Counter()
    for event in step:
        if event.kind.startswith(COUNTED):
            counts[_place(event)] += 1
        else:
            yield timeline.event_line(event)
    for place, count in sorted(counts.items()):
        yield f"{timeline.clock_text(start)}  {count} x {place}"


def lines(history: fleet.History, every_s: float, beginning: str = "") -> Iterator[str]:
    """Yields the steps that have events, then the nodes that are missing.

    Args:
        history: What was read from the nodes.
        every_s: Length of a step in seconds.
        beginning: Beginning of the kinds wanted, "" for all.
    """
    step_ms = max(1, int(every_s * MS_PER_S))
    steps: dict[int, list[events.Event]] = collections.defaultdict(list)
    for event in history.events:
        if event.kind.startswith(beginning):
            steps[event.stamp.millis // step_ms].append(event)
    for number, step in sorted(steps.items()):
        yield from _step_lines(hlc.Stamp(number * step_ms, 0, ""), step)
    yield from timeline.missing_lines(history.missing)
