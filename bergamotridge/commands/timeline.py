"""`bergamotridge timeline`: events of all nodes in causal order."""

from absl import flags

from bergamotridge.commands import nodes
from bergamotridge.operators import fleet, timeline


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    nodes.define_flags(values)
    flags.DEFINE_string(
        "since", "", "only events after this stamp or these milliseconds", flag_values=values
    )
    flags.DEFINE_string(
        "kinds", "", "only kinds that begin so, such as 'call.'", flag_values=values
    )


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Prints the time line, and names the nodes that are missing from it."""
    del arguments
    found = nodes.survey(values)
    history = fleet.history(found, nodes.connector(values), since=values.since)
    for line in timeline.lines(history, values.kinds):
        print(line)
    return 0
