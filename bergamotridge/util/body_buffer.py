"""Collects the pieces of a body without a cost for each piece.

What is collected is `bytes` while there is at most one piece, else a buffer that takes up to an
eighth more than its content.
"""

import io


def append(collected: bytes | io.BytesIO, piece: bytes) -> bytes | io.BytesIO:
    """Returns what is collected after one more piece; `collected` is not used any more."""
    if not collected:
        return piece
    if not isinstance(collected, io.BytesIO):
        first, collected = collected, io.BytesIO()
        collected.write(first)
    collected.write(piece)
    return collected


def content(collected: bytes | io.BytesIO) -> bytes:
    """Returns the body; a buffer gives away its content without a copy."""
    return collected.getvalue() if isinstance(collected, io.BytesIO) else collected
