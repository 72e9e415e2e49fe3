"""A stop signal ends the wait of a stand-in at whichever moment of the wait it arrives."""

import subprocess
import sys

import pytest

from tests import source

# Receives the signal at the line of that number, from the call of `wait` on, or after the last.
SIGNALLED_WAIT = """
import itertools, os, signal, sys, threading
from standins import serving

lines = itertools.count()
stop_signal = serving.StopSignal()

def trace(frame, event, _):
    if event == "line" and next(lines) == int(sys.argv[1]):
        signal.raise_signal(signal.SIGTERM)
    return trace

late = threading.Timer(0.2, os.kill, (os.getpid(), signal.SIGTERM))
late.start()
sys.settrace(trace)
stop_signal.wait()
sys.settrace(None)
"""
LINES = 14  # As many as a wait for an event has, up to where it gives up its lock.
HANG_S = 30.0


# A process that was told to stop as it began to wait for that hung: the handler and the wait both
# took the lock of one event.
@pytest.mark.parametrize("line", range(LINES))
def test_a_signal_at_any_line_of_the_wait_ends_it(line):
    command = [sys.executable, "-c", SIGNALLED_WAIT, str(line)]
    subprocess.run(command, cwd=source.ROOT, timeout=HANG_S, check=True)


# The interpreter's handler runs in the main thread only, which a signal that came just before it
# blocked, or that another thread got, did not wake.
OTHER_THREAD_SIGNALLED = """
import signal, threading, time
from standins import serving

stop_signal = serving.StopSignal()

def signal_itself():
    time.sleep(0.2)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)

threading.Thread(target=signal_itself).start()
stop_signal.wait()
"""


def test_a_signal_that_does_not_wake_the_waiting_thread_ends_the_wait():
    command = [sys.executable, "-c", OTHER_THREAD_SIGNALLED]
    subprocess.run(command, cwd=source.ROOT, timeout=HANG_S, check=True)
