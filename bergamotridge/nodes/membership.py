"""Membership: the records of all hosts, ordered by incarnation and version, and suspicion.

Follows SWIM (Das, Gupta, Motivala, 2002): a peer that does not answer is suspected, the suspicion
spreads like other news, and the suspected host refutes it with a higher version of its record.
"""

import enum
import threading
from collections.abc import Callable, Iterable, Sequence

import attrs
import xxhash

from bergamotridge.nodes import record

LOST_HEARTBEATS = 3


class Change(enum.Enum):
    """What listeners are told about a record."""

    JOINED = "joined"
    CHANGED = "changed"
    SUSPECTED = "suspected"
    LOST = "lost"
    FORGOTTEN = "forgotten"


@attrs.frozen
class Timings:
    """Times of the decisions on membership.

    Attributes:
        heartbeat_s: Seconds between two announcements of the local upstream.
        suspect_s: Seconds that a suspected host has for its refutation.
        forget_s: Seconds after which a lost host is forgotten.
        load_interval_s: Least seconds between two versions that differ only in load.
        load_step: Least difference of load that is worth a version.
    """

    heartbeat_s: float = 0.5
    suspect_s: float = 4.0
    forget_s: float = 3600.0
    load_interval_s: float = 10.0
    load_step: float = 0.25


@attrs.frozen
class Brief:
    """News of a host whose details the receiver has: its load or a suspicion.

    Attributes:
        host: The host.
        incarnation: Incarnation of its record.
        version: Version of its record.
        detail_version: Last version that changed more than the load.
        load: Load of its upstream.
        suspected: True if a peer got no answer from it at this version.
    """

    host: str
    incarnation: int
    version: int
    detail_version: int
    load: float
    suspected: bool


@attrs.frozen
class News:
    """A whole record with its position; the same fields as in `Brief` for the rest."""

    record: record.UpstreamRecord
    detail_version: int
    suspected: bool


@attrs.frozen
class Delta:
    """News since a sequence number of this node's log.

    Attributes:
        news: The news, oldest first.
        sequence: The receiver knows the log up to this number once it has the news.
        more: True if news were left out for size.
    """

    news: tuple[News | Brief, ...]
    sequence: int
    more: bool


@attrs.define
class _Entry:
    record: record.UpstreamRecord
    detail_version: int
    source: str
    sequence: int = 0
    detail_sequence: int = 0
    suspected_at: float | None = None
    lost: bool = False
    fingerprint: int = 0

    @property
    def suspected(self) -> bool:
        """True if the host has not yet refuted a suspicion."""
        return self.suspected_at is not None

    def due(self, since: int) -> int:
        """Returns the place in the log at which a receiver that knows it up to `since` needs this.

        Details that it lacks count from their own change: a later change of the load must not
        move them behind the end of a page.
        """
        return self.detail_sequence if self.detail_sequence > since else self.sequence

    @property
    def position(self) -> tuple[int, int, bool]:
        """What decides between two pieces of news of the same host."""
        return (*self.record.order, self.suspected)


class Membership:
    """All records that this node knows, its own first; safe to use from any thread."""

    def __init__(self, own: record.UpstreamRecord, timings: Timings) -> None:
        """Starts with the own record alone; its service may be empty until an announcement."""
        self._timings = timings
        self._host = own.host
        self._lock = threading.RLock()
        self._sequence = 0
        self._checksum = 0
        self._entries: dict[str, _Entry] = {}
        self._index: dict[str, tuple[record.UpstreamRecord, ...]] | None = None
        self._size: int | None = None
        self._listeners: list[Callable[[record.UpstreamRecord, Change], None]] = []
        self._announced_at: float | None = None
        self._load_sent_at = float("-inf")
        self._store(_Entry(own, own.version, own.host), detailed=True)

    @property
    def own(self) -> record.UpstreamRecord:
        """The record of this host."""
        return self._entries[self._host].record

    @property
    def sequence(self) -> int:
        """Number of the latest change in this node's log of news."""
        return self._sequence

    @property
    def checksum(self) -> int:
        """Equal at two nodes that know the same details of the same hosts."""
        return self._checksum

    def listen(self, callback: Callable[[record.UpstreamRecord, Change], None]) -> None:
        """Registers a quick callback for changes of records other than in load."""
        self._listeners.append(callback)

    def members(self) -> Sequence[record.UpstreamRecord]:
        """Returns the records of all hosts that are not lost, this one included."""
        with self._lock:
            return tuple(entry.record for entry in self._entries.values() if not entry.lost)

    def size(self) -> int:
        """Returns the number of hosts that are not lost, this one included."""
        size = self._size
        if size is None:
            with self._lock:
                size = sum(not entry.lost for entry in self._entries.values())
                self._size = size
        return size

    def lost(self) -> Sequence[record.UpstreamRecord]:
        """Returns the records of hosts that are lost and not yet forgotten."""
        with self._lock:
            return tuple(entry.record for entry in self._entries.values() if entry.lost)

    def candidates(self, service: str) -> Sequence[record.UpstreamRecord]:
        """Returns the records of ready upstreams of a service."""
        index = self._index
        if index is None:
            index = self._build_index()
        return index.get(service, ())

    def announce(
        self, service: str, state: record.State, slots: int, load: float, now: float
    ) -> None:
        """Takes in an announcement of the local upstream; it counts as a heartbeat."""
        with self._lock:
            self._announced_at = now
            own = self.own
            if (own.service, own.state, own.slots) != (service, state, slots):
                self._publish(now, service=service, state=state, slots=slots, load=load)
            elif self._load_is_news(load, now):
                self._publish(now, load=load)

    def leave(self, now: float) -> None:
        """Publishes that this host takes no more work, as the last news of this process."""
        with self._lock:
            self._announced_at = None
            self._publish(now, state=record.State.LOST)

    def tick(self, now: float) -> None:
        """Finds what time alone has changed: a silent upstream, lost and forgotten hosts."""
        with self._lock:
            self._check_heartbeat(now)
            for entry in [item for item in self._entries.values() if item.suspected]:
                self._check_suspicion(entry, now)

    def suspect(self, host: str, now: float) -> None:
        """Suspects a host that did not answer this node."""
        with self._lock:
            entry = self._entries.get(host)
            if entry is not None and host != self._host and not entry.suspected:
                self._suspect(entry, self._host, now)

    def merge(self, news: Iterable[News | Brief], source: str, now: float) -> bool:
        """Takes in news from a peer.

        Args:
            news: Records and briefs in any order, old ones too.
            source: Host that they came from; it is not sent them again.
            now: Monotonic time in seconds.

        Returns:
            False if a brief named details that this node does not have.
        """
        with self._lock:
            complete = True
            for item in news:
                if isinstance(item, News):
                    self._merge_record(item, source, now)
                else:
                    complete = self._merge_brief(item, source, now) and complete
            return complete

    def delta(self, since: int, receiver: str, limit: int) -> Delta:
        """Returns at most `limit` news above a sequence number that did not come from a host."""
        with self._lock:
            found = []
            for entry in reversed(self._entries.values()):
                if entry.sequence <= since:
                    break
                if entry.source != receiver:
                    found.append(entry)
            found.sort(key=lambda entry: entry.due(since))
            chosen = found[:limit]
            more = len(found) > limit
            sequence = chosen[-1].due(since) if more else self._sequence
            return Delta(tuple(_news(entry, since) for entry in chosen), sequence, more)

    def _load_is_news(self, load: float, now: float) -> bool:
        step = abs(load - self.own.load) >= self._timings.load_step
        return step and now - self._load_sent_at >= self._timings.load_interval_s

    def _publish(self, now: float, **changes: object) -> None:
        entry = self._entries[self._host]
        detailed = changes.keys() != {"load"}
        version = entry.record.version + 1
        entry.record = attrs.evolve(entry.record, version=version, **changes)
        entry.detail_version = version if detailed else entry.detail_version
        self._load_sent_at = now
        self._store(entry, detailed=detailed)
        if detailed:
            self._tell(entry, Change.CHANGED)

    def _check_heartbeat(self, now: float) -> None:
        if self._announced_at is None or self.own.state is record.State.LOST:
            return
        if now - self._announced_at > LOST_HEARTBEATS * self._timings.heartbeat_s:
            self._publish(now, state=record.State.LOST)

    def _check_suspicion(self, entry: _Entry, now: float) -> None:
        age_s = now - entry.suspected_at
        if not entry.lost and age_s >= self._timings.suspect_s:
            entry.lost = True
            self._index = self._size = None
            self._tell(entry, Change.LOST)
        elif entry.lost and age_s >= self._timings.forget_s:
            del self._entries[entry.record.host]
            self._size = None
            self._tell(entry, Change.FORGOTTEN)

    def _merge_record(self, item: News, source: str, now: float) -> None:
        host = item.record.host
        entry = self._entries.get(host)
        if host == self._host:
            self._refute(item.record.order, item.suspected, now)
        elif entry is None:
            # A suspected host that was forgotten here must not come back from those who remember.
            if not item.suspected:
                entry = _Entry(item.record, item.detail_version, source)
                self._store(entry, detailed=True)
                self._tell(entry, Change.JOINED)
        elif (*item.record.order, item.suspected) > entry.position:
            known = (entry.record.incarnation, entry.detail_version)
            detailed = known != (item.record.incarnation, item.detail_version)
            entry.record, entry.detail_version = item.record, item.detail_version
            self._replaced(entry, item.suspected, source, now, detailed=detailed)

    def _merge_brief(self, item: Brief, source: str, now: float) -> bool:
        entry = self._entries.get(item.host)
        if item.host == self._host:
            self._refute((item.incarnation, item.version), item.suspected, now)
        elif entry is None:
            return item.suspected
        elif (item.incarnation, item.version, item.suspected) > entry.position:
            known = (entry.record.incarnation, entry.detail_version)
            if known != (item.incarnation, item.detail_version):
                return False
            entry.record = attrs.evolve(entry.record, version=item.version, load=item.load)
            self._replaced(entry, item.suspected, source, now, detailed=False)
        return True

    def _replaced(
        self, entry: _Entry, suspected: bool, source: str, now: float, *, detailed: bool
    ) -> None:
        """Stores an entry whose record gave way to a later one."""
        entry.source = source
        if suspected:
            self._suspect(entry, source, now, detailed=detailed)
            return
        refuted = entry.suspected
        entry.suspected_at, entry.lost = None, False
        self._store(entry, detailed=detailed)
        if detailed or refuted:
            self._tell(entry, Change.CHANGED)

    def _suspect(self, entry: _Entry, source: str, now: float, *, detailed: bool = False) -> None:
        entry.source, entry.suspected_at, entry.lost = source, now, False
        self._store(entry, detailed=detailed)
        self._tell(entry, Change.SUSPECTED)

    def _refute(self, heard: tuple[int, int], suspected: bool, now: float) -> None:
        """Answers a suspicion of this host, or news of it that this process never sent.

        A higher incarnation is left from an earlier process whose clock was ahead.
        """
        own = self.own
        if heard < own.order or (heard == own.order and not suspected):
            return
        incarnation = heard[0] if heard[0] == own.incarnation else heard[0] + 1
        version = max(heard[1], own.version)
        self._entries[self._host].record = attrs.evolve(
            own, incarnation=incarnation, version=version
        )
        self._publish(now, state=own.state)

    def _store(self, entry: _Entry, *, detailed: bool) -> None:
        """Puts a changed entry at the end of the log."""
        self._entries.pop(entry.record.host, None)
        self._entries[entry.record.host] = entry
        self._sequence += 1
        entry.sequence = self._sequence
        if detailed:
            entry.detail_sequence = self._sequence
        self._checksum ^= entry.fingerprint
        entry.fingerprint = 0 if entry.suspected else _fingerprint(entry)
        self._checksum ^= entry.fingerprint
        self._index = self._size = None

    def _build_index(self) -> dict[str, tuple[record.UpstreamRecord, ...]]:
        with self._lock:
            found: dict[str, list[record.UpstreamRecord]] = {}
            for entry in self._entries.values():
                if entry.record.state is record.State.READY and not entry.lost:
                    found.setdefault(entry.record.service, []).append(entry.record)
            self._index = {service: tuple(records) for service, records in found.items()}
            return self._index

    def _tell(self, entry: _Entry, change: Change) -> None:
        for callback in self._listeners:
            callback(entry.record, change)


def _fingerprint(entry: _Entry) -> int:
    position = f"{entry.record.host} {entry.record.incarnation} {entry.detail_version}"
    return xxhash.xxh64_intdigest(position.encode())


def _news(entry: _Entry, since: int) -> News | Brief:
    if entry.detail_sequence > since:
        return News(entry.record, entry.detail_version, entry.suspected)
    found = entry.record
    return Brief(
        found.host,
        found.incarnation,
        found.version,
        entry.detail_version,
        found.load,
        entry.suspected,
    )
