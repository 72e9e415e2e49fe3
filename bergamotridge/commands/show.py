"""`bergamotridge show`: prints the operator's text in force."""

import sys

from absl import flags

from bergamotridge import errors
from bergamotridge.commands import objects


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    objects.define_flags(values)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Prints the text to stdout and its version to stderr."""
    del arguments
    current = objects.read_configuration(objects.connect(values))
    if current is None:
        raise errors.NotFoundError("the platform holds no operator's text; see 'apply'")
    print(f"version {current.version}, change {current.change_id}", file=sys.stderr)
    print(current.source, end="")
    return 0
