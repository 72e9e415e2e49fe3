"""What an upstream ran and when, as JSON lines; times are CLOCK_MONOTONIC, one for the machine."""

import collections
import itertools
import json
import threading
import time
import typing


class RunRecord:
    """Keeps the record in memory and, if a sink is given, in a file that survives the process.

    Each run has one line at its start and one at its end, so that a run whose process was killed
    is still seen.
    """

    def __init__(self, service: str, address: str, sink: typing.TextIO | None = None) -> None:
        self._service = service
        self._address = address
        self._lock = threading.Lock()
        self._lines: list[str] = []
        self._numbers = itertools.count(1)
        self._runs: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._sink = sink

    def start(self, tag: str, method: str, path: str, key_seen: bool) -> int:
        """Records the start of a run and returns its number."""
        number = next(self._numbers)
        with self._lock:
            self._runs[tag, method, path] += 1
            attempt = self._runs[tag, method, path]
        self._write(
            "start",
            run=number,
            tag=tag,
            method=method,
            path=path,
            key_seen=key_seen,
            attempt=attempt,
        )
        return number

    def end(self, run: int, outcome: str) -> None:
        """Records the end of a run: ``ok``, ``failed``, ``cancelled`` or ``deadline``."""
        self._write("end", run=run, outcome=outcome)

    def shed(self, tag: str, method: str, path: str) -> None:
        """Records a call that was shed; it is no run."""
        self._write("shed", tag=tag, method=method, path=path)

    def note(self, event: str) -> None:
        """Records a change of the upstream itself, such as ``draining``."""
        self._write(event)

    def lines(self) -> bytes:
        """Returns the whole record."""
        with self._lock:
            return "".join(self._lines).encode()

    def _write(self, event: str, **fields: object) -> None:
        entry = {
            "event": event,
            "time": time.monotonic(),
            "service": self._service,
            "address": self._address,
            **fields,
        }
        line = json.dumps(entry) + "\n"
        with self._lock:
            self._lines.append(line)
            if self._sink is not None:
                self._sink.write(line)
