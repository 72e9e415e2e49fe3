"""Reads text files and TOML; errors name the file."""

import pathlib
import tomllib

from bergamotridge import errors


def parse_toml(text: str, source: str) -> dict:
    """Parses a TOML document.

    Args:
        text: The document.
        source: Where it came from, such as a path, for the error message.

    Returns:
        The top-level table.

    Raises:
        SettingsError: `text` is not valid TOML.
    """
    try:
        return tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # Numbers of thousands of digits raise ValueError, deeply nested lists RecursionError.
        raise errors.SettingsError(f"{source}: not valid TOML: {error}") from error


def read_file(path: str) -> str:
    """Returns a file's content; raises SettingsError if it is unreadable or not UTF-8."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{path}: is not UTF-8 text; save it as UTF-8") from error
