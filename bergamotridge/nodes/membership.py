"""Fleet membership: one record per host, ordered by incarnation and version, and host suspicion.

Follows SWIM (Das, Gupta, Motivala, 2002): a host that does not answer is marked as suspected, the
suspicion is spread by gossip like any other update, and the suspected host refutes it by publishing
a higher version of its record.
"""

import enum
import threading
from collections.abc import Callable, Iterable, Sequence

import attrs
import xxhash

from bergamotridge.nodes import record

MISSED_HEARTBEATS_UNTIL_LOST = 3


class Change(enum.Enum):
    """Kind of change to a record that listeners are notified of."""

    JOINED = "joined"
    CHANGED = "changed"
    SUSPECTED = "suspected"
    LOST = "lost"
    FORGOTTEN = "forgotten"


@attrs.frozen
class MembershipTimings:
    """Intervals and thresholds of membership decisions.

    Attributes:
        heartbeat_s: Seconds between two announcements (heartbeats) of the local upstream.
        suspect_s: Seconds in which a suspected host can refute the suspicion before it is lost.
        forget_s: Seconds after the suspicion at which the record of a lost host is deleted.
        load_interval_s: Minimum seconds between two versions that differ only in load.
        load_step: Minimum change of the load, as a fraction of the limit, that is published
            as a new version.
    """

    heartbeat_s: float = 0.5
    suspect_s: float = 4.0
    forget_s: float = 3600.0
    load_interval_s: float = 10.0
    load_step: float = 0.25


@attrs.frozen
class BriefUpdate:
    """Update for a host whose details the receiver already has: a new load or a suspicion.

    Attributes:
        host: The host.
        incarnation: Incarnation of its record.
        version: Version of its record.
        detail_version: Latest version in which something other than the load changed.
        load: Load of its upstream, as in `UpstreamRecord`.
        suspected: True if a node got no answer from the host while this version was the latest.
    """

    host: str
    incarnation: int
    version: int
    detail_version: int
    load: float
    suspected: bool


@attrs.frozen
class RecordUpdate:
    """Update that carries the whole record of a host; the other fields are as in `BriefUpdate`."""

    record: record.UpstreamRecord
    detail_version: int
    suspected: bool


@attrs.frozen
class Delta:
    """Updates after a sequence number of this node's change log.

    Attributes:
        updates: Whole records and briefs, oldest first.
        sequence: Sequence number up to which the receiver has the log once it has these updates.
        more: True if the size limit left out further updates.
    """

    updates: tuple[RecordUpdate | BriefUpdate, ...]
    sequence: int
    more: bool


@attrs.define
class _Entry:
    """This node's record of one host, with its place in the change log.

    Attributes:
        record: The latest record of the host.
        detail_version: As in `BriefUpdate`.
        source: Host from which the latest update came.
        sequence: Sequence number of the latest change.
        detail_sequence: Sequence number of the latest change of something other than the load.
        suspected_at: Monotonic time in seconds at which this node learned of the latest suspicion,
            None if the host is not suspected.
        lost: True if the host has not refuted the suspicion in time.
        fingerprint: What this entry contributes to the checksum, 0 while the host is suspected.
    """

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
        """True if the host is under a suspicion that it has not refuted."""
        return self.suspected_at is not None

    def sequence_for(self, since: int) -> int:
        """Returns the sequence number that orders this entry for a receiver.

        The receiver has the log up to `since`. If it lacks the details, this is the number of the
        last change of the details: a later change of the load alone must not move them behind the
        end of a page.
        """
        return self.detail_sequence if self.detail_sequence > since else self.sequence

    @property
    def precedence(self) -> tuple[int, int, bool]:
        """Sort key of updates of the same host; the one with the higher key replaces the other."""
        return (*self.record.order, self.suspected)


class Membership:
    """Records of all known hosts, this host included; safe to use from any thread."""

    def __init__(self, own: record.UpstreamRecord, timings: MembershipTimings) -> None:
        """Starts with only the record of this host.

        Args:
            own: Record of this host; its service may be "" until the upstream announces itself.
            timings: Intervals and thresholds.
        """
        self._timings = timings
        self._host = own.host
        self._lock = threading.RLock()
        self._sequence = 0
        self._checksum = 0
        self._entries: dict[str, _Entry] = {}
        self._ready_by_service: dict[str, tuple[record.UpstreamRecord, ...]] | None = None
        self._size: int | None = None
        self._listeners: list[Callable[[record.UpstreamRecord, Change], None]] = []
        self._announced_at: float | None = None
        self._load_published_at = float("-inf")
        self._store(_Entry(own, own.version, own.host), details_changed=True)

    @property
    def own(self) -> record.UpstreamRecord:
        """The record of this host."""
        return self._entries[self._host].record

    @property
    def sequence(self) -> int:
        """Sequence number of the latest entry in this node's change log."""
        return self._sequence

    @property
    def checksum(self) -> int:
        """Hash over the details of all unsuspected hosts; equal on nodes that agree on them."""
        return self._checksum

    def add_listener(self, callback: Callable[[record.UpstreamRecord, Change], None]) -> None:
        """Registers a callback for changes of records in anything but the load.

        Callbacks run in the thread that makes the change, with the lock held, so they must return
        quickly.
        """
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
        """Returns the records of hosts that are lost and whose records are not yet deleted."""
        with self._lock:
            return tuple(entry.record for entry in self._entries.values() if entry.lost)

    def candidates(self, service: str) -> Sequence[record.UpstreamRecord]:
        """Returns the records of the upstreams of a service that are ready and not lost."""
        index = self._ready_by_service
        if index is None:
            index = self._build_ready_by_service()
        return index.get(service, ())

    def announce(
        self, service: str, state: record.State, slots: int, load: float, now: float
    ) -> None:
        """Processes an announcement of the local upstream, which also counts as its heartbeat.

        Args:
            service: Service of the upstream.
            state: State of the upstream.
            slots: Calls that the upstream can run at once.
            load: Load as in `UpstreamRecord`.
            now: Monotonic time in seconds.
        """
        with self._lock:
            self._announced_at = now
            own = self.own
            if (own.service, own.state, own.slots) != (service, state, slots):
                self._publish(now, service=service, state=state, slots=slots, load=load)
            elif self._load_needs_publishing(load, now):
                self._publish(now, load=load)

    def publish_lost(self, now: float) -> None:
        """Publishes the state LOST for this host, so that it gets no more calls.

        This is the last update that the process publishes.
        """
        with self._lock:
            self._announced_at = None
            self._publish(now, state=record.State.LOST)

    def tick(self, now: float) -> None:
        """Applies all timeouts.

        Publishes the state LOST for this host if its upstream has missed heartbeats, marks hosts
        as lost that have not refuted a suspicion, and deletes old records of lost hosts.
        """
        with self._lock:
            self._check_heartbeat(now)
            for entry in [item for item in self._entries.values() if item.suspected]:
                self._check_suspicion(entry, now)

    def suspect(self, host: str, now: float) -> None:
        """Marks a host that did not answer this node as suspected."""
        with self._lock:
            entry = self._entries.get(host)
            if entry is not None and host != self._host and not entry.suspected:
                self._suspect(entry, self._host, now)

    def merge(self, updates: Iterable[RecordUpdate | BriefUpdate], source: str, now: float) -> bool:
        """Merges updates from a peer.

        Args:
            updates: Whole records and briefs in any order; outdated ones are ignored.
            source: Host that sent them; the updates are not sent back to it.
            now: Monotonic time in seconds.

        Returns:
            False if a brief refers to details that this node does not have.
        """
        with self._lock:
            complete = True
            for item in updates:
                if isinstance(item, RecordUpdate):
                    self._merge_record(item, source, now)
                else:
                    complete = self._merge_brief(item, source, now) and complete
            return complete

    def delta(self, since: int, receiver: str, limit: int) -> Delta:
        """Returns the updates after a sequence number that a receiver needs.

        Args:
            since: Sequence number up to which the receiver has the log.
            receiver: Host that the updates are for; those that it sent itself are left out.
            limit: Maximum number of updates.
        """
        with self._lock:
            unseen = []
            for entry in reversed(self._entries.values()):
                if entry.sequence <= since:
                    break
                if entry.source != receiver:
                    unseen.append(entry)
            unseen.sort(key=lambda entry: entry.sequence_for(since))
            page = unseen[:limit]
            more = len(unseen) > limit
            sequence = page[-1].sequence_for(since) if more else self._sequence
            return Delta(tuple(_build_update(entry, since) for entry in page), sequence, more)

    def _load_needs_publishing(self, load: float, now: float) -> bool:
        large_step = abs(load - self.own.load) >= self._timings.load_step
        return large_step and now - self._load_published_at >= self._timings.load_interval_s

    def _publish(self, now: float, **changes: object) -> None:
        entry = self._entries[self._host]
        details_changed = changes.keys() != {"load"}
        version = entry.record.version + 1
        entry.record = attrs.evolve(entry.record, version=version, **changes)
        entry.detail_version = version if details_changed else entry.detail_version
        self._load_published_at = now
        self._store(entry, details_changed=details_changed)
        if details_changed:
            self._notify_listeners(entry, Change.CHANGED)

    def _check_heartbeat(self, now: float) -> None:
        if self._announced_at is None or self.own.state is record.State.LOST:
            return
        if now - self._announced_at > MISSED_HEARTBEATS_UNTIL_LOST * self._timings.heartbeat_s:
            self._publish(now, state=record.State.LOST)

    def _check_suspicion(self, entry: _Entry, now: float) -> None:
        age_s = now - entry.suspected_at
        if not entry.lost and age_s >= self._timings.suspect_s:
            entry.lost = True
            self._ready_by_service = self._size = None
            self._notify_listeners(entry, Change.LOST)
        elif entry.lost and age_s >= self._timings.forget_s:
            del self._entries[entry.record.host]
            self._size = None
            self._notify_listeners(entry, Change.FORGOTTEN)

    def _merge_record(self, item: RecordUpdate, source: str, now: float) -> None:
        host = item.record.host
        entry = self._entries.get(host)
        if host == self._host:
            self._refute(item.record.order, item.suspected, now)
        elif entry is None:
            # A suspected host whose record was deleted here must not be added again by peers that
            # still have it.
            if not item.suspected:
                entry = _Entry(item.record, item.detail_version, source)
                self._store(entry, details_changed=True)
                self._notify_listeners(entry, Change.JOINED)
        elif (*item.record.order, item.suspected) > entry.precedence:
            known = (entry.record.incarnation, entry.detail_version)
            details_changed = known != (item.record.incarnation, item.detail_version)
            entry.record, entry.detail_version = item.record, item.detail_version
            self._store_update(entry, item.suspected, source, now, details_changed=details_changed)

    def _merge_brief(self, item: BriefUpdate, source: str, now: float) -> bool:
        entry = self._entries.get(item.host)
        if item.host == self._host:
            self._refute((item.incarnation, item.version), item.suspected, now)
        elif entry is None:
            return item.suspected
        elif (item.incarnation, item.version, item.suspected) > entry.precedence:
            known = (entry.record.incarnation, entry.detail_version)
            if known != (item.incarnation, item.detail_version):
                return False
            entry.record = attrs.evolve(entry.record, version=item.version, load=item.load)
            self._store_update(entry, item.suspected, source, now, details_changed=False)
        return True

    def _store_update(
        self, entry: _Entry, suspected: bool, source: str, now: float, *, details_changed: bool
    ) -> None:
        """Stores an entry whose record was replaced by a later version."""
        entry.source = source
        if suspected:
            self._suspect(entry, source, now, details_changed=details_changed)
            return
        was_suspected = entry.suspected
        entry.suspected_at, entry.lost = None, False
        self._store(entry, details_changed=details_changed)
        if details_changed or was_suspected:
            self._notify_listeners(entry, Change.CHANGED)

    def _suspect(
        self, entry: _Entry, source: str, now: float, *, details_changed: bool = False
    ) -> None:
        entry.source, entry.suspected_at, entry.lost = source, now, False
        self._store(entry, details_changed=details_changed)
        self._notify_listeners(entry, Change.SUSPECTED)

    def _refute(self, received_order: tuple[int, int], suspected: bool, now: float) -> None:
        """Publishes a higher version if a peer sent a suspicion or a newer record of this host.

        An update with a higher incarnation is from an earlier process on this host whose clock was
        ahead.
        """
        own = self.own
        if received_order < own.order or (received_order == own.order and not suspected):
            return
        incarnation = (
            received_order[0] if received_order[0] == own.incarnation else received_order[0] + 1
        )
        version = max(received_order[1], own.version)
        self._entries[self._host].record = attrs.evolve(
            own, incarnation=incarnation, version=version
        )
        self._publish(now, state=own.state)

    def _store(self, entry: _Entry, *, details_changed: bool) -> None:
        """Moves a changed entry to the end of the log and updates the checksum."""
        self._entries.pop(entry.record.host, None)
        self._entries[entry.record.host] = entry
        self._sequence += 1
        entry.sequence = self._sequence
        if details_changed:
            entry.detail_sequence = self._sequence
        self._checksum ^= entry.fingerprint
        entry.fingerprint = 0 if entry.suspected else _fingerprint(entry)
        self._checksum ^= entry.fingerprint
        self._ready_by_service = self._size = None

    def _build_ready_by_service(self) -> dict[str, tuple[record.UpstreamRecord, ...]]:
        with self._lock:
            by_service: dict[str, list[record.UpstreamRecord]] = {}
            for entry in self._entries.values():
                if entry.record.state is record.State.READY and not entry.lost:
                    by_service.setdefault(entry.record.service, []).append(entry.record)
            self._ready_by_service = {
                service: tuple(records) for service, records in by_service.items()
            }
            return self._ready_by_service

    def _notify_listeners(self, entry: _Entry, change: Change) -> None:
        for callback in self._listeners:
            callback(entry.record, change)


def _fingerprint(entry: _Entry) -> int:
    identity = f"{entry.record.host} {entry.record.incarnation} {entry.detail_version}"
    return xxhash.xxh64_intdigest(identity.encode())


def _build_update(entry: _Entry, since: int) -> RecordUpdate | BriefUpdate:
    if entry.detail_sequence > since:
        return RecordUpdate(entry.record, entry.detail_version, entry.suspected)
    upstream = entry.record
    return BriefUpdate(
        upstream.host,
        upstream.incarnation,
        upstream.version,
        entry.detail_version,
        upstream.load,
        entry.suspected,
    )
