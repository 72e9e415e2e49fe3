"""Commands on the pages are accepted as they stand, and links lead to pages."""

import re
import shlex

import pytest

from bergamotridge.commands import registry
from tests import source

PAGES = sorted([source.ROOT / "README.md", *(source.ROOT / "docs").glob("*.md")])
CODE_LINE = re.compile(r"^(?: {4}|\$ )(.*\bbergamotridge .*)$", re.MULTILINE)
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def commands(page):
    """Returns the words of each command of ours in the page's code lines."""
    found = []
    for line in CODE_LINE.findall(page.read_text(encoding="utf-8")):
        words = shlex.split(line, comments=True)
        while "bergamotridge" in words:
            words = words[words.index("bergamotridge") + 1 :]
            end = next((at for at, word in enumerate(words) if word in "|>;&"), len(words))
            found.append(words[:end])
    return [words for words in found if words and not words[0].startswith("$")]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_are_accepted(page):
    for words in commands(page):
        registry.check(words)


def test_commands_are_found_on_the_pages():
    assert len([words for page in PAGES for words in commands(page)]) > 15


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_pages(page):
    for target in LINK.findall(page.read_text(encoding="utf-8")):
        assert (page.parent / target).exists(), target
