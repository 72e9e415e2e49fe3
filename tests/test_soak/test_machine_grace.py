"""The soak of machines tells a process that outlives `grace` from one whose end is seen late."""

import asyncio
import signal
import sys
import time

import pytest

from soak.machines import machine, record

GRACE_S = 0.5
IGNORES = (
    "import signal, time; signal.signal(15, signal.SIG_IGN); print(flush=True); time.sleep(60)"
)
ENDS = "import time; print(flush=True); time.sleep(60)"


async def stop(folder, program, *, blocked):
    """Stops a process, while the event loop is blocked until after `grace` if `blocked`."""
    rows = record.Record()
    item = machine.Machine(rows, 1, "127.0.0", folder, "127.0.0.200:1")
    popen = await asyncio.create_subprocess_exec(
        sys.executable, "-c", program, stdout=asyncio.subprocess.PIPE
    )
    process = item.adopt(popen)
    item.replaces = True
    await popen.stdout.readline()
    item.send(process, signal.SIGTERM)
    until = rows.now() + GRACE_S
    while blocked and (process.gone_at is None or rows.now() <= until):
        time.sleep(0.01)
    await item.end(process)
    return [happening.what for happening in rows.happenings]


@pytest.mark.parametrize(
    ("program", "blocked", "is_over"),
    [(ENDS, False, False), (ENDS, True, False), (IGNORES, False, True)],
)
def test_only_a_process_that_outlives_grace_is_killed(
    tmp_path, monkeypatch, program, blocked, is_over
):
    monkeypatch.setattr(machine, "GRACE_S", GRACE_S)
    seen = asyncio.run(stop(tmp_path, program, blocked=blocked))
    assert ("grace is over" in seen, "SIGKILL" in seen) == (is_over, is_over)
