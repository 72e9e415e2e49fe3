"""Writes claims of this node to the platform again after the platform's store was restored."""

import random
import threading
from concurrent import futures

import logbook

from bergamotridge import errors
from bergamotridge.callers import claims
from bergamotridge.util import backoff

WRITES_PER_S = 5  # Of one node, as many as it creates at most.
INTERVAL_S = 1.0
MAX_PAUSE_S = 8.0  # Longest pause after repeated failures.

_log = logbook.Logger(__name__)


class ClaimRewriter:
    """Background task that writes the latest claims first, until all have been written."""

    def __init__(self, node_claims: claims.Claims, rng: random.Random) -> None:
        """Creates the task without starting it."""
        self._claims = node_claims
        self._rng = rng
        self._restored = threading.Event()
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(1, "claim-rewriter")

    def start(self) -> None:
        """Starts the task, which waits for a restoration."""
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Signals the task to end; does not wait for it."""
        self._stopping.set()
        self._restored.set()
        self._executor.shutdown(wait=False)

    def handle_restoration(self) -> None:
        """Makes the task write all claims again; may be called from any thread."""
        self._claims.handle_restoration()
        self._restored.set()

    def write_all(self) -> int:
        """Writes all claims again and returns their number; begins anew at another restoration."""
        pauses = backoff.Backoff(INTERVAL_S, MAX_PAUSE_S, self._rng)
        written = 0
        while not self._stopping.is_set():
            if self._restored.is_set():
                self._restored.clear()
                written = 0
            try:
                number = self._claims.write_again(WRITES_PER_S, skip=written)
            except errors.PlatformError as error:
                _log.debug("claims not written again, retrying: {}", error)
                self._stopping.wait(pauses.next_delay_s())
                continue
            if not number:
                break
            pauses.reset()
            written += number
            self._stopping.wait(INTERVAL_S)
        return written

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._restored.wait()
            try:
                _log.info("claims written again after a restoration: {}", self.write_all())
            except Exception:
                _log.exception("writing claims again failed")
