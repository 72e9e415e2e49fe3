"""Reads lists of platform objects of which some may have been written by other software."""

from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

import attrs
import orjson

from bergamotridge import errors, malformed
from bergamotridge.util import excerpt


class _Decoded(Protocol):
    """An object of the platform; see `client.StoredObject`."""

    name: str
    fault: str


Decoded = TypeVar("Decoded", bound=_Decoded)


@attrs.frozen
class ReadableObjects(Generic[Decoded]):
    """The objects of a list, and reports of what could not be read in it."""

    items: tuple[Decoded, ...]
    reports: tuple[malformed.MalformedEntry, ...]


def decode_each(
    kind: str,
    entries: Iterable[object],
    decode: Callable[[object], Decoded],
    name_of: Callable[[object], object],
) -> ReadableObjects[Decoded]:
    """Decodes the entries of a list; those without a usable name or version are left out.

    Args:
        kind: Kind of the objects.
        entries: The JSON values of the list.
        decode: Returns the object of an entry, or raises MalformedObjectError.
        name_of: Returns what names an entry in a report, and does not raise.
    """
    items, reports = [], []
    for entry in entries:
        try:
            item = decode(entry)
        except errors.MalformedObjectError as error:
            reports.append(malformed.MalformedEntry(kind, name_of(entry), error))
            continue
        items.append(item)
        if item.fault:
            reports.append(malformed.MalformedEntry(kind, item.name, item.fault))
    return ReadableObjects(tuple(items), tuple(reports))


def find_fault(value: object) -> str:
    """Returns why a value cannot be passed on or written again, "" if it can.

    The parser reads values of more levels than the serializer writes.
    """
    try:
        orjson.dumps(value)
    except TypeError as error:
        return f"its value {excerpt.quote(value)} cannot be written as JSON: {error}"
    return ""


def member(entry: object, *keys: str) -> object:
    """Returns the value at a path of keys in nested JSON objects, None if there is none."""
    for key in keys:
        if not isinstance(entry, dict):
            return None
        entry = entry.get(key)
    return entry
