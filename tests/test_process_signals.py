"""Signals that come close together, to a process whose other threads are busy."""

import signal
import subprocess
import sys
import threading

from tests import source

ROUNDS = 300
IDLE_THREADS = 6
LIMIT_S = 60.0
PROGRAM = """
import signal, sys, threading, time
from bergamotridge import process_signals

def work():
    while True:
        sum(range(2000))
        time.sleep(0.002)

signals = process_signals.ReceivedSignals()
for _ in range(int(sys.argv[1])):
    threading.Thread(target=threading.Event().wait, daemon=True).start()
threading.Thread(target=work, daemon=True).start()
print("ready", flush=True)
while True:
    number = signals.wait()
    if number == signal.SIGTERM:
        print("stop", signals.stop_requested_at is not None, flush=True)
"""


# A stop that came just after a reload was handed to a thread that runs no handlers, and nothing
# woke the one that does: the node served on, and was killed with the calls that it had taken.
def test_a_stop_right_after_reloads_is_taken_each_time():
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, str(IDLE_THREADS)],
        cwd=source.ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    limit = threading.Timer(LIMIT_S, process.kill)
    limit.start()
    with process:
        try:
            assert process.stdout.readline() == "ready\n"
            for round_number in range(ROUNDS):
                for _ in range(round_number % 3 + 1):
                    process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                assert process.stdout.readline() == "stop True\n"
        finally:
            limit.cancel()
            process.kill()
