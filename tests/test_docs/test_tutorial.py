"""The tutorial runs from its first command to its last."""

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

LIMIT_S = 90
ADDRESS = re.compile(r"127\.0\.0\.1:\d+")
COMMAND = re.compile(r"^\$ (.*)$", re.MULTILINE)


class FreePorts:
    """Gives each address of the pages a free port, always the same one."""

    def __init__(self):
        self._free = processes.Ports()
        self._taken = {}

    def put_into(self, text):
        return ADDRESS.sub(lambda match: self._of(match.group()), text)

    def _of(self, address):
        if address not in self._taken:
            self._taken[address] = self._free.take()
        return self._taken[address]


@pytest.fixture
def script(tmp_path):
    ports = FreePorts()
    copy = tmp_path / "examples" / "tutorial"
    shutil.copytree(source.ROOT / "examples" / "tutorial", copy)
    for path in copy.iterdir():
        path.write_text(ports.put_into(path.read_text(encoding="utf-8")), encoding="utf-8")
    page = (source.ROOT / "docs" / "tutorial.md").read_text(encoding="utf-8")
    lines = COMMAND.findall(ports.put_into(page))
    return "\n".join(lines).replace(".venv/bin/python", sys.executable)


def run(script: str, directory: pathlib.Path) -> str:
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
        output, _ = process.communicate(timeout=LIMIT_S)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        output, _ = process.communicate()
        pytest.fail(f"no end after {LIMIT_S} s:\n{output}")
    assert process.returncode == 0, output
    return output


def test_the_tutorial_runs(script, tmp_path):
    output = run(script, tmp_path)
    for told in (
        "good: 2 services, 4 routes, 1 teams",
        "version 1, change ",
        "bergamotridge-verdict: run",
        "was refused for 'rate'",
        "member.joined",
        "bergamotridge_answers_total",
        "told 1 of 1",
    ):
        assert told in output
    assert re.search(r"^desk-1 +domain-1 +desk +ready", output, re.MULTILINE)
    assert re.search(r"^booking-1 +domain-2 +booking +ready", output, re.MULTILINE)
