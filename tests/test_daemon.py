"""Log lines that a node writes when it reads its settings file again."""

import subprocess
import sys

import attrs
import logbook

from bergamotridge import daemon, errors, settings
from tests import source

# A program with a thread that waits for an answer that never comes.
WAITING_PROGRAM = """
import threading
from concurrent import futures
from bergamotridge import daemon

futures.ThreadPoolExecutor(1).submit(threading.Event().wait)
daemon.end_process(7)
"""
# A program that has printed something to an output that is full.
FULL_OUTPUT_PROGRAM = """
import os
import sys
from bergamotridge import daemon

sys.stdout = os.fdopen(os.dup(1), "w")
print("kept in the buffer of the stream", end="")
os.set_blocking(1, False)
try:
    while os.write(1, bytes(4096)):
        pass
except BlockingIOError:
    os.set_blocking(1, True)
daemon.end_process(7)
"""
# A node that fails while one of its threads waits for an answer that never comes.
FAILING_PROGRAM = """
import threading
from concurrent import futures
from bergamotridge import application, daemon, ports, process_signals, settings

def fail(*_):
    futures.ThreadPoolExecutor(1).submit(threading.Event().wait)
    raise OSError("no such socket")

application.Application = fail
ports.bind = lambda addresses: object()
node = settings.NodeSettings(host="h1", failure_domain="a", fleet_secret="s")
daemon.end_process(daemon.run(node, process_signals.ReceivedSignals()))
"""
NODE = settings.NodeSettings(host="h1", failure_domain="a", fleet_secret="s")


def logged_lines(read):
    with logbook.TestHandler() as handler:
        daemon.log_changed_settings(NODE, read)
    return handler.formatted_records


def test_changed_settings_are_logged_with_dotted_keys():
    limits = attrs.evolve(NODE.limits, queue=3)
    changed = attrs.evolve(NODE, host="h2", limits=limits)
    assert daemon.changed_keys(NODE, changed) == ["host", "limits.queue"]
    (line,) = logged_lines(lambda: changed)
    assert "limits.queue" in line


def test_an_invalid_file_is_logged_and_not_applied():
    def read():
        raise errors.SettingsError("key 'host' is missing")

    (line,) = logged_lines(read)
    assert "not reloaded" in line and "host" in line


def test_an_unchanged_file_is_logged():
    (line,) = logged_lines(lambda: NODE)
    assert "nothing changed" in line


# A node at the end of its stop waited for other nodes or the platform until it was killed.
def test_a_process_ends_though_a_thread_waits_for_an_answer():
    ended = subprocess.run([sys.executable, "-c", WAITING_PROGRAM], cwd=source.ROOT, timeout=60)
    assert ended.returncode == 7


# A process whose output nobody reads waited at its end until it was killed.
def test_a_process_ends_though_nobody_reads_its_output():
    command = [sys.executable, "-c", FULL_OUTPUT_PROGRAM]
    with subprocess.Popen(command, cwd=source.ROOT, stdout=subprocess.PIPE) as process:
        try:
            assert process.wait(timeout=60) == 7
        finally:
            process.kill()


# A node whose stop failed served on, and took no further signal, until it was killed.
def test_a_process_ends_after_an_error_that_nobody_expects():
    command = [sys.executable, "-c", FAILING_PROGRAM]
    ended = subprocess.run(command, cwd=source.ROOT, timeout=60, capture_output=True)
    assert ended.returncode == daemon.EXIT_FAULT
    assert b"no such socket" in ended.stdout
