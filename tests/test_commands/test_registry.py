"""The command line: exit codes and help, and errors printed as one line, not as a stack trace."""

import pytest

from bergamotridge import __main__
from bergamotridge.commands import registry

VALID_TEXT = "[services.booking]\n"


@pytest.fixture
def text_file(tmp_path):
    path = tmp_path / "fleet.toml"
    path.write_text(VALID_TEXT, encoding="utf-8")
    return path


@pytest.mark.parametrize(
    ("words", "message"),
    [
        ([], "a command is missing"),
        (["chekc"], "did you mean 'check'?"),
        (["check"], "give --file, --settings or both"),
        (["check", "--fiel=x"], "Did you mean: file"),
        (["check", "--file=x", "y"], "got 1 words besides flags"),
        (["node"], "--settings must have a value"),
    ],
)
def test_wrong_usage_exits_with_status_2(words, message, capsys):
    assert __main__.run(words) == registry.EXIT_USAGE
    printed = capsys.readouterr()
    assert message in printed.err
    assert printed.out == ""


def test_check_accepts_a_valid_text_and_refuses_others(text_file, capsys):
    assert __main__.run(["check", "--file", str(text_file)]) == registry.EXIT_OK
    text_file.write_text("[service]\n", encoding="utf-8")
    assert __main__.run(["check", "--file", str(text_file)]) == registry.EXIT_FAILED
    assert __main__.run(["check", "--file", "none.toml"]) == registry.EXIT_FAILED
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2
    assert "unknown key 'service'" in lines[0]
    assert "none.toml: cannot be read" in lines[1]


@pytest.mark.parametrize("command", registry.COMMANDS, ids=lambda command: command.name)
def test_help_of_each_command(command, capsys, snapshot):
    assert __main__.run([*command.name.split(), "--help"]) == registry.EXIT_OK
    assert capsys.readouterr().out == snapshot
