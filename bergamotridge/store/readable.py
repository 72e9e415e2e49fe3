"""Reads lists of platform objects of which some may have been written by other software."""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

import attrs
import orjson

from bergamotridge import errors, malformed
from bergamotridge.util import excerpt

Decoded = TypeVar("Decoded")


@attrs.frozen
class ReadableObjects(Generic[Decoded]):
    """The objects of a list that could be read, and reports of the others."""

    items: tuple[Decoded, ...]
    skipped: tuple[malformed.MalformedEntry, ...]


def decode_each(
    kind: str,
    entries: Iterable[object],
    decode: Callable[[object], Decoded],
    name_of: Callable[[object], object],
) -> ReadableObjects[Decoded]:
    """Decodes the entries of a list; those that cannot be read are left out.

    Args:
        kind: Kind of the objects.
        entries: The JSON values of the list.
        decode: Returns the object of an entry, or raises MalformedObjectError.
        name_of: Returns what names an entry in a report, and does not raise.
    """
    items, reports = [], []
    for entry in entries:
        try:
            items.append(decode(entry))
        except errors.MalformedObjectError as error:
            reports.append(malformed.MalformedEntry(kind, name_of(entry), error))
    return ReadableObjects(tuple(items), tuple(reports))


def check_value(value: object) -> bytes:
    """Returns the JSON form of an object's value.

    Raises:
        MalformedObjectError: The value cannot be written as JSON. The parser reads values of more
            levels than the serializer writes.
    """
    try:
        return orjson.dumps(value)
    except TypeError as error:
        raise errors.MalformedObjectError(
            f"its value {excerpt.quote(value)} cannot be written as JSON: {error}"
        ) from error


def member(entry: object, *keys: str) -> object:
    """Returns the value at a path of keys in nested JSON objects, None if there is none."""
    for key in keys:
        if not isinstance(entry, dict):
            return None
        entry = entry.get(key)
    return entry
