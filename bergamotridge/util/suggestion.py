"""Suggestions for mistyped names in error messages."""

import difflib
from collections.abc import Iterable


def hint(given: str, accepted: Iterable[str]) -> str:
    """Returns a suffix for an error message about an unknown name.

    Args:
        given: The unknown name.
        accepted: The names that would be accepted.

    Returns:
        ``"; did you mean 'NAME'?"`` with the accepted name closest to `given`, or "" if none is
        similar.
    """
    close = difflib.get_close_matches(given, list(accepted), 1)
    return f"; did you mean '{close[0]}'?" if close else ""
