"""Files that operators name on the command line."""

import pathlib

from absl import flags

from bergamotridge import errors

_SECRET_HELP = "file that holds the fleet secret and nothing else"


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


def define_secret_flag(values: flags.FlagValues, *, required: bool = True) -> None:
    """Defines the flag that names the file of the fleet secret."""
    default = None if required else ""
    flags.DEFINE_string("secret_file", default, _SECRET_HELP, flag_values=values, required=required)


def read_secret(values: flags.FlagValues) -> str:
    """Returns the fleet secret; raises SettingsError if its file gives none."""
    if not values.secret_file:
        raise errors.UsageError(f"give --secret_file: {_SECRET_HELP}")
    secret = read(values.secret_file).strip()
    if not secret:
        raise errors.SettingsError(f"{values.secret_file}: is empty; accepted: the fleet secret")
    return secret
