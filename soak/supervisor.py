"""Sends signals to the processes of a fleet and starts those again that were to end.

A process that ends without a signal, a planned stop with an exit code other than 0 and a planned
stop without an end are findings.
"""

import math
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterable

import attrs

from soak import disturbances
from standins import processes

POLL_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 0.5
# After SIGCONT, a process still has to handle what has arrived in the meantime.
RESUME_SETTLE_S = 1.0


@attrs.define(eq=False)
class Supervised:
    """One process.

    Attributes:
        process: The process.
        part: What it is.
        host: Its host, "" for the platform.
        address: Where it listens once it has started.
        stop_limit_s: Time from SIGTERM to its end, without pauses, after which a stop counts as
            hanging and the process is killed, in seconds.
        listening: True from when it listened until it ends.
        stopped_at: Monotonic time in seconds of the first SIGTERM, None without one.
        killed: True if SIGKILL was sent.
        resume_at: Monotonic time in seconds of its SIGCONT, None if it is not paused.
        restart_after_s: Time from its end until it is started again, in seconds.
        restart_at: Monotonic time in seconds of its next start, None while it runs.
        open: Its disturbances that have not ended.
    """

    process: processes.Process
    part: disturbances.Part
    host: str
    address: str
    stop_limit_s: float
    listening: bool = True
    stopped_at: float | None = None
    killed: bool = False
    resume_at: float | None = None
    restart_after_s: float = 0.0
    restart_at: float | None = None
    open: list[disturbances.Disturbance] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """Name of the process."""
        return self.process.name

    def is_listening(self) -> bool:
        """Returns True if its address accepts connections."""
        host, _, port = self.address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True


class Supervisor:
    """Supervises processes from a thread of its own; the other methods may be called by any."""

    def __init__(
        self,
        supervised: Iterable[Supervised],
        log: disturbances.DisturbanceLog,
        on_restart: Callable[[], None],
    ) -> None:
        """Prepares the supervision.

        Args:
            supervised: The processes, all of which listen.
            log: Receives the disturbances.
            on_restart: Called after a process was started again.
        """
        self.findings: list[str] = []
        self._supervised = {item.name: item for item in supervised}
        self._log = log
        self._on_restart = on_restart
        self._lock = threading.RLock()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="supervisor", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Ends the thread; processes stay as they are."""
        self._closing.set()
        self._thread.join()

    def stop(self, name: str, restart_after_s: float) -> bool:
        """Sends SIGTERM; returns False if the process does not listen.

        A process that is still starting is left alone: it has no handler of the signal yet.
        """
        with self._lock:
            item = self._supervised[name]
            if not item.listening or not item.process.running:
                return False
            if item.stopped_at is None:
                item.stopped_at = time.monotonic()
                self._begin(item, disturbances.Cause.STOP)
            item.restart_after_s = restart_after_s
            item.process.terminate()
            return True

    def kill(self, name: str, restart_after_s: float) -> bool:
        """Sends SIGKILL; returns False if the process has ended."""
        with self._lock:
            item = self._supervised[name]
            if not item.process.running:
                return False
            item.killed = True
            item.restart_after_s = restart_after_s
            self._begin(item, disturbances.Cause.KILL)
            item.process.kill()
            return True

    def pause(self, name: str, for_s: float) -> bool:
        """Sends SIGSTOP, and SIGCONT later; returns False if the process is paused or has ended."""
        with self._lock:
            item = self._supervised[name]
            if not item.process.running or item.resume_at is not None:
                return False
            self._begin(item, disturbances.Cause.PAUSE)
            item.process.pause()
            item.resume_at = time.monotonic() + for_s
            return True

    def reload(self, name: str) -> bool:
        """Sends SIGHUP; returns False if the process does not listen."""
        with self._lock:
            item = self._supervised[name]
            if not item.listening or not item.process.running:
                return False
            item.process.reload()
            return True

    def is_settled(self) -> bool:
        """Returns True if all processes run and listen and none is to stop or to resume."""
        with self._lock:
            return all(
                item.listening
                and item.process.running
                and item.stopped_at is None
                and item.resume_at is None
                for item in self._supervised.values()
            )

    def _run(self) -> None:
        while not self._closing.wait(POLL_INTERVAL_S):
            for item in self._supervised.values():
                with self._lock:
                    self._supervise(item, time.monotonic())

    def _supervise(self, item: Supervised, now: float) -> None:
        if item.resume_at is not None and now >= item.resume_at:
            self._resume(item, now)
        if item.process.running:
            if not item.listening and item.is_listening():
                item.listening = True
                self._end(item, disturbances.Cause.DOWN, now)
            if item.stopped_at is not None and not item.killed:
                self._check_stop_time(item, now)
        elif item.restart_at is None:
            self._handle_exit(item, now)
        elif now >= item.restart_at:
            self._restart(item)

    def _resume(self, item: Supervised, now: float) -> None:
        item.resume_at = None
        if item.process.running:
            item.process.resume()
        self._end(item, disturbances.Cause.PAUSE, now + RESUME_SETTLE_S)
        if item.stopped_at is not None:
            item.stopped_at = now

    def _check_stop_time(self, item: Supervised, now: float) -> None:
        if item.resume_at is None and now > item.stopped_at + item.stop_limit_s:
            self.findings.append(
                f"{item.name} still runs {now - item.stopped_at:.1f} s after SIGTERM"
            )
            self.kill(item.name, item.restart_after_s)

    def _handle_exit(self, item: Supervised, now: float) -> None:
        code = item.process.exit_code
        stop_s = 0.0 if item.stopped_at is None else now - item.stopped_at
        print(f"{now:.2f} {item.name} ended with code {code}, {stop_s:.1f} s after SIGTERM")
        if item.killed:
            expected = (0, -signal.SIGKILL)
        elif item.stopped_at is not None:
            expected = (0,)
        else:
            expected = ()
            item.killed = True
        if code not in expected:
            signals = "SIGTERM" if stop_s else "no signal"
            self.findings.append(f"{item.name} ended with code {code} after {signals}")
        for cause in (
            disturbances.Cause.STOP,
            disturbances.Cause.KILL,
            disturbances.Cause.PAUSE,
        ):
            self._end(item, cause, now)
        self._begin(item, disturbances.Cause.DOWN)
        item.listening = False
        item.resume_at = None
        item.restart_at = now + item.restart_after_s

    def _restart(self, item: Supervised) -> None:
        item.process.start()
        item.restart_at = item.stopped_at = None
        item.killed = False
        self._on_restart()

    def _begin(self, item: Supervised, cause: disturbances.Cause) -> None:
        planned = cause in disturbances.PLANNED and not item.killed
        item.open.append(self._log.begin(item.part, cause, item.host, planned=planned))

    def _end(self, item: Supervised, cause: disturbances.Cause, now: float) -> None:
        for entry in item.open:
            if entry.cause is cause:
                entry.close(now)
        item.open = [entry for entry in item.open if entry.end == math.inf]
