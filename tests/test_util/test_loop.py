"""The event loop: other threads run and wake its tasks, and no wake-up is lost."""

import asyncio
import subprocess
import sys
import threading

import pytest

from bergamotridge.util import loop
from tests import event_loop

LONG_TIMEOUT_S = 60.0


def test_a_wake_up_before_the_wait_ends_the_wait_at_once():
    async def wait_for_wake_up():
        wake = loop.WakeUpEvent()
        wake()
        wake()
        await wake.wait(LONG_TIMEOUT_S)
        return "woken"

    assert event_loop.run(wait_for_wake_up()) == "woken"


def test_a_wake_up_from_another_thread_ends_the_wait():
    async def wait_for_wake_up():
        wake = loop.WakeUpEvent()
        threading.Thread(target=wake).start()
        await wake.wait(LONG_TIMEOUT_S)
        return "woken"

    assert event_loop.run(wait_for_wake_up()) == "woken"


def test_a_wait_without_a_wake_up_ends_at_its_timeout():
    async def wait_for_wake_up():
        await loop.WakeUpEvent().wait(0.0)
        return "ended"

    assert event_loop.run(wait_for_wake_up()) == "ended"


def test_an_exception_on_the_loop_is_raised_in_the_calling_thread():
    def fail():
        raise LookupError("no such thing")

    with pytest.raises(LookupError, match="no such thing"):
        event_loop.call(fail)


def test_stopping_a_loop_ends_its_thread():
    short_lived_loop = loop.Loop("short-lived")
    assert short_lived_loop.run(asyncio.sleep(0, "done")) == "done"
    short_lived_loop.stop()
    assert "short-lived" not in {thread.name for thread in threading.enumerate()}


def test_loops_are_stopped_before_the_process_exits():
    program = (
        "import atexit, threading\n"
        "from bergamotridge.util import loop\n"
        "names = lambda: {thread.name for thread in threading.enumerate()}\n"
        "atexit.register(lambda: print('running' if 'left' in names() else 'stopped'))\n"
        "loop.Loop('left')\n"
    )
    completed = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True)
    assert completed.stdout.decode().strip() == "stopped"
