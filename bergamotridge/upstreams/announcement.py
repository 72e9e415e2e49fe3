"""Announcements: state and capacity that an upstream reports about itself."""

import functools
from typing import Any

import attrs

from bergamotridge.nodes import record
from bergamotridge.upstreams import notice
from bergamotridge.util import addresses, fields

SOURCE = "announcement"  # Of announcements that cannot be read.
MAX_CONNECTIONS = 1_000_000
MAX_SEQUENCE = 2**31 - 1


def _in_range(minimum: int, maximum: int) -> Any:
    """Returns a validator for whole numbers from `minimum` to `maximum`."""

    def check(_: object, attribute: attrs.Attribute, value: object) -> None:
        fields.whole_number(attribute.name, value, minimum, maximum)

    return check


def _check_address(_: object, attribute: attrs.Attribute, value: object) -> None:
    del attribute
    addresses.parse(value)


def _check_load(_: object, attribute: attrs.Attribute, value: object) -> None:
    fields.number(attribute.name, value, 0.0, record.MAX_LOAD)


@attrs.frozen
class Announcement:
    """One report of an upstream about itself; docs/internals.md describes the wire format.

    Creating one raises MalformedEntryError if a value is out of its range.

    Attributes:
        service: Name of the service that the upstream runs.
        address: IP:PORT on which the upstream accepts calls.
        state: State of the upstream.
        incarnation: Number of this start of the upstream; a restart gives a higher number.
        slots: Number of calls that the upstream claims to run concurrently.
        connections: Number of connections that the upstream claims to accept.
        load: Load that the upstream claims; a hint only, on which no decision is based.
        instance: Id of this start of the upstream, "" if none was sent.
        sequence: Number that increases with each announcement of one incarnation, None if none was
            sent.
        cold_s: Seconds for which the upstream stays slow after its start, None if not sent.
        last: True if no announcement follows in this incarnation.
    """

    service: str
    address: str = attrs.field(validator=_check_address)
    state: record.State
    incarnation: int = attrs.field(validator=_in_range(0, fields.MAX_INTEGER))
    slots: int = attrs.field(validator=_in_range(1, record.MAX_SLOTS))
    connections: int = attrs.field(validator=_in_range(1, MAX_CONNECTIONS))
    load: float = attrs.field(validator=_check_load)
    instance: str = ""
    sequence: int | None = attrs.field(
        default=None, validator=attrs.validators.optional(_in_range(0, MAX_SEQUENCE))
    )
    cold_s: float | None = None
    last: bool = False

    @functools.cached_property
    def upstream_id(self) -> notice.UpstreamId:
        """The start of the upstream process that made the announcement."""
        return notice.UpstreamId(self.instance, self.incarnation)

    def replaces(self, earlier: "Announcement | None") -> bool:
        """Returns False if this announcement is older than `earlier`, or follows its last one."""
        if earlier is None or (self.sequence is None and not self.last):
            return True
        if self.incarnation != earlier.incarnation:
            return self.incarnation > earlier.incarnation
        if self.last or earlier.last:
            return not earlier.last
        return earlier.sequence is None or self.sequence > earlier.sequence
