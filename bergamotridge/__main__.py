"""Entry point of the command line: `bergamotridge COMMAND ...`."""

import sys

from bergamotridge import errors
from bergamotridge.commands import registry


def run(arguments: list[str] | None = None) -> int:
    """Runs the command that the command line names.

    Args:
        arguments: Words after the program's name; those of this process if None.

    Returns:
        0 if all went well, 1 if the command was refused or failed, 2 if the command line is wrong.
    """
    words = sys.argv[1:] if arguments is None else arguments
    try:
        return registry.run(words)
    except errors.BergamotridgeError as error:
        print(f"bergamotridge: {error}", file=sys.stderr)
        wrong_usage = error.category is errors.Category.USAGE
        return registry.EXIT_USAGE if wrong_usage else registry.EXIT_FAILED
    except KeyboardInterrupt:
        print("bergamotridge: interrupted", file=sys.stderr)
        return registry.EXIT_FAILED


if __name__ == "__main__":
    sys.exit(run())
