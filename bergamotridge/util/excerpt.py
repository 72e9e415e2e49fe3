"""Short quotations of values that another process sent, for messages and logs."""

import reprlib

MAX_TEXT_LENGTH = 80
MAX_DEPTH = 3
MAX_ITEMS = 4

_reprs = reprlib.Repr()
_reprs.maxstring = _reprs.maxother = MAX_TEXT_LENGTH
_reprs.maxlevel = MAX_DEPTH
_reprs.maxlist = _reprs.maxdict = _reprs.maxtuple = MAX_ITEMS


def quote(value: object) -> str:
    """Returns the representation of a value, cut in length and depth.

    The whole representation of a value that was parsed from JSON may take megabytes, or more levels
    than the interpreter can descend.
    """
    return _reprs.repr(value)


def shorten(text: str) -> str:
    """Returns a text with its middle left out if it is long."""
    if len(text) <= MAX_TEXT_LENGTH:
        return text
    half = MAX_TEXT_LENGTH // 2
    return f"{text[:half]}...{text[-half:]}"
