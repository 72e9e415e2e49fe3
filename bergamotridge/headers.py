"""Which header fields pass through the fleet and which stay behind."""

from bergamotridge import call
from bergamotridge.util import message

OWN_PREFIX = call.OWN_PREFIX.encode()
_FOR_UPSTREAM = message.HOP_BY_HOP | {b"authorization"}


def _connection_fields(headers: list[message.Header]) -> set[bytes]:
    """Returns the field names that a Connection header declares hop-by-hop."""
    value = message.find(headers, b"connection")
    if value is None:
        return set()
    return {name.strip().lower() for name in value.split(b",")}


def _strip(headers: list[message.Header], dropped: frozenset[bytes]) -> list[message.Header]:
    named = _connection_fields(headers)
    if named:
        dropped = dropped | named
    return [
        field
        for field in headers
        if field[0] not in dropped and not field[0].startswith(OWN_PREFIX)
    ]


def for_upstream(headers: list[message.Header]) -> list[message.Header]:
    """Returns the fields of a request that may go on: no key, no own field, no hop-by-hop."""
    return _strip(headers, _FOR_UPSTREAM)


def for_caller(headers: list[message.Header]) -> list[message.Header]:
    """Returns the fields of an answer that may go back: no own field, no hop-by-hop."""
    return _strip(headers, message.HOP_BY_HOP)
