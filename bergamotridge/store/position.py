"""Positions in the history of the platform's store, by which versions of objects are ordered."""

import attrs

from bergamotridge import errors


@attrs.frozen(order=True)
class Position:
    """A point in the store's history; a later one is greater.

    The store counts its changes by revisions. When it is restored from an earlier copy, its epoch
    rises, and it gives out again the revisions that came after the copy.

    Attributes:
        epoch: Number of the history, which rises with each restoration; 0 if the store names none.
        revision: Number of the change within the epoch, 0 for an object that does not exist.
    """

    epoch: int = 0
    revision: int = 0

    @property
    def exists(self) -> bool:
        """False if this stands for an object that does not exist."""
        return self.revision > 0

    def __str__(self) -> str:
        return f"{self.epoch}.{self.revision}" if self.epoch else str(self.revision)


START = Position()
# Below the position of any answer, also of one that says that an object does not exist.
UNREAD = Position(-1, 0)


def parse(text: str) -> Position:
    """Returns the position that `str` wrote as `text`; raises UsageError if it is none."""
    epoch, separator, revision = text.rpartition(".")
    numbers = (epoch or ("" if separator else "0"), revision)
    if not all(number.isascii() and number.isdigit() for number in numbers):
        raise errors.UsageError(
            f"'{text}' is not a version; give a whole number, or two joined by a point, as printed"
        )
    return Position(*map(int, numbers))
