"""The flag for the fleet secret, which is read from a file."""

from absl import flags

from bergamotridge import errors
from bergamotridge.util import text_files

_SECRET_HELP = "file that holds the fleet secret and nothing else"


def define_flag(values: flags.FlagValues, *, required: bool = True) -> None:
    """Defines the flag with the path of the fleet secret's file."""
    default = None if required else ""
    flags.DEFINE_string("secret_file", default, _SECRET_HELP, flag_values=values, required=required)


def read(values: flags.FlagValues) -> str:
    """Returns the fleet secret.

    Raises:
        UsageError: The flag is missing.
        SettingsError: The file cannot be read or is empty.
    """
    if not values.secret_file:
        raise errors.UsageError(f"give --secret_file: {_SECRET_HELP}")
    secret = text_files.read_file(values.secret_file).strip()
    if not secret:
        raise errors.SettingsError(f"{values.secret_file}: is empty; accepted: the fleet secret")
    return secret
