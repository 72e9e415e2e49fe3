"""Texts in TOML and in files, with messages that name the file."""

import pathlib
import tomllib

from bergamotridge import errors


def parse_toml(text: str, source: str) -> dict:
    """Returns the tables of a TOML text; raises SettingsError that names `source`."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError(f"{source}: not valid TOML: {error}") from error


def read_file(path: str) -> str:
    """Returns the text of a file; raises SettingsError if it cannot be read or is not UTF-8."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{path}: is not UTF-8 text") from error
