"""Fleet membership: one record per host, ordered by incarnation and version, and host suspicion.

Follows SWIM (Das, Gupta, Motivala, 2002): a host that does not answer is marked as suspected, the
suspicion is spread by gossip like any other update, and the suspected host refutes it by publishing
a higher version of its record.
"""

import enum
import threading
from collections.abc import Callable, Iterable, Sequence

import attrs

from bergamotridge.nodes import change_log, leaves, record
from bergamotridge.util import fields

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
        self._log = change_log.ChangeLog()
        self._ready_by_service: dict[str, tuple[record.UpstreamRecord, ...]] | None = None
        self._size: int | None = None
        self._forgotten_leaves = leaves.ForgottenLeaves()
        self._listeners: list[Callable[[record.UpstreamRecord, Change], None]] = []
        self._announced_at: float | None = None
        self._load_published_at = float("-inf")
        self._store(
            change_log.Entry(own, own.version, change_log.LOCAL_SESSION), details_changed=True
        )

    @property
    def own(self) -> record.UpstreamRecord:
        """The record of this host."""
        return self._log.get(self._host).record

    @property
    def sequence(self) -> int:
        """Sequence number of the latest entry in this node's change log."""
        return self._log.sequence

    @property
    def checksum(self) -> int:
        """Hash over the details of all unsuspected hosts; equal on nodes that agree on them."""
        return self._log.checksum

    def add_listener(self, callback: Callable[[record.UpstreamRecord, Change], None]) -> None:
        """Registers a callback for changes of records in anything but the load.

        Callbacks run in the thread that makes the change, with the lock held, so they must return
        quickly.
        """
        self._listeners.append(callback)

    def members(self) -> Sequence[record.UpstreamRecord]:
        """Returns the records of all hosts that are not lost, this one included."""
        with self._lock:
            return tuple(entry.record for entry in self._log.entries() if not entry.lost)

    def size(self) -> int:
        """Returns the number of hosts that are not lost, this one included."""
        size = self._size
        if size is None:
            with self._lock:
                size = sum(not entry.lost for entry in self._log.entries())
                self._size = size
        return size

    def lost(self) -> Sequence[record.UpstreamRecord]:
        """Returns the records of hosts that are lost and whose records are not yet deleted."""
        with self._lock:
            return tuple(entry.record for entry in self._log.entries() if entry.lost)

    def out_of_touch(self) -> Sequence[record.UpstreamRecord]:
        """Returns the records of hosts that may have a new process which knows of no other.

        These are the hosts that are suspected, and those that have published LOST, as a node does
        when it stops, this one excluded. Those in `lost` are not among them.
        """
        with self._lock:
            return tuple(
                entry.record
                for entry in self._log.entries()
                if not entry.lost
                and entry.record.host != self._host
                and (entry.suspected or entry.record.state is record.State.LOST)
            )

    def candidates(self, service: str) -> Sequence[record.UpstreamRecord]:
        """Returns the records of the upstreams of a service that are ready and not lost."""
        index = self._ready_by_service
        if index is None:
            index = self._build_ready_by_service()
        return index.get(service, ())

    def forgotten_leave(self, host: str, now: float) -> leaves.Leave | None:
        """Returns the leave of an upstream that the process on a host may not know of.

        Args:
            host: Name of the host.
            now: Monotonic time in seconds.
        """
        with self._lock:
            return self._forgotten_leaves.of(host, now)

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

    def record_leave(self, instance: str, incarnation: int, now: float) -> None:
        """Publishes which upstream on this host has said that it leaves.

        Other nodes keep that for a process that follows this one.

        Args:
            instance: Id of the upstream, "" if it has none.
            incarnation: Number of its start.
            now: Monotonic time in seconds.
        """
        with self._lock:
            own = self.own
            if (own.left_instance, own.left_incarnation) != (instance, incarnation):
                self._publish(now, left_instance=instance, left_incarnation=incarnation)

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
            for entry in [item for item in self._log.entries() if item.suspected]:
                self._check_suspicion(entry, now)

    def suspect(self, host: str, now: float) -> None:
        """Marks a host that did not answer this node as suspected."""
        with self._lock:
            entry = self._log.get(host)
            if entry is not None and host != self._host and not entry.suspected:
                self._suspect(entry, change_log.LOCAL_SESSION, now)

    def merge(
        self,
        updates: Iterable[change_log.RecordUpdate | change_log.BriefUpdate],
        source: int,
        now: float,
    ) -> bool:
        """Merges updates from a peer.

        Args:
            updates: Whole records and briefs in any order; outdated ones are ignored.
            source: Session of the process that sent them; they are not sent back to it.
            now: Monotonic time in seconds.

        Returns:
            False if a brief refers to details that this node does not have.
        """
        with self._lock:
            complete = True
            for item in updates:
                if isinstance(item, change_log.RecordUpdate):
                    self._merge_record(item, source, now)
                else:
                    complete = self._merge_brief(item, source, now) and complete
            return complete

    def delta(self, since: int, receiver: int, limit: int) -> change_log.Delta:
        """Returns the updates after a sequence number that a receiver needs.

        See `change_log.ChangeLog.delta`.
        """
        with self._lock:
            return self._log.delta(since, receiver, limit)

    def _load_needs_publishing(self, load: float, now: float) -> bool:
        large_step = abs(load - self.own.load) >= self._timings.load_step
        return large_step and now - self._load_published_at >= self._timings.load_interval_s

    def _publish(self, now: float, **changes: object) -> None:
        entry = self._log.get(self._host)
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

    def _check_suspicion(self, entry: change_log.Entry, now: float) -> None:
        age_s = now - entry.suspected_at
        if not entry.lost and age_s >= self._timings.suspect_s:
            entry.lost = True
            self._ready_by_service = self._size = None
            self._notify_listeners(entry, Change.LOST)
        elif entry.lost and age_s >= self._timings.forget_s:
            self._log.remove(entry.record.host)
            self._size = None
            self._notify_listeners(entry, Change.FORGOTTEN)

    def _merge_record(self, item: change_log.RecordUpdate, source: int, now: float) -> None:
        host = item.record.host
        entry = self._log.get(host)
        if host == self._host:
            self._refute(item.record.order, item.suspected, now)
        elif entry is None:
            # A suspected host whose record was deleted here must not be added again by peers that
            # still have it.
            if not item.suspected:
                entry = change_log.Entry(item.record, item.detail_version, source)
                self._store(entry, details_changed=True)
                self._notify_listeners(entry, Change.JOINED)
        elif (*item.record.order, item.suspected) > entry.precedence:
            known = (entry.record.incarnation, entry.detail_version)
            details_changed = known != (item.record.incarnation, item.detail_version)
            self._forgotten_leaves.record(entry.record, item.record, now)
            entry.record, entry.detail_version = item.record, item.detail_version
            self._store_update(entry, item.suspected, source, now, details_changed=details_changed)

    def _merge_brief(self, item: change_log.BriefUpdate, source: int, now: float) -> bool:
        entry = self._log.get(item.host)
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
        self,
        entry: change_log.Entry,
        suspected: bool,
        source: int,
        now: float,
        *,
        details_changed: bool,
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
        self, entry: change_log.Entry, source: int, now: float, *, details_changed: bool = False
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
        incarnation, version = received_order
        if incarnation != own.incarnation or version >= record.MAX_REFUTED_VERSION:
            incarnation = min(incarnation + 1, fields.MAX_START_MS)
        # A version beyond the one that others accept would outrank whatever this host publishes.
        if incarnation > received_order[0]:
            version = own.version
        version = max(version, own.version)
        self._log.get(self._host).record = attrs.evolve(
            own, incarnation=incarnation, version=version
        )
        self._publish(now, state=own.state)

    def _store(self, entry: change_log.Entry, *, details_changed: bool) -> None:
        self._log.store(entry, details_changed=details_changed)
        self._ready_by_service = self._size = None

    def _build_ready_by_service(self) -> dict[str, tuple[record.UpstreamRecord, ...]]:
        with self._lock:
            by_service: dict[str, list[record.UpstreamRecord]] = {}
            for entry in self._log.entries():
                if entry.record.state is record.State.READY and not entry.lost:
                    by_service.setdefault(entry.record.service, []).append(entry.record)
            self._ready_by_service = {
                service: tuple(records) for service, records in by_service.items()
            }
            return self._ready_by_service

    def _notify_listeners(self, entry: change_log.Entry, change: Change) -> None:
        for callback in self._listeners:
            callback(entry.record, change)
