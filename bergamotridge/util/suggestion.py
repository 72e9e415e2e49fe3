"""Suggestions for names that were mistyped."""

import difflib
from collections.abc import Iterable


def hint(given: str, accepted: Iterable[str]) -> str:
    """Returns ``"; did you mean 'NAME'?"`` for the closest accepted name, "" if none is close."""
    close = difflib.get_close_matches(given, list(accepted), 1)
    return f"; did you mean '{close[0]}'?" if close else ""
