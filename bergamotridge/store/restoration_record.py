"""Record of the latest restoration of the platform's store, as an object of the store itself.

What processes know of a restoration ends with the last of them. The record outlives them: it names
the epoch of the store in which it was written. A copy from before a restoration can only hold a
record of an earlier epoch, or none, so that a process finds out by one read that the store was
restored since.

The record holds no time. Clocks of hosts may step, and a process can measure ages only since its
own start. So a record begins as reserved, and loses the mark by a process that has known of the
restoration for the whole reservation, or has heard its age from such a one. A process that finds
the mark and knows of no restoration counts the reservation from then on.

What only the record shows stays in this module, as it may also be a mere lack of knowledge: other
parts, and other nodes, hear of restorations that were seen.
"""

import threading
from collections.abc import Callable

import attrs
import logbook

from bergamotridge import errors
from bergamotridge.store import objects, position, restorations
from bergamotridge.util import clock, fields

KIND = "restorations"
NAME = "latest"
EPOCH_KEY = "epoch"
RESERVED_KEY = "reserved"
MAX_ATTEMPTS = 4  # Other processes may write the record at the same time.
RETRY_PAUSE_S = 1.0

_log = logbook.Logger(__name__)


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
            known: What this process knows of restorations without the record.
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
        self._doubt: restorations.Restoration | None = None
        self._on_doubt: Callable[[], None] = lambda: None
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

    @property
    def latest(self) -> restorations.Restoration | None:
        """The latest restoration that was seen, heard of, or that the record doesn't rule out."""
        latest, doubt = self._known.latest, self._doubt
        if doubt is not None and (latest is None or latest.epoch < doubt.epoch):
            return doubt
        return latest

    def listen_for_doubt(self, callback: Callable[[], None]) -> None:
        """Sets what is called once the record leaves a restoration possible that nobody told of."""
        self._on_doubt = callback

    def is_recent(self, now: float) -> bool:
        """Returns True during the reservation after the latest restoration.

        Args:
            now: Boot time in seconds.
        """
        latest = self.latest
        return latest is not None and now - latest.noticed_at <= self._reservation_s

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
                self._confirmed_epoch, self._doubt = epoch, None
                return
            self._doubt_epoch(epoch, now)
            wanted = Record(epoch, self.is_recent(now))
            if stored.record == wanted or self._write(wanted, stored.version):
                self._confirmed_epoch = None if wanted.is_reserved else epoch
                return
        raise errors.PlatformUnavailableError(
            "other processes kept writing the record of restorations; try again"
        )

    def _doubt_epoch(self, epoch: int, now: float) -> None:
        """Counts the reservation from now on, unless this process knows how the epoch began."""
        latest = self.latest
        if latest is not None and latest.epoch == epoch:
            return
        self._doubt = restorations.Restoration(epoch, now, restorations.FROM_RECORD)
        _log.warning(
            "the platform's store may have been restored to epoch {}: no keys that callers chose "
            "are claimed for {:.0f} s",
            epoch,
            self._reservation_s,
        )
        self._on_doubt()

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
