"""Record of the latest restoration of the platform's store, as an object of the store itself.

What processes know of a restoration ends with the last of them. The record outlives them: it names
the epoch of the store in which it was written. A copy from before a restoration can only hold a
record of an earlier epoch, or none, so that a process finds out by one read that the store was
restored since.

The record holds no time. Clocks of hosts may step, and a process can measure ages only since its
own start. So a record begins as reserved, and loses the mark by a process that has known of the
restoration for the whole reservation, or has heard its age from such a one. A process that finds
the mark and knows of no restoration counts the reservation from then on.
"""

import threading
from collections.abc import Callable

import attrs

from bergamotridge import errors
from bergamotridge.store import objects, position, restorations
from bergamotridge.util import clock, fields

KIND = "restorations"
NAME = "latest"
EPOCH_KEY = "epoch"
RESERVED_KEY = "reserved"
MAX_ATTEMPTS = 4  # Other processes may write the record at the same time.
RETRY_PAUSE_S = 1.0


@attrs.frozen
class Record:
    """What the record says.

    Attributes:
        epoch: Epoch of the store that began with the latest known restoration.
        is_reserved: True until the reservation after that restoration has ended.
    """

    epoch: int
    is_reserved: bool


# What a missing record stands for: only in epoch 0 was the store certainly never restored.
NEVER_RESTORED = Record(0, False)


@attrs.frozen
class _StoredRecord:
    """The record as read.

    Attributes:
        record: What it says, None if it cannot be understood.
        version: Its version, which names the epoch in which it was read.
    """

    record: Record | None
    version: position.Position

    def shows_restoration(self) -> bool:
        """Returns True unless it says that no restoration is recent."""
        return self.record != Record(self.version.epoch, False)


class RestorationRecord:
    """Keeps the record and what this process knows of restorations in step; thread-safe."""

    def __init__(
        self,
        client: objects.Objects,
        known: restorations.Restorations,
        reservation_s: float,
        read_clock: Callable[[], float] = clock.boot_time,
    ) -> None:
        """Prepares the record; nothing is read before it is needed.

        Args:
            client: Client of the platform, which reports the store's epoch to `known`.
            known: What this process knows; it learns of restorations that only the record shows.
            reservation_s: Seconds after a restoration for which the record stays reserved.
            read_clock: Returns the boot time in seconds. Ages count from after an answer, as a
                process may be paused while it waits for one.
        """
        self._client = client
        self._known = known
        self._reservation_s = reservation_s
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._confirmed_epoch: int | None = None
        self._retry_at = float("-inf")

    def confirm(self) -> None:
        """Makes certain that the record and this process know the same of restorations.

        The first call in each epoch of the store reads the record. It is written only if it lacks
        a restoration, or the end of its reservation.

        Raises:
            PlatformError: The record could not be read or written; for `RETRY_PAUSE_S` after that,
                it is not tried again.
        """
        with self._lock:
            if self._is_confirmed():
                return
            if self._read_clock() < self._retry_at:
                raise errors.PlatformUnavailableError(
                    "the record of restorations could not be read or written; try again later"
                )
            try:
                self._synchronize()
            except errors.PlatformError:
                self._retry_at = self._read_clock() + RETRY_PAUSE_S
                raise

    def is_recent(self, now: float) -> bool:
        """Returns True during the reservation after a restoration that this process knows of.

        Args:
            now: Boot time in seconds.
        """
        return self._known.recent_epoch(self._reservation_s, now) is not None

    def _is_confirmed(self) -> bool:
        return self._known.is_known and self._confirmed_epoch == self._known.epoch

    def _synchronize(self) -> None:
        for _ in range(MAX_ATTEMPTS):
            stored, now = self._read(), self._read_clock()
            epoch = stored.version.epoch
            if epoch != self._known.epoch:
                raise errors.PlatformUnavailableError(
                    "the store was restored while the record of restorations was read; try again"
                )
            if not stored.shows_restoration():
                self._confirmed_epoch = epoch
                return
            self._known.learn(epoch, 0.0, now, restorations.FROM_RECORD)
            wanted = Record(epoch, self.is_recent(now))
            if stored.record == wanted or self._write(wanted, stored.version):
                self._confirmed_epoch = None if wanted.is_reserved else epoch
                return
        raise errors.PlatformUnavailableError(
            "other processes kept writing the record of restorations; try again"
        )

    def _read(self) -> _StoredRecord:
        try:
            stored = self._client.get(KIND, NAME)
        except errors.NotFoundError as error:
            return _StoredRecord(NEVER_RESTORED, error.version)
        return _StoredRecord(_decode(stored.value), stored.version)

    def _write(self, wanted: Record, version: position.Position) -> bool:
        """Writes the record in place of a version; returns False if that is not the current one."""
        value = {EPOCH_KEY: wanted.epoch, RESERVED_KEY: wanted.is_reserved}
        try:
            self._client.put(KIND, NAME, value, version)
        except errors.ConflictError:
            return False
        return True


def _decode(value: object) -> Record | None:
    """Returns the record that a value holds, None if another writer's value holds none."""
    try:
        table = fields.table("the value", value)
        epoch = fields.whole_number(EPOCH_KEY, table.get(EPOCH_KEY), 0, fields.MAX_INTEGER)
    except errors.MalformedEntryError:
        return None
    reserved = table.get(RESERVED_KEY)
    return Record(epoch, reserved) if isinstance(reserved, bool) else None
