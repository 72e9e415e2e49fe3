"""`bergamotridge apply`: puts an operator's text into force."""

import difflib
import sys

from absl import flags

from bergamotridge import errors
from bergamotridge.commands import objects
from bergamotridge.operators import operator_text
from bergamotridge.store import apply, client, configuration, position
from bergamotridge.util import text_files

LATEST_VERSION = "-1"


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    objects.define_flags(values)
    flags.DEFINE_string("file", None, "operator's text", flag_values=values, required=True)
    flags.DEFINE_string(
        "read_version",
        LATEST_VERSION,
        "version that the text is based on, as printed by 'show', 0 if there was none; the text is "
        "refused if another change was applied since then. -1 replaces any version",
        flag_values=values,
    )


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Validates and applies the text, and prints the new version."""
    del arguments
    source = text_files.read_file(values.file)
    operator_text.parse(source, values.file)
    platform = objects.connect(values)
    if values.read_version == LATEST_VERSION:
        read_version = _read_latest_version(platform)
    else:
        read_version = position.parse(values.read_version)
    try:
        applied = apply.apply(platform, source, read_version)
    except errors.ConflictError:
        _print_difference(platform, values.file, source)
        raise
    replaced = "; a later change has replaced it already" if applied.replaced else ""
    print(f"version {applied.version}, change {applied.change_id}{replaced}")
    return 0


def _read_latest_version(platform: client.ObjectClient) -> position.Position:
    try:
        return platform.get(configuration.KIND, configuration.NAME).version
    except errors.NotFoundError as error:
        return error.version


def _print_difference(platform: client.ObjectClient, path: str, source: str) -> None:
    """Prints to stderr how the file differs from the text that is in force."""
    current = objects.read_configuration(platform)
    if current is None:
        return
    difference = difflib.unified_diff(
        current.source.splitlines(),
        source.splitlines(),
        f"version {current.version}",
        path,
        lineterm="",
    )
    for line in difference:
        print(line, file=sys.stderr)
