"""Writes withdrawals of keys, and grants that the platform lost, to the platform again."""

import random
import threading
import time
from collections.abc import Callable
from concurrent import futures

import logbook

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.store import client, position
from bergamotridge.util import excerpt

_log = logbook.Logger(__name__)


class WithdrawalWriter:
    """Writes pending withdrawals to the platform; a few nodes in each failure domain do so.

    Grants that the platform lacks since it was restored from a copy are written again, too.
    """

    def __init__(
        self,
        platform: client.ObjectClient,
        ring: keys.KeyRing,
        interval_s: float,
        rng: random.Random,
        should_write: Callable[[float], bool] = lambda now: True,
    ) -> None:
        """Prepares the background thread.

        Args:
            platform: Client of the platform.
            ring: Keys known to this node.
            interval_s: Mean time in seconds between two attempts.
            rng: Source of jitter.
            should_write: Returns whether this node has to write; it is given the current monotonic
                time in seconds.
        """
        self._platform = platform
        self._ring = ring
        self._interval_s = interval_s
        self._rng = rng
        self._should_write = should_write
        self._never_granted: set[str] = set()
        self._unwritable: set[str] = set()
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(1, "withdrawals")

    def start(self) -> None:
        """Starts the background thread."""
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Makes the background thread end; does not wait for it."""
        self._stopping.set()
        self._executor.shutdown(wait=False)

    def write_pending(self) -> None:
        """Tries to write each pending withdrawal once.

        A withdrawal stays pending until the watch on the keys receives it from the platform.
        """
        for key_id in sorted(self._ring.pending):
            if key_id in self._never_granted and not self._ring.is_granted(key_id):
                continue
            try:
                keys.withdraw(self._platform, key_id)
            except errors.NotFoundError:
                _log.warning(
                    "withdrawn key '{}' not written: the platform never granted such a key",
                    key_id,
                )
                self._never_granted.add(key_id)
            except errors.MalformedObjectError as error:
                self._report_unwritable(key_id, error)
            except errors.PlatformUnavailableError:
                return
            except errors.PlatformError as error:
                self._report_unwritable(key_id, error)

    def _report_unwritable(self, key_id: str, error: errors.PlatformError) -> None:
        """Logs once that a withdrawal cannot be written now; it is tried again with the others."""
        if key_id not in self._unwritable:
            self._unwritable.add(key_id)
            _log.warning("withdrawn key '{}' not written: {}", excerpt.shorten(key_id), error)

    def write_lost_grants(self) -> None:
        """Tries to write each grant once that the platform lacks since it was restored."""
        for key_id in sorted(self._ring.unstored):
            try:
                value = self._ring.stored_form(key_id)
                self._platform.put(keys.KIND, key_id, value, position.START)
                _log.info("key '{}' written again, which the platform had lost", key_id)
            except errors.ConflictError:
                continue  # Another node wrote it; the watch on the keys receives it.
            except errors.PlatformError:
                return

    def _run(self) -> None:
        while not self._stopping.wait(self._rng.uniform(0.5, 1.5) * self._interval_s):
            try:
                if self._should_write(time.monotonic()):
                    self.write_lost_grants()
                    self.write_pending()
            except Exception:
                _log.exception(
                    "writing pending withdrawals of keys failed; the next attempt follows"
                )
