"""Checks of single values that another process sent."""

from bergamotridge import errors
from bergamotridge.util import excerpt

MAX_NAME_LENGTH = 256
# Largest number that 64-bit integers with a sign hold, as JSON and protocol buffers use them.
MAX_INTEGER = 2**63 - 1
MAX_START_MS = 4_102_444_800_000  # Start of the year 2100; later times are in another unit.


def whole_number(name: str, value: object, minimum: int, maximum: int) -> int:
    """Returns a value that is a whole number in a range, both ends included.

    Args:
        name: Name of the field, for the message.
        value: The value; True and False are no numbers.
        minimum: Lowest number that is accepted.
        maximum: Highest number that is accepted.

    Raises:
        MalformedEntryError: `value` is anything else.
    """
    if type(value) is int and minimum <= value <= maximum:
        return value
    raise errors.MalformedEntryError(
        f"'{name}' is {excerpt.quote(value)}; accepted: a whole number from {minimum} to {maximum}"
    )


def number(name: str, value: object, minimum: float, maximum: float) -> float:
    """Returns a value that is a number in a range; raises MalformedEntryError as `whole_number`."""
    if type(value) in (int, float) and minimum <= value <= maximum:
        return float(value)
    raise errors.MalformedEntryError(
        f"'{name}' is {excerpt.quote(value)}; accepted: a number from {minimum:g} to {maximum:g}"
    )


def text(name: str, value: object, *, min_length: int = 1) -> str:
    """Returns a value that is a printable text of at most `MAX_NAME_LENGTH` characters.

    Raises:
        MalformedEntryError: `value` is anything else, or shorter than `min_length`.
    """
    if is_text(value, min_length=min_length):
        return value
    raise errors.MalformedEntryError(
        f"'{name}' is {excerpt.quote(value)}; accepted: printable text of {min_length} to "
        f"{MAX_NAME_LENGTH} characters"
    )


def is_text(value: object, *, min_length: int = 1) -> bool:
    """Returns True if `text` accepts a value."""
    has_length = isinstance(value, str) and min_length <= len(value) <= MAX_NAME_LENGTH
    return has_length and value.isprintable()


def table(name: str, value: object) -> dict:
    """Returns a value that is a JSON object; raises MalformedEntryError if it is not."""
    if isinstance(value, dict):
        return value
    raise errors.MalformedEntryError(f"{name} is {excerpt.quote(value)}; accepted: a JSON object")
