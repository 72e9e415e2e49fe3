"""A bounded queue of output lines whose `write` never blocks."""

import collections
import os
import select
import threading

MAX_QUEUED_LINES = 4096
DRAIN_TIMEOUT_S = 0.25


class LineQueue:
    """A text stream whose lines a background thread writes to a file descriptor.

    While the descriptor blocks, at most `size` lines are queued. Further lines are dropped and
    counted, and a line with their count is written before the next line that is accepted.
    """

    def __init__(self, descriptor: int, size: int = MAX_QUEUED_LINES) -> None:
        """Creates an empty queue; nothing is written before `start`.

        Args:
            descriptor: File descriptor to write to. A Python stream would stay locked during a
                write that hangs, which would also block the exit of the process.
            size: Maximum number of queued lines.
        """
        self._descriptor = descriptor
        self._size = size
        self._queued_lines: collections.deque[str] = collections.deque()
        self._changed = threading.Condition()
        self._dropped_count = 0
        self._stopping = False
        self._thread = threading.Thread(
            target=self._write_queued_lines, name="log-output", daemon=True
        )

    @property
    def dropped_count(self) -> int:
        """Number of lines dropped since the count was last written to the output."""
        return self._dropped_count

    def start(self) -> None:
        """Starts the thread that writes the queued lines."""
        self._thread.start()

    def stop(self) -> None:
        """Lets the thread write the queued lines; waits `DRAIN_TIMEOUT_S` seconds at most."""
        with self._changed:
            self._stopping = True
            self._changed.notify()
        self._thread.join(DRAIN_TIMEOUT_S)

    def write_last(self, line: str) -> bool:
        """Writes a line after `stop`, unless it would have to wait or fails; returns if it has."""
        output = select.poll()
        output.register(self._descriptor, select.POLLOUT)
        is_ready = [(self._descriptor, select.POLLOUT)] == output.poll(0)
        if self._thread.is_alive() or not is_ready:
            return False
        try:
            # So short a line doesn't block a pipe that has room.
            os.write(self._descriptor, line.encode()[: select.PIPE_BUF])
        except OSError:
            # The error cannot be logged: the log output itself has failed.
            return False
        return True

    def write(self, text: str) -> int:
        """Queues `text`, or drops and counts it if the queue is full; returns its length."""
        with self._changed:
            if len(self._queued_lines) >= self._size:
                self._dropped_count += 1
            else:
                self._queued_lines.append(text)
                self._changed.notify()
        return len(text)

    def flush(self) -> None:
        """Does nothing: the thread writes to the descriptor without a buffer."""

    def _write_queued_lines(self) -> None:
        while True:
            with self._changed:
                while not self._queued_lines and not self._stopping:
                    self._changed.wait()
                lines, dropped_count = list(self._queued_lines), self._dropped_count
                self._queued_lines.clear()
                self._dropped_count = 0
                stopping = self._stopping
            if dropped_count:
                lines.append(f'{{"level":"WARNING","message":"lines left out: {dropped_count}"}}\n')
            try:
                self._write_all("".join(lines).encode())
            except OSError:
                # The error cannot be logged: the log output itself has failed.
                return
            if stopping and not self._queued_lines:
                return

    def _write_all(self, data: bytes) -> None:
        unwritten = memoryview(data)
        while unwritten:
            unwritten = unwritten[os.write(self._descriptor, unwritten) :]
