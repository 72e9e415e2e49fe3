"""Serialization of events as JSON lines, one event on each line."""

from collections.abc import Iterable

import attrs
import orjson

from bergamotridge import events
from bergamotridge.util import hlc


def encode(log: Iterable[events.Event]) -> bytes:
    """Returns one JSON line for each event."""
    return b"".join(orjson.dumps(_to_fields(event), default=str) + b"\n" for event in log)


def _to_fields(event: events.Event) -> dict[str, object]:
    fields = {field.name: getattr(event, field.name) for field in attrs.fields(events.Event)}
    return {**fields, "stamp": str(event.stamp)}


def parse_since(text: str) -> hlc.Stamp:
    """Parses the stamp after which events are requested.

    Args:
        text: A stamp, or wall time in milliseconds.

    Raises:
        ValueError: The text is neither.
    """
    if "@" in text:
        return hlc.parse(text)
    return hlc.Stamp(int(text), 0, "")
