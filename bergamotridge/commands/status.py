"""`bergamotridge status`: one line for each node of the fleet."""

from absl import flags

from bergamotridge.commands import nodes
from bergamotridge.operators import overview


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    nodes.define_flags(values)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Prints the table; returns 1 if some node is missing from it."""
    del arguments
    found = nodes.survey(values)
    for line in overview.lines(found):
        print(line)
    return 1 if found.missing else 0
