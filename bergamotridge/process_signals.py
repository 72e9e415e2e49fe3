"""Signals of the process, which are kept from its first instruction on until they are handled.

This module imports little, so that signals are kept before the rest of the program is imported.
"""

import queue
import signal
import time
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class ReceivedSignals:
    """Keeps the signals that come to the process, in their order."""

    def __init__(self) -> None:
        """Takes over the signals; to be called in the main thread."""
        self._numbers: queue.SimpleQueue[int] = queue.SimpleQueue()
        self._stop_requested_at: float | None = None
        for number in SIGNALS:
            signal.signal(number, self._keep)

    def _keep(self, number: int, frame: FrameType | None) -> None:
        del frame
        if number in STOP_SIGNALS and self._stop_requested_at is None:
            self._stop_requested_at = time.monotonic()
        self._numbers.put(number)

    @property
    def stop_requested_at(self) -> float | None:
        """Monotonic time in seconds of the first signal to stop, None if none has come."""
        return self._stop_requested_at

    def wait(self) -> int:
        """Returns the number of the next signal, as soon as it has come."""
        return self._numbers.get()

    def ignore_further(self) -> None:
        """Lets no signal end the process any more.

        The interpreter restores the default actions at its end, but leaves ignored signals ignored.
        """
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)
