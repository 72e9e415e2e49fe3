"""The commands of the tutorial succeed in order and print the expected output."""

import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys

import pytest

from standins import processes
from tests import source

TUTORIAL_TIMEOUT_S = 90
ADDRESS_PATTERN = re.compile(r"127\.0\.0\.1:\d+")
COMMAND_PATTERN = re.compile(r"^\$ (.*)$", re.MULTILINE)


class PortReplacer:
    """Replaces each address in a text by one with a free port, always the same for an address."""

    def __init__(self):
        self._free_ports = processes.Ports()
        self._replacements = {}

    def replace_addresses(self, text):
        return ADDRESS_PATTERN.sub(lambda match: self._replacement_for(match.group()), text)

    def _replacement_for(self, address):
        if address not in self._replacements:
            self._replacements[address] = self._free_ports.allocate()
        return self._replacements[address]


@pytest.fixture
def script(tmp_path):
    port_replacer = PortReplacer()
    tutorial_copy = tmp_path / "examples" / "tutorial"
    shutil.copytree(source.ROOT / "examples" / "tutorial", tutorial_copy)
    for path in tutorial_copy.iterdir():
        path.write_text(
            port_replacer.replace_addresses(path.read_text(encoding="utf-8")), encoding="utf-8"
        )
    page = (source.ROOT / "docs" / "tutorial.md").read_text(encoding="utf-8")
    lines = COMMAND_PATTERN.findall(port_replacer.replace_addresses(page))
    return "\n".join(lines).replace(".venv/bin/python", sys.executable)


def run_script(script: str, directory: pathlib.Path) -> str:
    process = subprocess.Popen(
        ["bash", "-euc", script],
        cwd=directory,
        env={**os.environ, "PYTHONPATH": str(source.ROOT)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=TUTORIAL_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        output, _ = process.communicate()
        pytest.fail(f"the tutorial did not end within {TUTORIAL_TIMEOUT_S} s:\n{output}")
    assert process.returncode == 0, output
    return output


def test_the_tutorial_runs(script, tmp_path):
    output = run_script(script, tmp_path)
    for expected in (
        "good: 2 services, 4 routes, 1 teams",
        "version 1, change ",
        "bergamotridge-verdict: run",
        "was refused for 'rate'",
        "member.joined",
        "bergamotridge_answers_total",
        "told 2 nodes in 2 failure domains; stored by the platform: yes",
    ):
        assert expected in output
    assert re.search(r"^desk-1 +domain-1 +desk +ready", output, re.MULTILINE)
    assert re.search(r"^booking-1 +domain-2 +booking +ready", output, re.MULTILINE)
