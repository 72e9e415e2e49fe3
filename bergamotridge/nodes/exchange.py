"""Builds and takes in the messages of gossip; opens no connection.

Both ends of a link keep a cursor: how much of the own log of news the other end has confirmed, and
how much of the other's log is known here. So each piece of news crosses a link about once. Two
nodes with equal checksums set their cursors without sending anything.
"""

import threading
from collections.abc import Iterable, Sequence
from typing import Protocol

import attrs
import xxhash

from bergamotridge.nodes import gossip_pb2, membership, record
from bergamotridge.store import replica
from bergamotridge.util import hlc

MESSAGE_NEWS = 150
MESSAGE_WITHDRAWALS = 500
MAX_CURSORS = 256
RESYNC_AFTER = 5  # Quiet messages in a row with unequal checksums.


class Withdrawals(Protocol):
    """Withdrawn keys that the platform has not shown yet."""

    @property
    def pending(self) -> frozenset[str]:
        """Ids of the keys."""

    def withdraw_all(self, key_ids: Iterable[str]) -> bool:
        """Withdraws keys; returns True if any was news."""


@attrs.frozen
class Behind:
    """A replica of which a peer has a higher version."""

    kind: str
    version: int


@attrs.frozen
class Received:
    """What a message asks for.

    Attributes:
        session: Session of the sender, for the answer.
        behind: Replicas of which the sender has a higher version.
        more: True if the sender has more news to send at once.
    """

    session: int
    behind: tuple[Behind, ...]
    more: bool


@attrs.define
class _Cursor:
    host: str
    sent: int = 0
    got: int = 0
    unequal: int = 0
    withdrawn_checksum: int = 0
    withdrawn_sent: int = 0


class Exchange:
    """Keeps the cursors of all links of this node."""

    def __init__(
        self,
        members: membership.Membership,
        replicas: Sequence[replica.Replica],
        withdrawals: Withdrawals,
        session: int,
        clock: hlc.HybridClock | None = None,
        page: int = MESSAGE_NEWS,
    ) -> None:
        """Prepares the exchange of news.

        Args:
            members: Membership to bring up to date and to tell from.
            replicas: Replicas whose versions are compared.
            withdrawals: Withdrawn keys to spread.
            session: Random number of this process, not 0.
            clock: Clock whose stamps travel with the messages.
            page: Most news in one message.
        """
        self._members = members
        self._replicas = tuple(replicas)
        self._withdrawals = withdrawals
        self._session = session
        self._clock = clock
        self._page = page
        self._lock = threading.Lock()
        self._cursors: dict[int, _Cursor] = {}
        self._sessions: dict[str, int] = {}

    @property
    def withdrawn(self) -> frozenset[str]:
        """Withdrawn keys that are still to be spread."""
        return self._withdrawals.pending

    def session_of(self, host: str) -> int:
        """Returns the latest known session of a host, 0 if there is none."""
        with self._lock:
            return self._sessions.get(host, 0)

    def build(self, session: int, now_ms: int) -> gossip_pb2.GossipMessage:
        """Returns the next message for the process with a session, 0 on first contact.

        Args:
            session: Session of the receiver.
            now_ms: Wall-clock time in milliseconds for the stamp.
        """
        own = self._members.own
        message = gossip_pb2.GossipMessage(
            host=own.host,
            control_address=own.control_address,
            session=self._session,
            receiver_session=session,
        )
        for copy in self._replicas:
            message.versions.add(kind=copy.kind, version=copy.version)
        if self._clock is not None:
            message.stamp = str(self._clock.stamp(now_ms))
        with self._lock:
            self._add_news(message, self._cursors.get(session))
        return message

    def receive(self, message: gossip_pb2.GossipMessage, now: float) -> Received:
        """Takes in a message; `now` is monotonic time in seconds."""
        if self._clock is not None and message.stamp:
            self._clock.observe(hlc.parse(message.stamp))
        with self._lock:
            cursor = self._cursor(message)
            self._confirm(cursor, message)
            self._take_news(cursor, message, now)
            cursor.withdrawn_checksum = message.withdrawn_checksum
        if message.withdrawn:
            self._withdrawals.withdraw_all(message.withdrawn)
        own = {copy.kind: copy.version for copy in self._replicas}
        behind = tuple(
            Behind(item.kind, item.version)
            for item in message.versions
            if item.kind in own and item.version > own[item.kind]
        )
        return Received(message.session, behind, message.more)

    def _add_news(self, message: gossip_pb2.GossipMessage, cursor: _Cursor | None) -> None:
        message.checksum = self._members.checksum
        if cursor is None:
            # The receiver may know everything already: its answer tells.
            message.sequence_from = message.sequence_to = self._members.sequence
        else:
            delta = self._members.delta(cursor.sent, cursor.host, self._page)
            message.acknowledged = cursor.got
            message.sequence_from = cursor.sent
            message.sequence_to = delta.sequence
            message.more = delta.more
            for item in delta.news:
                _encode(message, item)
        pending = self._withdrawals.pending
        message.withdrawn_checksum = _checksum(pending)
        if cursor is not None and cursor.withdrawn_checksum != message.withdrawn_checksum:
            message.withdrawn.extend(_page(sorted(pending), cursor))

    def _cursor(self, message: gossip_pb2.GossipMessage) -> _Cursor:
        cursor = self._cursors.pop(message.session, None) or _Cursor(message.host)
        self._cursors[message.session] = cursor
        self._sessions[message.host] = message.session
        if len(self._cursors) > MAX_CURSORS:
            oldest = next(iter(self._cursors))
            unused = self._cursors.pop(oldest)
            if self._sessions.get(unused.host) == oldest:
                del self._sessions[unused.host]
        return cursor

    def _confirm(self, cursor: _Cursor, message: gossip_pb2.GossipMessage) -> None:
        """Learns from a message how much of the own log its sender has."""
        known = message.receiver_session == self._session
        cursor.sent = min(message.acknowledged, self._members.sequence) if known else 0
        if message.checksum != self._members.checksum:
            return
        if cursor.sent == 0:
            cursor.sent = self._members.sequence
        if cursor.got < message.sequence_from:
            cursor.got = message.sequence_to

    def _take_news(self, cursor: _Cursor, message: gossip_pb2.GossipMessage, now: float) -> None:
        news = [_decode_record(item) for item in message.records]
        news += [_decode_brief(item) for item in message.briefs]
        complete = self._members.merge(news, message.host, now)
        if not complete:
            cursor.got = 0
        elif message.sequence_from <= cursor.got:
            cursor.got = max(cursor.got, message.sequence_to)
        quiet = not news and cursor.sent == self._members.sequence
        unequal = message.checksum != self._members.checksum
        cursor.unequal = cursor.unequal + 1 if quiet and unequal else 0
        if cursor.unequal >= RESYNC_AFTER:
            cursor.unequal = cursor.sent = cursor.got = 0


def _encode(message: gossip_pb2.GossipMessage, item: membership.News | membership.Brief) -> None:
    if isinstance(item, membership.Brief):
        message.briefs.add(**attrs.asdict(item))
        return
    fields = attrs.asdict(item.record)
    fields["state"] = item.record.state.value
    message.records.add(detail_version=item.detail_version, suspected=item.suspected, **fields)


def _decode_record(item: gossip_pb2.MemberRecord) -> membership.News:
    decoded = record.UpstreamRecord(
        host=item.host,
        incarnation=item.incarnation,
        version=item.version,
        failure_domain=item.failure_domain,
        region=item.region,
        service=item.service,
        state=_state(item.state),
        slots=item.slots,
        load=item.load,
        relay_address=item.relay_address,
        control_address=item.control_address,
        operators_address=item.operators_address,
    )
    return membership.News(decoded, item.detail_version, item.suspected)


def _decode_brief(item: gossip_pb2.MemberBrief) -> membership.Brief:
    return membership.Brief(
        item.host,
        item.incarnation,
        item.version,
        item.detail_version,
        item.load,
        item.suspected,
    )


def _page(key_ids: Sequence[str], cursor: _Cursor) -> Sequence[str]:
    """Returns the next ids for a link, in turns if they do not fit into one message."""
    start = cursor.withdrawn_sent if cursor.withdrawn_sent < len(key_ids) else 0
    cursor.withdrawn_sent = start + MESSAGE_WITHDRAWALS
    return key_ids[start : start + MESSAGE_WITHDRAWALS]


def _state(name: str) -> record.State:
    """Returns the state of a name; one of a later release counts as lost and gets no work."""
    try:
        return record.State(name)
    except ValueError:
        return record.State.LOST


def _checksum(key_ids: Iterable[str]) -> int:
    checksum = 0
    for key_id in key_ids:
        checksum ^= xxhash.xxh64_intdigest(key_id.encode())
    return checksum
