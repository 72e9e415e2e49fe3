"""The commands: their names and help, and the parsing of their flags."""

import importlib
from collections.abc import Sequence
from typing import Protocol

import attrs
from absl import flags

from bergamotridge import errors
from bergamotridge.util import suggestion

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_KNOWN_TO_ONE_PROCESS = 3
HELP_WORDS = ("--help", "-help", "-h")


class Runner(Protocol):
    """Interface of the module of a command."""

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the flags of the command."""

    def run(self, values: flags.FlagValues, arguments: list[str]) -> int:
        """Runs the command and returns the exit code."""


@attrs.frozen
class Command:
    """One command of the command line.

    Its module defines `define_flags(values)` and `run(values, arguments) -> int`, and is imported
    only when the command is used.

    Attributes:
        name: One or two words.
        module: Name of its module in this package.
        summary: What it does, in one line.
        arguments: Names of its positional arguments.
    """

    name: str
    module: str
    summary: str
    arguments: tuple[str, ...] = ()

    @property
    def usage(self) -> str:
        """Usage line of the command."""
        return " ".join(("bergamotridge", self.name, "[flags]", *self.arguments))

    def load(self) -> Runner:
        """Imports the module."""
        return importlib.import_module(f"bergamotridge.commands.{self.module}")


COMMANDS = (
    Command("node", "node", "Run the node of this host until SIGTERM."),
    Command("check", "check", "Check an operator's text or the settings of a node."),
    Command("apply", "apply", "Put an operator's text into force."),
    Command("show", "show", "Print the operator's text in force."),
    Command("keys grant", "keys_grant", "Create a key for a team."),
    Command("keys withdraw", "keys_withdraw", "Permanently withdraw a key."),
    Command("status", "status", "Show all nodes of the fleet, one line for each."),
    Command("timeline", "timeline", "Show the events of all nodes in causal order."),
    Command(
        "explain",
        "explain",
        "Explain why one request was refused, retried or shed.",
        ("REQUEST_ID",),
    ),
    Command(
        "preview",
        "preview",
        "Show where a node would send a request now, and why, without sending it.",
        ("METHOD", "PATH"),
    ),
    Command(
        "replay",
        "replay",
        "Replay a recorded trace in a simulation of one node.",
        ("TRACE",),
    ),
    Command("reference", "reference", "Print settings, metrics, events and reasons as Markdown."),
)


def _find_command(words: Sequence[str]) -> tuple[Command, list[str]]:
    for command in COMMANDS:
        word_count = len(command.name.split())
        if " ".join(words[:word_count]) == command.name:
            return command, list(words[word_count:])
    names = [command.name for command in COMMANDS]
    accepted = ", ".join(names)
    hint = suggestion.hint(" ".join(words[:2]), names) or suggestion.hint(words[0], names)
    raise errors.UsageError(f"unknown command '{words[0]}'; accepted: {accepted}{hint}")


def overview() -> str:
    """Returns the list of commands with their one-line help."""
    width = max(len(command.name) for command in COMMANDS)
    lines = ["usage: bergamotridge COMMAND [flags]", "", "commands:"]
    lines += [f"  {command.name:<{width}}  {command.summary}" for command in COMMANDS]
    lines += ["", "Each command explains its flags: bergamotridge COMMAND --help"]
    return "\n".join(lines)


def help_text(command: Command) -> str:
    """Returns the usage line, summary and flags of one command."""
    values = flags.FlagValues()
    command.load().define_flags(values)
    lines = [f"usage: {command.usage}", "", command.summary]
    lines += ["", "flags:"] if len(values) else []
    for name in sorted(values):
        flag = values[name]
        default = "" if flag.default in (None, "", []) else f" (default: {flag.default_as_str})"
        lines.append(f"  --{name}: {flag.help}{default}")
    return "\n".join(lines)


def _parse(command: Command, words: Sequence[str]) -> tuple[flags.FlagValues, list[str]]:
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    command.load().define_flags(values)
    see_help = f"see: bergamotridge {command.name} --help"
    try:
        arguments = values([command.name, *words])[1:]
    except flags.Error as error:
        message = " ".join(str(error).split())
        raise errors.UsageError(f"{command.name}: {message}; {see_help}") from error
    if len(arguments) != len(command.arguments):
        expected = " ".join(command.arguments) or "no words besides flags"
        raise errors.UsageError(
            f"{command.name}: got {len(arguments)} words besides flags, expected: {expected}; "
            f"{see_help}"
        )
    return values, arguments


def check(words: Sequence[str]) -> None:
    """Raises UsageError unless `words` are a command with valid flags and arguments."""
    command, rest = _find_command(words)
    _parse(command, rest)


def run(words: Sequence[str]) -> int:
    """Runs the command that `words` name and returns its exit code.

    Raises:
        UsageError: The words name no command, or its flags or arguments are not valid.
        BergamotridgeError: The command was refused or failed.
    """
    if not words:
        raise errors.UsageError(f"a command is missing\n{overview()}")
    if words[0] in (*HELP_WORDS, "help"):
        print(overview())
        return EXIT_OK
    command, rest = _find_command(words)
    if any(word in HELP_WORDS for word in rest):
        print(help_text(command))
        return EXIT_OK
    values, arguments = _parse(command, rest)
    return command.load().run(values, arguments)
