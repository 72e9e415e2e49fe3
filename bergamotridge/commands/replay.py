"""`bergamotridge replay TRACE`: replays a recorded trace in a simulation of one node."""

from absl import flags

from bergamotridge.operators import replay, trace
from bergamotridge.util import text_files


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    flags.DEFINE_integer("seed", 0, "seed of the random number generator", flag_values=values)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Prints the numbers of shed, finished and failed calls, by importance and team."""
    path = arguments[0]
    events = trace.parse(text_files.read_file(path).splitlines(), path)
    print(replay.format_table(replay.Replay(values.seed).run(events)), end="")
    return 0
