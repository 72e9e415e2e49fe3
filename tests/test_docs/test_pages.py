"""The command line accepts each command on the pages, and links lead to existing files."""

import re
import shlex

import pytest

from bergamotridge.commands import registry
from tests import source

PAGES = sorted([source.ROOT / "README.md", *(source.ROOT / "docs").glob("*.md")])
COMMAND_LINE_PATTERN = re.compile(r"^(?: {4}|\$ )(.*\bbergamotridge .*)$", re.MULTILINE)
LINK_PATTERN = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def find_commands(page):
    """Returns the words after `bergamotridge` of each such command in the page's code lines."""
    commands = []
    for line in COMMAND_LINE_PATTERN.findall(page.read_text(encoding="utf-8")):
        words = shlex.split(line, comments=True)
        while "bergamotridge" in words:
            words = words[words.index("bergamotridge") + 1 :]
            command_end = next(
                (position for position, word in enumerate(words) if word in "|>;&"), len(words)
            )
            commands.append(words[:command_end])
    return [words for words in commands if words and not words[0].startswith("$")]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_are_accepted(page):
    for words in find_commands(page):
        registry.check(words)


def test_commands_are_found_on_the_pages():
    assert len([words for page in PAGES for words in find_commands(page)]) > 15


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_existing_files(page):
    for target in LINK_PATTERN.findall(page.read_text(encoding="utf-8")):
        assert (page.parent / target).exists(), target
