"""Runs the test suite without the tests listed in KNOWN-RED.txt, and prints which those are."""

import pathlib
import sys

import pytest

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def known_red_tests() -> list[str]:
    """Returns the pytest node ids in KNOWN-RED.txt, from the lines that begin with ``test:``."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.startswith(TEST_PREFIX)]
    return [entry.removeprefix(TEST_PREFIX).strip() for entry in entries]


def main() -> int:
    """Runs pytest with the arguments of this process; returns its exit code."""
    deselected = known_red_tests()
    for node_id in deselected:
        print(f"deselected, listed in KNOWN-RED.txt: {node_id}")
    arguments = [f"--deselect={node_id}" for node_id in deselected]
    return pytest.main([*arguments, *sys.argv[1:]])


if __name__ == "__main__":
    sys.exit(main())
