"""The time of day of a node can be stepped from outside, its monotonic clock can't."""

import subprocess
import sys

from soak.machines import clocked_node

CODE = """
import pathlib, sys, time
from soak.machines import clocked_node
clocked_node.install(pathlib.Path(sys.argv[1]))
for _ in sys.stdin:
    print(time.time_ns(), round(time.time() * 1e9), time.monotonic_ns(), flush=True)
"""
JUMP_NS = 3_600 * 10**9


def test_the_time_of_day_of_a_process_follows_the_file(tmp_path):
    path = tmp_path / "clock"
    clocked_node.step(path, 0)
    command = [sys.executable, "-c", CODE, str(path)]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as child:

        def ask():
            child.stdin.write("\n")
            child.stdin.flush()
            return [int(part) for part in child.stdout.readline().split()]

        before = ask()
        clocked_node.step(path, JUMP_NS)
        ahead = ask()
        clocked_node.step(path, -JUMP_NS)
        behind = ask()
        child.stdin.close()
    assert all(ahead[at] - before[at] >= JUMP_NS for at in (0, 1))
    assert all(behind[at] < before[at] for at in (0, 1))
    assert before[2] <= ahead[2] <= behind[2]
    assert behind[2] - before[2] < JUMP_NS
