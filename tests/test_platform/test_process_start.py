"""Signals and faults around the start of the program, with its real command and settings."""

import errno
import os
import pathlib
import signal
import socket
import subprocess
import sys
import sysconfig
import time
import tomllib

import pytest

from standins import processes
from tests import source

SERVING_LINE = "started"
INTERNAL_PORTS = 2
# Moments after a process began to keep signals, up to some time after it serves, in seconds.
SIGNAL_TIMES_S = tuple(0.1 * step for step in range(10))
# Starts the program and sends it a signal at each import of one of its modules but the first.
SIGNALLED_START = """
import os, runpy, sys

number, script = int(sys.argv[1]), sys.argv[2]
FIRST = ("bergamotridge", "bergamotridge.process_signals")

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in ("bergamotridge", "hosting") and name not in FIRST:
            os.kill(os.getpid(), number)

sys.meta_path.insert(0, Finder())
sys.path.insert(0, os.path.dirname(script))
runpy.run_path(script, run_name="__main__")
"""
BOUNDS = (
    "drain=200ms,config_apply=2000ms,retry_budget_ratio=0.2,retry_budget_slack=48,"
    "budget_window=10s,quota_window=5s,quota_overshoot=0.1,quota_slack=20"
)


def reserve_ports(count):
    """Returns free ports that no outgoing connection gets; one more follows the first of them."""
    free = processes.Ports()
    first, following = _allocate_port(free), _allocate_port(free)
    while following != first + 1:
        first, following = following, _allocate_port(free)
    return [first, *(_allocate_port(free) for _ in range(count - 1))]


def _allocate_port(free):
    return int(free.allocate().rpartition(":")[2])


class Program:
    """A node that runs on the settings of a machine, as the deploy file starts it."""

    def __init__(self, folder, grace="1s"):
        self.ports = reserve_ports(7)
        self._folder = folder
        self._settings = folder / "node.conf"
        self._logs = []
        internal, callers, relay, ready, control, upstream, store = self.ports
        self._settings.write_text(
            "node_id=sidecar-1\nzone=a\nregion=r\nip=127.0.0.1\nservice=slots\nheartbeat=1500ms\n"
            f"internal_ports={internal},{internal + INTERNAL_PORTS}\n"
            f"listen.outbound=127.0.0.1:{callers}\nlisten.inbound=127.0.0.1:{relay}\n"
            f"listen.ready=127.0.0.1:{ready}\nlisten.control=127.0.0.1:{control}\n"
            f"app_addr=127.0.0.1:{upstream}\nplatform.address=127.0.0.1:{store}\n"
            f"bounds=grace={grace},{BOUNDS}\n",
            encoding="utf-8",
        )

    def start(self, signal_at_imports=None):
        deploy = tomllib.loads((source.ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        _, *arguments = deploy["roles"]["node"]["run"].split()
        if signal_at_imports is not None:
            number = str(int(signal_at_imports))
            arguments = [*arguments[:-1], "-c", SIGNALLED_START, number, arguments[-1]]
        self._logs.append(self._folder / f"node-{len(self._logs)}.log")
        with self._logs[-1].open("wb") as log:
            return subprocess.Popen(
                [sys.executable, *arguments],
                cwd=source.ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": sysconfig.get_path("purelib"),
                    "BERGAMOTRIDGE_CONFIG": str(self._settings),
                },
            )

    def write_settings(self, content):
        self._settings.write_bytes(content)

    def hang_settings(self):
        """Replaces the settings by a pipe; returns a function that waits until a process reads it.

        That function returns a descriptor; as long as it is open, the process waits for content.
        """
        self._settings.unlink()
        os.mkfifo(self._settings)

        def wait_for_reader():
            opened = []

            def is_read():
                try:
                    opened.append(os.open(self._settings, os.O_WRONLY | os.O_NONBLOCK))
                except OSError as error:
                    assert error.errno == errno.ENXIO, error
                return opened

            processes.wait_until(is_read, "the process reads its settings")
            return opened[0]

        return wait_for_reader

    def log(self, start=-1):
        """Returns what the process of a start has logged, by default of the last one."""
        return self._logs[start].read_text(encoding="utf-8")

    def wait_for_line(self, text, process, start=-1):
        def is_logged():
            assert process.poll() is None, f"the process ended with {process.returncode}"
            return text in self.log(start)

        processes.wait_until(is_logged, f"the node logs '{text}'")

    def wait_for_handlers(self, process):
        """Waits until the process keeps SIGHUP, which the interpreter does not at its own start."""
        bit = 1 << (signal.SIGHUP - 1)

        def keeps_signal():
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
            blocked = next(line for line in status.splitlines() if line.startswith("SigBlk"))
            return int(blocked.split()[1], 16) & bit

        processes.wait_until(keeps_signal, "the process keeps SIGHUP")


@pytest.fixture
def program(tmp_path):
    return Program(tmp_path)


def end(process):
    """Asks a process to stop and returns its exit code."""
    process.terminate()
    try:
        return process.wait(60)
    finally:
        process.kill()
        process.wait()


# A socket of some client had the port between two starts, and the node waited for it in vain.
def test_no_port_of_a_node_is_one_that_the_kernel_gives_to_clients():
    limits = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii")
    lowest, highest = map(int, limits.split())
    first, *others = reserve_ports(7)
    taken = [port for port in (first, first + 1, *others) if lowest <= port <= highest]
    assert taken == []


# A settings reload within the first third of a second of a node ended its process.
def test_no_reload_during_the_imports_of_the_program_ends_it(program):
    process = program.start(signal_at_imports=signal.SIGHUP)
    program.wait_for_line(SERVING_LINE, process)
    assert end(process) == 0


# A stop during the imports ended the process by the signal, without a line.
def test_a_stop_during_the_imports_of_the_program_ends_it_in_order_before_it_serves(program):
    process = program.start(signal_at_imports=signal.SIGTERM)
    assert process.wait(60) == 0
    assert "stopped" in program.log() and SERVING_LINE not in program.log()


def test_no_reload_at_any_moment_of_the_start_ends_the_process(program):
    for delay_s in SIGNAL_TIMES_S:
        process = program.start()
        program.wait_for_handlers(process)
        time.sleep(delay_s)
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        program.wait_for_line(SERVING_LINE, process)
        assert process.poll() is None, delay_s
        process.kill()
        process.wait()


@pytest.mark.parametrize("delay_s", SIGNAL_TIMES_S[::3])
def test_a_stop_at_any_moment_of_the_start_ends_the_process_in_order(program, delay_s):
    process = program.start()
    program.wait_for_handlers(process)
    time.sleep(delay_s)
    assert end(process) == 0
    assert "stopped" in program.log()


# The start failed halfway, and the process stayed without answering signals.
@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_in_use_ends_the_process_with_an_error_that_names_the_address(program, kind):
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind(("127.0.0.1", program.ports[0]))
        if kind == socket.SOCK_STREAM:
            taken.listen()
        process = program.start()
        try:
            assert process.wait(60) == 1
        finally:
            process.kill()
            process.wait()
    assert f"127.0.0.1:{program.ports[0]}" in program.log()
    assert "Traceback" not in program.log()


# The process no longer answered signals after it had read settings that are not UTF-8.
def test_settings_that_cannot_be_read_are_logged_and_the_node_goes_on(program):
    process = program.start()
    program.wait_for_line(SERVING_LINE, process)
    program.write_settings(b"node_id=\xff\xfe\n")
    process.send_signal(signal.SIGHUP)
    program.wait_for_line("settings not reloaded", process)
    assert end(process) == 0


# A node whose reload waited for its settings file took no stop until it was killed.
def test_a_stop_is_taken_while_a_reload_waits_for_the_settings_file(program):
    process = program.start()
    program.wait_for_line(SERVING_LINE, process)
    wait_for_reader = program.hang_settings()
    process.send_signal(signal.SIGHUP)
    descriptor = wait_for_reader()
    try:
        assert end(process) == 0
    finally:
        os.close(descriptor)
    assert "node.stopping" in program.log()
