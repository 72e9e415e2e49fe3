"""`bergamotridge status`: shows all nodes of the fleet, one line for each."""

from absl import flags

from bergamotridge.commands import nodes
from bergamotridge.operators import overview


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    nodes.define_flags(values)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Prints the table; returns 1 if a node could not be reached."""
    del arguments
    found = nodes.survey_fleet(values)
    for line in overview.format_lines(found):
        print(line)
    return 1 if found.missing else 0
