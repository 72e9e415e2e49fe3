"""The event loop: other threads enter it and wake its tasks, and no wake is lost."""

import asyncio
import subprocess
import sys
import threading

import pytest

from bergamotridge.util import loop
from tests import event_loop

FOREVER_S = 60.0


def test_a_wake_before_the_wait_ends_it_at_once():
    async def work():
        wake = loop.Wake()
        wake()
        wake()
        await wake.wait(FOREVER_S)
        return "woken"

    assert event_loop.run(work()) == "woken"


def test_a_wake_from_another_thread_ends_the_wait():
    async def work():
        wake = loop.Wake()
        threading.Thread(target=wake).start()
        await wake.wait(FOREVER_S)
        return "woken"

    assert event_loop.run(work()) == "woken"


def test_a_wait_without_a_wake_ends_by_itself():
    async def work():
        await loop.Wake().wait(0.0)
        return "ended"

    assert event_loop.run(work()) == "ended"


def test_what_fails_on_the_loop_fails_where_it_was_asked_for():
    def fail():
        raise LookupError("no such thing")

    with pytest.raises(LookupError, match="no such thing"):
        event_loop.call(fail)


def test_a_stopped_loop_has_ended_its_thread():
    made = loop.Loop("short-lived")
    assert made.run(asyncio.sleep(0, "done")) == "done"
    made.stop()
    assert "short-lived" not in {thread.name for thread in threading.enumerate()}


def test_a_process_that_ends_stops_its_loops_first():
    program = (
        "import atexit, threading\n"
        "from bergamotridge.util import loop\n"
        "names = lambda: {thread.name for thread in threading.enumerate()}\n"
        "atexit.register(lambda: print('running' if 'left' in names() else 'stopped'))\n"
        "loop.Loop('left')\n"
    )
    ended = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True)
    assert ended.stdout.decode().strip() == "stopped"
