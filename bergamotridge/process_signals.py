"""Signals of the process, which are kept from its first instruction on until they are handled.

This module imports little, so that signals are kept before the rest of the program is imported.
"""

import queue
import signal
import threading
import time

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class ReceivedSignals:
    """Keeps the signals that come to the process, in their order.

    They are blocked in all threads and taken by one that waits for nothing else. A Python handler
    runs in the main thread when that thread next runs Python code. It may run late, or not at all:
    the kernel hands a signal to another thread if the main one still has an earlier signal before
    it, and then nothing wakes the main thread from what it waits for.
    """

    def __init__(self) -> None:
        """Takes over the signals; to be called in the main thread before others are started."""
        self._began_ms = time.time_ns() // 1_000_000
        self._numbers: queue.SimpleQueue[int] = queue.SimpleQueue()
        self._stop_requested_at: float | None = None
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        threading.Thread(target=self._receive, name="signals", daemon=True).start()

    def _receive(self) -> None:
        while True:
            number = signal.sigwait(SIGNALS)
            if number in STOP_SIGNALS and self._stop_requested_at is None:
                self._stop_requested_at = time.monotonic()
            self._numbers.put(number)

    @property
    def began_ms(self) -> int:
        """Unix time in milliseconds at which the process began."""
        return self._began_ms

    @property
    def stop_requested_at(self) -> float | None:
        """Monotonic time in seconds of the first signal to stop, None if none has come."""
        return self._stop_requested_at

    def wait(self, timeout_s: float | None = None) -> int | None:
        """Returns the number of the next signal, as soon as it has come.

        Args:
            timeout_s: Seconds after which None is returned if no signal has come; None waits on.
        """
        try:
            return self._numbers.get(timeout=timeout_s)
        except queue.Empty:
            return None
