"""Task that keeps the record of restorations while a restoration is recent."""

import random
import threading
from collections.abc import Callable
from concurrent import futures

import logbook

from bergamotridge import errors
from bergamotridge.store import restoration_record, restorations
from bergamotridge.util import backoff, clock

CHECK_INTERVAL_S = 1.0  # Between looks at whether this node has to write, without a request.
MAX_PAUSE_S = 8.0  # Longest pause after repeated failures.
RECHECK_S = 60.0  # Another process may have known of the restoration for longer.
END_SPREAD_S = 10.0  # The first node to write the end of the reservation saves the others theirs.

_log = logbook.Logger(__name__)


class RestorationRecorder:
    """Writes each restoration at once, and the end of its reservation.

    A node that noticed the restoration itself writes, and so do the elected nodes, to which others
    may have told it. The other nodes send no request. A node to which only the record shows it also
    looks whether another one has written the end.
    """

    def __init__(
        self,
        record: restoration_record.RestorationRecord,
        reservation_s: float,
        is_elected: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Creates the task without starting it.

        Args:
            record: The record to keep.
            reservation_s: Seconds after a restoration for which the record stays reserved.
            is_elected: Returns whether this node is one of a few that write for the others.
            rng: Source of jitter.
        """
        self._record = record
        self._reservation_s = reservation_s
        self._is_elected = is_elected
        self._rng = rng
        self._pauses = backoff.Backoff(CHECK_INTERVAL_S, MAX_PAUSE_S, rng)
        self._restored = threading.Event()
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(1, "restoration-recorder")

    def start(self) -> None:
        """Starts the task, which waits for a restoration."""
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Signals the task to end; does not wait for it."""
        self._stopping.set()
        self._restored.set()
        self._executor.shutdown(wait=False)

    def handle_restoration(self) -> None:
        """Makes the task write; may be called from any thread."""
        self._restored.set()

    def write_due(self, now: float) -> float | None:
        """Writes what is due, and returns the seconds until the next call.

        Args:
            now: Boot time in seconds.

        Returns:
            None once nothing is left to write before the next restoration.
        """
        latest = self._record.latest
        if latest is None:
            return None
        remaining_s = latest.noticed_at + self._reservation_s - now
        if latest.source == restorations.FROM_PEER and not self._is_elected():
            return CHECK_INTERVAL_S if remaining_s > -END_SPREAD_S else None
        try:
            self._record.confirm()
        except errors.PlatformError as error:
            _log.debug("record of the restoration not written, retrying: {}", error)
            return self._pauses.next_delay_s()
        self._pauses.reset()
        if remaining_s < 0 or self._record.latest is None:
            return None
        until_end_s = remaining_s + self._rng.uniform(0.0, END_SPREAD_S)
        if latest.source == restorations.FROM_RECORD:
            return min(until_end_s, self._rng.uniform(0.5, 1.0) * RECHECK_S)
        return until_end_s

    def _run(self) -> None:
        delay_s: float | None = None
        while not self._stopping.is_set():
            self._restored.wait(delay_s)
            self._restored.clear()
            if self._stopping.is_set():
                return
            try:
                delay_s = self.write_due(clock.boot_time())
            except Exception:
                _log.exception("writing the record of the restoration failed; it is tried again")
                delay_s = MAX_PAUSE_S
