"""A machine of the soak ends processes after their grace time, as the platform does."""

import asyncio
import subprocess

import attrs
import pytest

from soak.machines import machine, record


@attrs.define
class EndedProcess:
    """A process that has ended, of which the one that waits has not been told yet."""

    pid: int = 7
    returncode: int = 0

    async def wait(self):
        await asyncio.Event().wait()


@pytest.fixture
def rows():
    return record.Record()


def end(rows, popen, tmp_path):
    item = machine.Machine(rows, 1, "127.0.0", tmp_path, "127.0.0.200:1")
    return item.end(machine.Process(popen, 0.0, stopping=True))


# A process that had ended in time was taken for one to kill when the loop was late to tell.
def test_a_process_that_has_ended_in_its_grace_time_is_not_killed(rows, tmp_path, monkeypatch):
    monkeypatch.setattr(machine, "GRACE_S", 0.0)
    asyncio.run(end(rows, EndedProcess(), tmp_path))
    assert rows.happenings == []


def test_a_process_that_is_there_after_its_grace_time_is_killed(rows, tmp_path, monkeypatch):
    monkeypatch.setattr(machine, "GRACE_S", 0.0)

    async def run():
        popen = await asyncio.create_subprocess_exec("sleep", "60", stdin=subprocess.DEVNULL)
        await end(rows, popen, tmp_path)
        return popen.returncode

    assert asyncio.run(run()) == -9
    assert [item.what for item in rows.happenings] == ["grace is over", "SIGKILL"]
