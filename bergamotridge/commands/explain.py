"""`bergamotridge explain`: explains why one request was refused, retried or shed."""

from absl import flags

from bergamotridge.commands import nodes
from bergamotridge.operators import explain


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    nodes.define_source_flags(values)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Prints the explanation; returns 1 if no node that was reached has events of the request."""
    request_id = arguments[0]
    history = nodes.read_history(values, request_id=request_id)
    for line in explain.format_lines(request_id, history):
        print(line)
    return 0 if history.events else 1
