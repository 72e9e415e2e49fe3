"""Selects the header fields that are forwarded to upstreams and callers."""

from bergamotridge import call
from bergamotridge.util import message

HEADER_PREFIX = call.HEADER_PREFIX.encode()
_AFTER_PREFIX = HEADER_PREFIX[:-1] + bytes((HEADER_PREFIX[-1] + 1,))  # The first name above it.
_DROPPED_FOR_UPSTREAM = message.UNFORWARDED_FIELDS | {b"authorization"}


def _remove_fields(
    headers: list[message.Header], dropped: frozenset[bytes]
) -> list[message.Header]:
    declared = message.connection_options(headers)
    if declared:
        dropped = dropped | declared
    return [
        field
        for field in headers
        if field[0] not in dropped and not HEADER_PREFIX <= field[0] < _AFTER_PREFIX
    ]


def for_upstream(headers: list[message.Header]) -> list[message.Header]:
    """Returns the fields of a request to forward to an upstream.

    Left out are the `Authorization` field with the team's key, the fields of bergamotridge itself
    and hop-by-hop fields.
    """
    return _remove_fields(headers, _DROPPED_FOR_UPSTREAM)


def for_caller(headers: list[message.Header]) -> list[message.Header]:
    """Returns the fields of a response to send to the caller.

    Left out are the fields of bergamotridge itself and hop-by-hop fields.
    """
    return _remove_fields(headers, message.UNFORWARDED_FIELDS)
