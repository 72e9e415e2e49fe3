"""Builds and processes gossip messages; opens no connection.

Each end of a link keeps a cursor: how much of its own change log the other end has confirmed, and
how much of the other end's log it has received. So each update is sent over a link about once. Two
nodes with equal checksums set their cursors to the end of the logs without sending any update.
"""

import threading
from collections.abc import Iterable, Sequence
from typing import Protocol

import attrs
import xxhash

from bergamotridge import errors, malformed
from bergamotridge.nodes import change_log, gossip_pb2, membership, record, replica_version
from bergamotridge.store import replica
from bergamotridge.util import fields, hlc

MAX_UPDATES_PER_MESSAGE = 150
MAX_WITHDRAWALS_PER_MESSAGE = 500
MAX_CURSORS = 256
MAX_SKIPPED_HOSTS = 256
SOURCE = "gossip"  # Of records and stamps that cannot be read.
# Consecutive messages without updates but with different checksums, before all is sent again.
MISMATCHES_UNTIL_RESYNC = 5


class Withdrawals(Protocol):
    """Set of withdrawn keys whose withdrawal has not yet been read from the platform."""

    @property
    def pending(self) -> frozenset[str]:
        """Ids of the keys."""

    def withdraw_all(self, key_ids: Iterable[str]) -> bool:
        """Withdraws keys; returns True if any of them was not withdrawn before."""


@attrs.frozen
class StaleReplica:
    """A local replica of which a peer has a higher version.

    Attributes:
        kind: Kind of the objects.
        version: Version that the peer has.
    """

    kind: str
    version: replica.ReplicaVersion


@attrs.frozen
class ReceiveResult:
    """What the receiver of a message has to do next.

    Attributes:
        session: Session of the sender, to which the answer is addressed.
        stale_replicas: Replicas of which the sender has a higher version.
        more: True if the sender has further updates that did not fit into the message.
    """

    session: int
    stale_replicas: tuple[StaleReplica, ...]
    more: bool


@attrs.define
class _Cursor:
    """State of the exchange with one session of a peer.

    Attributes:
        host: Host of the peer.
        confirmed_sequence: Number up to which the peer has confirmed this node's log.
        received_sequence: Number up to which this node has the peer's log.
        checksum_mismatches: Consecutive messages without updates but with different checksums.
        withdrawn_checksum: Checksum over the withdrawn keys that the peer has.
        withdrawn_offset: Index at which the next page of withdrawn keys starts.
    """

    host: str
    confirmed_sequence: int = 0
    received_sequence: int = 0
    checksum_mismatches: int = 0
    withdrawn_checksum: int = 0
    withdrawn_offset: int = 0


class Exchange:
    """Keeps the cursors of all links of this node."""

    def __init__(
        self,
        members: membership.Membership,
        replicas: Sequence[replica.Replica],
        withdrawals: Withdrawals,
        session: int,
        clock: hlc.HybridClock | None = None,
        max_updates: int = MAX_UPDATES_PER_MESSAGE,
        on_malformed: malformed.OnMalformed = malformed.ignore,
    ) -> None:
        """Initializes the exchange without any cursor.

        Args:
            members: Membership whose updates are sent and which received updates are merged into.
            replicas: Replicas whose versions are compared with those of the peers.
            withdrawals: Withdrawn keys to send to the peers.
            session: Random number that identifies this process, not 0.
            clock: Hybrid logical clock whose stamps are sent with the messages.
            max_updates: Maximum number of membership updates in one message.
            on_malformed: Called with a report of each record that cannot be read.
        """
        self._on_malformed = on_malformed
        # Hosts whose latest record could not be read, oldest first; the values are not used.
        self._skipped_hosts: dict[str, None] = {}
        self._members = members
        self._replicas = tuple(replicas)
        self._withdrawals = withdrawals
        self._session = session
        self._clock = clock
        self._max_updates = max_updates
        self._lock = threading.Lock()
        self._cursors: dict[int, _Cursor] = {}
        self._sessions: dict[str, int] = {}

    @property
    def withdrawn(self) -> frozenset[str]:
        """Withdrawn keys that still have to be sent to the peers."""
        return self._withdrawals.pending

    def session_of(self, host: str) -> int:
        """Returns the latest known session of a host, 0 if there is none."""
        with self._lock:
            return self._sessions.get(host, 0)

    def build_message(self, session: int, now_ms: int) -> gossip_pb2.GossipMessage:
        """Returns the next message for a peer.

        Args:
            session: Session of the receiving process, 0 on first contact.
            now_ms: Wall-clock time in milliseconds for the stamp.
        """
        own = self._members.own
        message = gossip_pb2.GossipMessage(
            host=own.host,
            control_address=own.control_address,
            session=self._session,
            receiver_session=session,
        )
        for local_replica in self._replicas:
            item = message.versions.add(kind=local_replica.kind)
            replica_version.write(item, local_replica.version)
        if self._clock is not None:
            message.stamp = str(self._clock.stamp(now_ms))
        with self._lock:
            self._add_updates(message, self._cursors.get(session))
        return message

    def build_withdrawal(self, host: str, key_id: str, now_ms: int) -> gossip_pb2.GossipMessage:
        """Returns a message for a host that holds the id of a withdrawn key in any case.

        A process that has answered it has withdrawn the key.
        """
        message = self.build_message(self.session_of(host), now_ms)
        if key_id not in message.withdrawn:
            message.withdrawn.append(key_id)
        return message

    def process_message(self, message: gossip_pb2.GossipMessage, now: float) -> ReceiveResult:
        """Processes a message from a peer; `now` is monotonic time in seconds."""
        self._observe_stamp(message)
        with self._lock:
            cursor = self._get_or_create_cursor(message)
            self._update_confirmed_sequence(cursor, message)
            self._merge_updates(cursor, message, now)
            cursor.withdrawn_checksum = message.withdrawn_checksum
        if message.withdrawn:
            self._withdrawals.withdraw_all(message.withdrawn)
        own_versions = {
            local_replica.kind: local_replica.version for local_replica in self._replicas
        }
        peer_versions = [(item.kind, replica_version.read(item)) for item in message.versions]
        stale_replicas = tuple(
            StaleReplica(kind, version)
            for kind, version in peer_versions
            if kind in own_versions and version > own_versions[kind]
        )
        return ReceiveResult(message.session, stale_replicas, message.more)

    def _observe_stamp(self, message: gossip_pb2.GossipMessage) -> None:
        if self._clock is None or not message.stamp:
            return
        try:
            self._clock.observe(hlc.parse(message.stamp))
        except ValueError as error:
            self._on_malformed(malformed.MalformedEntry(SOURCE, message.host, error))

    def _add_updates(self, message: gossip_pb2.GossipMessage, cursor: _Cursor | None) -> None:
        message.checksum = self._members.checksum
        if cursor is None:
            # The receiver may have all updates already; the checksum in its answer shows it.
            message.sequence_from = message.sequence_to = self._members.sequence
        else:
            delta = self._members.delta(
                cursor.confirmed_sequence, message.receiver_session, self._max_updates
            )
            message.acknowledged = cursor.received_sequence
            message.sequence_from = cursor.confirmed_sequence
            message.sequence_to = delta.sequence
            message.more = delta.more
            for item in delta.updates:
                _add_item(message, item)
        pending = self._withdrawals.pending
        message.withdrawn_checksum = _combine_hashes(pending)
        if cursor is not None and cursor.withdrawn_checksum != message.withdrawn_checksum:
            message.withdrawn.extend(_next_withdrawals(sorted(pending), cursor))

    def _get_or_create_cursor(self, message: gossip_pb2.GossipMessage) -> _Cursor:
        cursor = self._cursors.pop(message.session, None) or _Cursor(message.host)
        self._cursors[message.session] = cursor
        self._sessions[message.host] = message.session
        if len(self._cursors) > MAX_CURSORS:
            oldest = next(iter(self._cursors))
            evicted = self._cursors.pop(oldest)
            if self._sessions.get(evicted.host) == oldest:
                del self._sessions[evicted.host]
        return cursor

    def _update_confirmed_sequence(
        self, cursor: _Cursor, message: gossip_pb2.GossipMessage
    ) -> None:
        """Sets the cursor to what the sender of a message has of this node's log.

        If the checksums are equal, both nodes agree on the details of all unsuspected hosts. Parts
        of the logs that were not sent yet then count as received.
        """
        session_matches = message.receiver_session == self._session
        cursor.confirmed_sequence = (
            min(message.acknowledged, self._members.sequence) if session_matches else 0
        )
        if message.checksum != self._members.checksum:
            return
        if cursor.confirmed_sequence == 0:
            cursor.confirmed_sequence = self._members.sequence
        if cursor.received_sequence < message.sequence_from:
            cursor.received_sequence = message.sequence_to

    def _merge_updates(
        self, cursor: _Cursor, message: gossip_pb2.GossipMessage, now: float
    ) -> None:
        updates = self._read_updates(message)
        complete = self._members.merge(updates, message.session, now)
        if not complete:
            cursor.received_sequence = 0
        elif message.sequence_from <= cursor.received_sequence:
            cursor.received_sequence = max(cursor.received_sequence, message.sequence_to)
        quiet = not updates and cursor.confirmed_sequence == self._members.sequence
        mismatch = message.checksum != self._members.checksum
        cursor.checksum_mismatches = cursor.checksum_mismatches + 1 if quiet and mismatch else 0
        if cursor.checksum_mismatches >= MISMATCHES_UNTIL_RESYNC:
            cursor.checksum_mismatches = cursor.confirmed_sequence = cursor.received_sequence = 0

    def _read_updates(
        self, message: gossip_pb2.GossipMessage
    ) -> list[change_log.RecordUpdate | change_log.BriefUpdate]:
        """Returns the updates in a message, without those that cannot be read.

        Left out are also the briefs of a host whose record was: this node would ask for its details
        with each message.
        """
        updates: list[change_log.RecordUpdate | change_log.BriefUpdate] = []
        for item in message.records:
            try:
                updates.append(_decode_record(item))
                self._skipped_hosts.pop(item.host, None)
            except errors.MalformedEntryError as error:
                self._skip_host(item.host)
                self._on_malformed(malformed.MalformedEntry(SOURCE, item.host, error))
        for item in message.briefs:
            try:
                brief = _decode_brief(item)
            except errors.MalformedEntryError as error:
                self._on_malformed(malformed.MalformedEntry(SOURCE, item.host, error))
                continue
            if brief.host not in self._skipped_hosts:
                updates.append(brief)
        return updates

    def _skip_host(self, host: str) -> None:
        self._skipped_hosts[host] = None
        if len(self._skipped_hosts) > MAX_SKIPPED_HOSTS:
            del self._skipped_hosts[next(iter(self._skipped_hosts))]


def _add_item(
    message: gossip_pb2.GossipMessage, item: change_log.RecordUpdate | change_log.BriefUpdate
) -> None:
    if isinstance(item, change_log.BriefUpdate):
        message.briefs.add(**attrs.asdict(item))
        return
    fields = attrs.asdict(item.record)
    fields["state"] = item.record.state.value
    message.records.add(detail_version=item.detail_version, suspected=item.suspected, **fields)


def _decode_record(item: gossip_pb2.MemberRecord) -> change_log.RecordUpdate:
    decoded = record.UpstreamRecord(
        host=item.host,
        incarnation=item.incarnation,
        version=item.version,
        failure_domain=item.failure_domain,
        region=item.region,
        service=item.service,
        state=_parse_state(item.state),
        slots=item.slots,
        load=item.load,
        relay_address=item.relay_address,
        control_address=item.control_address,
        operators_address=item.operators_address,
        left_instance=item.left_instance,
        left_incarnation=item.left_incarnation,
    )
    record.check(decoded)
    record.check_order(item.incarnation, item.detail_version)
    return change_log.RecordUpdate(decoded, item.detail_version, item.suspected)


def _decode_brief(item: gossip_pb2.MemberBrief) -> change_log.BriefUpdate:
    record.check_order(item.incarnation, item.version)
    record.check_order(item.incarnation, item.detail_version)
    fields.number("load", item.load, 0.0, record.MAX_LOAD)
    return change_log.BriefUpdate(
        item.host,
        item.incarnation,
        item.version,
        item.detail_version,
        item.load,
        item.suspected,
    )


def _next_withdrawals(key_ids: Sequence[str], cursor: _Cursor) -> Sequence[str]:
    """Returns the next page of withdrawn key ids for a peer; the pages repeat from the start."""
    start = cursor.withdrawn_offset if cursor.withdrawn_offset < len(key_ids) else 0
    cursor.withdrawn_offset = start + MAX_WITHDRAWALS_PER_MESSAGE
    return key_ids[start : start + MAX_WITHDRAWALS_PER_MESSAGE]


def _parse_state(name: str) -> record.State:
    """Returns the state with a name; an unknown one, of a later release, is read as LOST.

    So upstreams in a state that this release does not know get no calls.
    """
    try:
        return record.State(name)
    except ValueError:
        return record.State.LOST


def _combine_hashes(key_ids: Iterable[str]) -> int:
    """Returns a checksum over a set of key ids that does not depend on their order."""
    checksum = 0
    for key_id in key_ids:
        checksum ^= xxhash.xxh64_intdigest(key_id.encode())
    return checksum
