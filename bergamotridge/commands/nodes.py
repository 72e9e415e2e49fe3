"""Flags and functions shared by the commands that read from nodes or their logs."""

import functools

from absl import flags

from bergamotridge import errors
from bergamotridge.operators import client, fleet, log_lines

DEFAULT_TIMEOUT_S = 3.0


def define_flags(values: flags.FlagValues, *, required: bool = True) -> None:
    """Defines the flags that select the nodes to contact."""
    flags.DEFINE_list(
        "nodes",
        None if required else [],
        "operators' addresses (IP:PORT, separated by commas) of one or more nodes; the rest of "
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
    """Defines the flags that select the source of events: nodes or their log files."""
    define_flags(values, required=False)
    flags.DEFINE_list(
        "logs", [], "log files of nodes, to read in place of the nodes", flag_values=values
    )


def read_history(values: flags.FlagValues, request_id: str = "", since: str = "") -> fleet.History:
    """Reads events from the log files if they are given, else from the nodes.

    Args:
        values: Flags of `define_source_flags`.
        request_id: Returns only events of this request, if not "".
        since: Returns only events since this stamp or wall time in milliseconds, if not "".
    """
    if values.logs:
        return log_lines.read_history(values.logs, request_id, since)
    if not values.nodes:
        raise errors.UsageError("give --nodes=IP:PORT or --logs=FILE")
    return fleet.read_history(
        survey_fleet(values), build_client_factory(values), request_id=request_id, since=since
    )


def build_client_factory(values: flags.FlagValues) -> fleet.ClientFactory:
    """Returns a function that takes an operators' address and returns a client for it."""
    return functools.partial(client.OperatorClient, timeout_s=values.timeout_s)


def survey_fleet(values: flags.FlagValues) -> fleet.Survey:
    """Finds the fleet; raises OperatorPortError if no node can be reached."""
    found = fleet.find_nodes(values.nodes, build_client_factory(values))
    if not found.reached:
        reasons = "; ".join(missing.reason for missing in found.missing)
        raise errors.OperatorPortError(f"no node can be reached; check --nodes: {reasons}")
    return found
