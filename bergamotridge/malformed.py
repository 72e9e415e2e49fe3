"""Reports of entries that other processes wrote and that cannot be read."""

from collections.abc import Callable

import attrs

from bergamotridge.util import excerpt

MAX_REASON_LENGTH = 300


def _shorten_name(name: object) -> str:
    return excerpt.shorten(name) if isinstance(name, str) else excerpt.quote(name)


def _shorten_reason(reason: object) -> str:
    return str(reason)[:MAX_REASON_LENGTH]


@attrs.frozen
class MalformedEntry:
    """An entry that is skipped; the others that were read with it hold.

    Attributes:
        source: Where the entry was read: the kind of a platform object, or a message such as
            ``"announcement"``.
        name: What identifies the entry there, such as the name of an object; cut if it is long.
        reason: Why it cannot be read; cut if it is long.
    """

    source: str
    name: str = attrs.field(converter=_shorten_name)
    reason: str = attrs.field(converter=_shorten_reason)


OnMalformed = Callable[[MalformedEntry], None]


def ignore(entry: MalformedEntry) -> None:
    """Does nothing with a report."""
    del entry
