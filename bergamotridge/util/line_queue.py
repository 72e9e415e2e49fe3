"""Output that never makes its writers wait."""

import collections
import os
import threading

LINES = 4096
DRAIN_S = 1.0


class LineQueue:
    """Looks like a text stream; a task of its own writes to the real one.

    While the real stream does not take lines, at most `size` of them are kept. Further ones are
    left out and counted, and the next line that gets through is preceded by their number.
    """

    def __init__(self, descriptor: int, size: int = LINES) -> None:
        """Prepares the queue; nothing is written before `start`.

        Args:
            descriptor: File descriptor to write to. A stream of Python's would be locked by a
                write that hangs, and with it the end of the process.
            size: Most lines kept.
        """
        self._descriptor = descriptor
        self._size = size
        self._lines: collections.deque[str] = collections.deque()
        self._ready = threading.Condition()
        self._left_out = 0
        self._stopping = False
        self._task = threading.Thread(target=self._run, name="log-output", daemon=True)

    @property
    def left_out(self) -> int:
        """Lines that were left out since the last report of them."""
        return self._left_out

    def start(self) -> None:
        """Starts the task that writes."""
        self._task.start()

    def stop(self) -> None:
        """Writes what is queued, for about a second at most."""
        with self._ready:
            self._stopping = True
            self._ready.notify()
        self._task.join(DRAIN_S)

    def write(self, text: str) -> int:
        """Queues text, or counts it as left out."""
        with self._ready:
            if len(self._lines) >= self._size:
                self._left_out += 1
            else:
                self._lines.append(text)
                self._ready.notify()
        return len(text)

    def flush(self) -> None:
        """Does nothing; the task flushes."""

    def _run(self) -> None:
        while True:
            with self._ready:
                while not self._lines and not self._stopping:
                    self._ready.wait()
                lines, left_out = list(self._lines), self._left_out
                self._lines.clear()
                self._left_out = 0
                stopping = self._stopping
            if left_out:
                lines.append(f'{{"level":"WARNING","message":"lines left out: {left_out}"}}\n')
            try:
                self._write_out("".join(lines).encode())
            except OSError:
                # Nobody is left to tell: the output itself is gone.
                return
            if stopping and not self._lines:
                return

    def _write_out(self, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[os.write(self._descriptor, left) :]
