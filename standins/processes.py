"""Processes of a fleet on this machine: started by a launcher, ended by their process id."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence

LOW_PORT = 20_000
HIGH_PORT = 32_000
STOP_S = 40.0
POLL_S = 0.02


class NotReadyError(Exception):
    """A condition did not come about in time."""


def wait_until(condition: Callable[[], object], what: str, timeout_s: float = 60.0) -> None:
    """Polls until `condition()` is true; raises NotReadyError after `timeout_s` seconds."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise NotReadyError(f"not so after {timeout_s:g} s: {what}")
        time.sleep(POLL_S)


class Ports:
    """Gives out free loopback ports below those that the kernel uses for outgoing connections."""

    def __init__(self) -> None:
        self._next = random.SystemRandom().randrange(LOW_PORT, HIGH_PORT)

    def take(self) -> str:
        """Returns an address whose port nobody listens on."""
        while True:
            self._next = self._next + 1 if self._next < HIGH_PORT else LOW_PORT
            try:
                with socket.create_server(("127.0.0.1", self._next)):
                    return f"127.0.0.1:{self._next}"
            except OSError:
                continue


class Process:
    """One process; its output goes to a file beside the fleet's other files."""

    def __init__(self, name: str, words: Sequence[str], directory: pathlib.Path) -> None:
        self.name = name
        self.output = directory / f"{name}.log"
        self._words = [sys.executable, "-m", *words]
        self._popen: subprocess.Popen | None = None
        self._ending = False
        self.start()

    @property
    def running(self) -> bool:
        """True until the process has ended."""
        return self._popen.poll() is None

    @property
    def ending(self) -> bool:
        """True from the request to stop until another is started in its place."""
        return self._ending

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, None while it runs; negative if a signal ended it."""
        return self._popen.poll()

    def start(self) -> None:
        """Starts it, or starts another in its place once it has ended."""
        self._ending = False
        with self.output.open("ab") as output:
            self._popen = subprocess.Popen(
                self._words,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def kill(self) -> None:
        """Ends it by SIGKILL and waits until it is gone."""
        if self.running:
            self._popen.kill()
        self._popen.wait()

    def pause(self) -> None:
        """Stops it by SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on by SIGCONT."""
        self._popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks it by SIGTERM to stop."""
        self._ending = True
        if self.running:
            self._popen.terminate()

    def wait(self, timeout_s: float = STOP_S) -> int:
        """Waits for its end and returns the exit code; raises subprocess.TimeoutExpired."""
        return self._popen.wait(timeout_s)
