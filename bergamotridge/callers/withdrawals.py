"""Brings withdrawals that reached the nodes first to the platform when it answers again."""

import random
import threading
import time
from collections.abc import Callable
from concurrent import futures

import logbook

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.store import client

_log = logbook.Logger(__name__)


class WithdrawalWriter:
    """Writes pending withdrawals to the platform, a few nodes for each failure domain."""

    def __init__(
        self,
        platform: client.ObjectClient,
        ring: keys.KeyRing,
        interval_s: float,
        rng: random.Random,
        writes: Callable[[float], bool] = lambda now: True,
    ) -> None:
        """Prepares the task.

        Args:
            platform: Client of the platform.
            ring: Keys of this node.
            interval_s: Mean seconds between two attempts.
            rng: Source of jitter.
            writes: Tells from the present monotonic time whether this node has to write.
        """
        self._platform = platform
        self._ring = ring
        self._interval_s = interval_s
        self._rng = rng
        self._writes = writes
        self._unknown: set[str] = set()
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(1, "withdrawals")

    def start(self) -> None:
        """Starts the task."""
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Tells the task to end."""
        self._stopping.set()
        self._executor.shutdown(wait=False)

    def write_pending(self) -> None:
        """Makes one attempt for each pending withdrawal; the watch of the keys confirms them."""
        for key_id in sorted(self._ring.pending - self._unknown):
            try:
                keys.withdraw(self._platform, key_id)
            except errors.NotFoundError:
                _log.warning("withdrawn key {} was never granted", key_id)
                self._unknown.add(key_id)
            except errors.PlatformError:
                return

    def _run(self) -> None:
        while not self._stopping.wait(self._rng.uniform(0.5, 1.5) * self._interval_s):
            try:
                if self._writes(time.monotonic()):
                    self.write_pending()
            except Exception:
                _log.exception("writing withdrawals failed")
