"""Starts the processes of a fleet on this machine and ends them by their process id."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence

FIRST_PORT = 20_000
LAST_PORT = 32_000
STOP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.02


class NotReadyError(Exception):
    """A condition was still false when its time limit passed."""


def wait_until(condition: Callable[[], object], description: str, timeout_s: float = 60.0) -> None:
    """Polls until `condition()` is true; raises NotReadyError after `timeout_s` seconds."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise NotReadyError(f"condition still false after {timeout_s:g} s: {description}")
        time.sleep(POLL_INTERVAL_S)


class Ports:
    """Allocates free loopback ports, below those that the kernel uses for outgoing connections."""

    def __init__(self) -> None:
        self._next_port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)

    def allocate(self) -> str:
        """Returns a loopback address whose port no process listens on."""
        while True:
            self._next_port = self._next_port + 1 if self._next_port < LAST_PORT else FIRST_PORT
            try:
                with socket.create_server(("127.0.0.1", self._next_port)):
                    return f"127.0.0.1:{self._next_port}"
            except OSError:
                continue


class Process:
    """A child process whose output goes to a log file in the directory of the fleet."""

    def __init__(self, name: str, arguments: Sequence[str], directory: pathlib.Path) -> None:
        self.name = name
        self.output = directory / f"{name}.log"
        self._command = [sys.executable, "-m", *arguments]
        self._popen: subprocess.Popen | None = None
        self._stop_requested = False
        self.start()

    @property
    def running(self) -> bool:
        """True until the process has ended."""
        return self._popen.poll() is None

    @property
    def stop_requested(self) -> bool:
        """True from a call of `terminate` until the process is started again."""
        return self._stop_requested

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, None while the process runs; negative if a signal ended it."""
        return self._popen.poll()

    def start(self) -> None:
        """Starts the process, or starts it again after it has ended."""
        self._stop_requested = False
        with self.output.open("ab") as output:
            self._popen = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def kill(self) -> None:
        """Sends SIGKILL if the process runs and waits for its exit."""
        if self.running:
            self._popen.kill()
        self._popen.wait()

    def pause(self) -> None:
        """Suspends the process with SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the process with SIGCONT."""
        self._popen.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Sends SIGHUP."""
        self._popen.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Requests a graceful stop with SIGTERM; does not wait for the exit."""
        self._stop_requested = True
        if self.running:
            self._popen.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the exit and returns the exit code; raises subprocess.TimeoutExpired."""
        return self._popen.wait(timeout_s)
