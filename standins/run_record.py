"""Record of the calls that an upstream ran, as JSON lines with CLOCK_MONOTONIC times.

That clock is the same for all processes of a machine, so the times of several records compare.
"""

import collections
import itertools
import json
import threading
import time
import typing


class RunRecord:
    """Keeps the record in memory and, if a sink is given, also writes it to that file.

    The file survives a process that is killed. Each run has one line at its start and one
    at its end, so that a run whose process was killed is recorded too.
    """

    def __init__(self, service: str, address: str, sink: typing.TextIO | None = None) -> None:
        self._service = service
        self._address = address
        self._lock = threading.Lock()
        self._lines: list[str] = []
        self._run_numbers = itertools.count(1)
        self._attempt_counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._sink = sink

    def start(self, tag: str, method: str, path: str, key_seen: bool) -> int:
        """Records the start of a run and returns its run number."""
        run_number = next(self._run_numbers)
        with self._lock:
            self._attempt_counts[tag, method, path] += 1
            attempt = self._attempt_counts[tag, method, path]
        self._write(
            "start",
            run=run_number,
            tag=tag,
            method=method,
            path=path,
            key_seen=key_seen,
            attempt=attempt,
        )
        return run_number

    def end(self, run: int, outcome: str) -> None:
        """Records the end of a run: ``ok``, ``failed``, ``cancelled`` or ``deadline``."""
        self._write("end", run=run, outcome=outcome)

    def shed(self, tag: str, method: str, path: str) -> None:
        """Records a call that was shed, which does not count as a run."""
        self._write("shed", tag=tag, method=method, path=path)

    def add_event(self, event: str) -> None:
        """Records an event of the upstream itself, such as ``draining``."""
        self._write(event)

    def to_json_lines(self) -> bytes:
        """Returns the whole record as JSON lines."""
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
