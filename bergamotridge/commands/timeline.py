"""`bergamotridge timeline`: shows the events of all nodes in causal order."""

from absl import flags

from bergamotridge.commands import nodes
from bergamotridge.operators import summary, timeline


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    nodes.define_source_flags(values)
    flags.DEFINE_string(
        "since", "", "only events after this stamp or wall time in milliseconds", flag_values=values
    )
    flags.DEFINE_string(
        "kinds", "", "only kinds with this prefix, such as 'call.'", flag_values=values
    )
    flags.DEFINE_float(
        "every_s",
        0.0,
        "counts events of calls and members in intervals of this many seconds; 0 shows each event",
        lower_bound=0.0,
        flag_values=values,
    )


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Prints the time line, then the nodes that could not be read."""
    del arguments
    history = nodes.read_history(values, since=values.since)
    if values.every_s > 0:
        shown = summary.format_lines(history, values.every_s, values.kinds)
    else:
        shown = timeline.format_lines(history, values.kinds)
    for line in shown:
        print(line)
    return 0
