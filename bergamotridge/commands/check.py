"""`bergamotridge check`: validates configuration files before they are used."""

from absl import flags

from bergamotridge import errors, settings
from bergamotridge.operators import operator_text
from bergamotridge.util import text_files


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    flags.DEFINE_string("file", "", "operator's text to check", flag_values=values)
    flags.DEFINE_string("settings", "", "settings file of a node to check", flag_values=values)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Validates the given files; raises SettingsError at the first error."""
    del arguments
    if not values.file and not values.settings:
        raise errors.UsageError("check: give --file, --settings or both")
    if values.file:
        parsed = operator_text.parse(text_files.read_file(values.file), values.file)
        print(
            f"{values.file}: good: {len(parsed.services)} services, "
            f"{len(parsed.routes)} routes, {len(parsed.teams)} teams"
        )
    if values.settings:
        loaded = settings.load(values.settings)
        print(f"{values.settings}: good: host '{loaded.host}' in '{loaded.failure_domain}'")
    return 0
