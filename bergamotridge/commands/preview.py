"""`bergamotridge preview`: shows where a request would go now, without sending it."""

from absl import flags

from bergamotridge.commands import nodes
from bergamotridge.operators import client, preview_lines, route_preview


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    flags.DEFINE_string(
        "node",
        None,
        "operators' address (IP:PORT) of the node that would get the request",
        flag_values=values,
        required=True,
    )
    flags.DEFINE_string(
        "virtual_host", "", "host name that the caller would address", flag_values=values
    )
    flags.DEFINE_string("team", "", "team of the caller", flag_values=values)
    flags.DEFINE_float(
        "timeout_s",
        nodes.DEFAULT_TIMEOUT_S,
        "time limit of the question in seconds",
        lower_bound=0.01,
        flag_values=values,
    )


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Prints where the request would go; returns 1 if it would be refused whatever the load."""
    method, path = arguments
    query = route_preview.Query(method, path, values.virtual_host, values.team)
    preview = client.OperatorClient(values.node, values.timeout_s).preview(query)
    for line in preview_lines.format_lines(preview):
        print(line)
    return 1 if preview.refusal else 0
