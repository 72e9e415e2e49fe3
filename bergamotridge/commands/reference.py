"""`bergamotridge reference`: prints the page docs/reference.md."""

from absl import flags

from bergamotridge.operators import reference


def define_flags(values: flags.FlagValues) -> None:
    """Defines no flags."""
    del values


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Prints the page."""
    del values, arguments
    for line in reference.format_lines():
        print(line)
    return 0
