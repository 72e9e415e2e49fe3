"""Entry point of the command line: `bergamotridge COMMAND ...`."""

import sys

from bergamotridge import errors
from bergamotridge.commands import registry


def run(arguments: list[str] | None = None) -> int:
    """Runs the command named on the command line.

    Args:
        arguments: Command-line arguments after the program's name; `sys.argv[1:]` if None.

    Returns:
        Exit code of the process: 0 on success, 1 if the command was refused or failed, 2 if the
        command line is invalid.
    """
    command_line = sys.argv[1:] if arguments is None else arguments
    try:
        return registry.run(command_line)
    except errors.BergamotridgeError as error:
        print(f"bergamotridge: {error}", file=sys.stderr)
        is_usage_error = error.category is errors.Category.USAGE
        return registry.EXIT_USAGE if is_usage_error else registry.EXIT_FAILED
    except KeyboardInterrupt:
        print("bergamotridge: interrupted", file=sys.stderr)
        return registry.EXIT_FAILED


if __name__ == "__main__":
    sys.exit(run())
