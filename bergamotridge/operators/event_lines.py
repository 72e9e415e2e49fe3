"""Serialization of events as JSON lines, one event on each line."""

from collections.abc import Iterable

import attrs
import cattrs
import orjson

from bergamotridge import errors, events
from bergamotridge.util import hlc

_converter = cattrs.Converter()
_converter.register_structure_hook(hlc.Stamp, lambda text, _: hlc.parse(text))
_converter.register_structure_hook_func(lambda cls: cls is object, lambda value, _: value)


def encode(log: Iterable[events.Event]) -> bytes:
    """Returns one JSON line for each event."""
    return b"".join(orjson.dumps(_to_fields(event), default=str) + b"\n" for event in log)


def _to_fields(event: events.Event) -> dict[str, object]:
    fields = {field.name: getattr(event, field.name) for field in attrs.fields(events.Event)}
    return {**fields, "stamp": str(event.stamp)}


def decode(body: bytes) -> list[events.Event]:
    """Returns the events that `encode` serialized; raises OperatorPortError on anything else."""
    try:
        return [
            _converter.structure(orjson.loads(line), events.Event) for line in body.splitlines()
        ]
    except (ValueError, cattrs.BaseValidationError) as error:
        raise errors.OperatorPortError("the events page is not in the expected form") from error


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
