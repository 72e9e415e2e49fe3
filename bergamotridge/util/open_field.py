"""Bytes that a parser keeps of a field that is not complete yet.

httptools tells of a field only once it is complete, and keeps all of it until then. Behind a body
that may be as much as the framing of the body, so that it is counted here, and bounded like a head.
"""


def count(open_size: int, size: int, *, has_parts: bool) -> int:
    """Returns the bytes since the last piece of input in which anything was complete.

    They may all belong to one field. What that piece itself holds of the field isn't counted.

    Args:
        open_size: What this returned for the piece before.
        size: Bytes of the piece of input that has been parsed now.
        has_parts: True if a field or a piece of a body was complete in it.
    """
    return 0 if has_parts else open_size + size
