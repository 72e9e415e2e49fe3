"""Files that operators name on the command line."""

import pathlib

from bergamotridge import errors


def read(path: str) -> str:
    """Returns the text of a file.

    Raises:
        SettingsError: The file cannot be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{path}: is not UTF-8 text") from error
