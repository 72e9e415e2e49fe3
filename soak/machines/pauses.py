"""Freezes the processes of a machine and lets them go on, whatever the event loop does."""

import contextlib
import itertools
import os
import signal
import threading
from collections.abc import Callable, Iterable

from soak.machines import record

# Pairs of seconds: for how long processes run, and for how long they then stand.
Pauses = Iterable[tuple[float, float]]


def share_out(share: float, period_s: float) -> Pauses:
    """Returns endless pauses that leave processes a share of the time, in turns of a period."""
    return itertools.repeat((share * period_s, (1.0 - share) * period_s))


class Pauser:
    """Carries out pauses in a thread: the event loop of the stand-ins may itself stand still."""

    def __init__(
        self, rows: record.Record, machine: int, list_pids: Callable[[], list[int]]
    ) -> None:
        """Prepares pauses of the processes that `list_pids` returns at each of them."""
        self._rows, self._machine, self._list_pids = rows, machine, list_pids
        self._ended = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self, pauses: Pauses) -> None:
        """Begins with the pauses."""
        self._thread = threading.Thread(target=self._run, args=(pauses,), daemon=True)
        self._thread.start()

    def end(self) -> None:
        """Lets the processes run from now on."""
        self._ended.set()
        self._thread.join()

    def join(self) -> None:
        """Waits until all pauses are over."""
        self._thread.join()

    def _run(self, pauses: Pauses) -> None:
        for runs_s, stands_s in pauses:
            if self._ended.wait(runs_s):
                return
            frozen = self._list_pids()
            self._send(frozen, signal.SIGSTOP)
            self._ended.wait(stands_s)
            self._send(frozen, signal.SIGCONT)

    def _send(self, pids: list[int], number: signal.Signals) -> None:
        for pid in pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, number)
                self._rows.happen(number.name, self._machine, f"{pid}")
