"""Restorations of the platform's store from an earlier copy, as far as this node knows of them.

The store's epoch rises with each restoration. What was written between the copy and the restoration
is then lost, although the store had confirmed it.
"""

import threading
from collections.abc import Callable

import attrs
import logbook

from bergamotridge import errors

_log = logbook.Logger(__name__)

FROM_STORE = "store"
FROM_PEER = "peer"
FROM_RECORD = "record"
ALONE_AFTER_S = 5.0


@attrs.frozen
class Restoration:
    """One restoration of the store.

    Attributes:
        epoch: Epoch that began with it.
        noticed_at: Boot time in seconds at which it was noticed, by this node or by a peer that
            told this node of it.
        source: `FROM_STORE`, `FROM_PEER` or `FROM_RECORD`.
    """

    epoch: int
    noticed_at: float
    source: str = FROM_STORE


class Restorations:
    """The store's latest known epoch, and its latest known restoration; thread-safe."""

    def __init__(self) -> None:
        """Starts without a known epoch."""
        self._lock = threading.Lock()
        self._epoch: int | None = None
        self._latest: Restoration | None = None
        self._has_heard_peer = False
        self._first_answer_at: float | None = None
        self._listeners: list[Callable[[Restoration], None]] = []

    @property
    def epoch(self) -> int:
        """Highest epoch known, 0 before the first."""
        return self._epoch or 0

    @property
    def is_known(self) -> bool:
        """True once an epoch is known."""
        return self._epoch is not None

    @property
    def latest(self) -> Restoration | None:
        """The latest restoration known, None if there is none."""
        return self._latest

    def recent_epoch(self, max_age_s: float, now: float) -> int | None:
        """Returns the epoch that began with the latest restoration, None if that is long ago.

        Args:
            max_age_s: Longest time in seconds since the restoration was noticed.
            now: Boot time in seconds.
        """
        latest = self._latest
        if latest is None or now - latest.noticed_at > max_age_s:
            return None
        return latest.epoch

    def add_listener(self, callback: Callable[[Restoration], None]) -> None:
        """Registers a callback for restorations; it runs in the thread that notices them."""
        self._listeners.append(callback)

    def observe(self, epoch: int, now: float) -> bool:
        """Records the epoch of an answer of the store.

        Args:
            epoch: Epoch in which the store answered.
            now: Boot time in seconds.

        Returns:
            False if a later epoch is known, so that the answer is out of date.
        """
        with self._lock:
            if self._first_answer_at is None:
                self._first_answer_at = now
            known = self._epoch
            if known is not None and epoch <= known:
                return epoch == known
            self._epoch = epoch
            if known is None:
                return True
            restoration = self._latest = Restoration(epoch, now)
        self._notify(restoration, known)
        return True

    def check(self, epoch: int, now: float) -> None:
        """Records the epoch of an answer, as `observe`.

        Raises:
            PlatformUnavailableError: A later epoch is known. What the answer tells may be lost, so
                it counts for as much as no answer.
        """
        if not self.observe(epoch, now):
            raise errors.PlatformUnavailableError(
                f"the answer is of epoch {epoch}, before the store was restored; try again"
            )

    def learn(self, epoch: int, age_s: float, now: float) -> None:
        """Records a restoration that a peer told of, if it is later than those known.

        Args:
            epoch: Epoch that began with the restoration.
            age_s: Seconds since it was noticed.
            now: Boot time in seconds.
        """
        with self._lock:
            known = self.epoch
            if epoch < known or (self._latest is not None and epoch <= self._latest.epoch):
                return
            self._epoch = epoch
            restoration = self._latest = Restoration(epoch, now - age_s, FROM_PEER)
        self._notify(restoration, known)

    def hear_epoch(self, epoch: int, now: float) -> None:
        """Records the highest epoch that a peer knows, and the restoration that it may show.

        If it differs from the epoch that this node knows, the later one began with a restoration.

        Args:
            epoch: The peer's epoch.
            now: Boot time in seconds.
        """
        with self._lock:
            self._has_heard_peer = True
            known = self._epoch
            if known is None:
                self._epoch = epoch
            latest_epoch = self._latest.epoch if self._latest else None
            if known in (None, epoch) or max(epoch, known) == latest_epoch:
                return
            self._epoch = max(epoch, known)
            restoration = self._latest = Restoration(self._epoch, now, FROM_PEER)
        self._notify(restoration, min(epoch, known))

    def is_informed(self, now: float) -> bool:
        """Returns whether this process would know of a restoration right before its start.

        It has heard of the epoch from a peer, or no peer has spoken to it for `ALONE_AFTER_S` after
        the first answer of the store; `now` is boot time in seconds.
        """
        with self._lock:
            first_at = self._first_answer_at
            is_alone = first_at is not None and now - first_at >= ALONE_AFTER_S
            return self._has_heard_peer or is_alone

    def _notify(self, restoration: Restoration, epoch_before: int) -> None:
        _log.warning(
            "the platform's store was restored from a copy: epoch {} after {}, told by {}",
            restoration.epoch,
            epoch_before,
            restoration.source,
        )
        for callback in self._listeners:
            callback(restoration)
