"""What commands share that talk to nodes: their flags and the search for the fleet."""

import functools

from absl import flags

from bergamotridge import errors
from bergamotridge.operators import client, fleet, log_lines

DEFAULT_TIMEOUT_S = 3.0


def define_flags(values: flags.FlagValues, *, required: bool = True) -> None:
    """Defines the flags that say which nodes to ask."""
    flags.DEFINE_list(
        "nodes",
        None if required else [],
        "operators' addresses (IP:PORT, with commas between) of one or more nodes; the rest of "
        "the fleet is found through them",
        flag_values=values,
        required=required,
    )
    flags.DEFINE_float(
        "timeout_s",
        DEFAULT_TIMEOUT_S,
        "time limit of each request in seconds",
        lower_bound=0.01,
        flag_values=values,
    )


def define_source_flags(values: flags.FlagValues) -> None:
    """Defines the flags that say where events are read: from nodes or from their logs."""
    define_flags(values, required=False)
    flags.DEFINE_list(
        "logs", [], "files with log lines of nodes, in place of asking them", flag_values=values
    )


def history(values: flags.FlagValues, request_id: str = "", since: str = "") -> fleet.History:
    """Returns the events that the nodes keep or that their logs hold."""
    if values.logs:
        return log_lines.history(values.logs, request_id, since)
    if not values.nodes:
        raise errors.UsageError("give --nodes=IP:PORT or --logs=FILE")
    return fleet.history(survey(values), connector(values), request_id=request_id, since=since)


def connector(values: flags.FlagValues) -> fleet.Connect:
    """Returns what makes the client of an operators' address."""
    return functools.partial(client.OperatorClient, timeout_s=values.timeout_s)


def survey(values: flags.FlagValues) -> fleet.Survey:
    """Finds the fleet; raises OperatorPortError if no node can be reached."""
    found = fleet.find(values.nodes, connector(values))
    if not found.reached:
        reasons = "; ".join(missing.reason for missing in found.missing)
        raise errors.OperatorPortError(f"no node can be reached: {reasons}")
    return found
