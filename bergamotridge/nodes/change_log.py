"""Records of all known hosts in the order of their changes, and updates for other nodes."""

from collections.abc import Iterable

import attrs
import xxhash

from bergamotridge.nodes import record

LOCAL_SESSION = 0  # Source of what this process found out itself.


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
class Entry:
    """This node's record of one host, with its place in the change log.

    Attributes:
        record: The latest record of the host.
        detail_version: As in `BriefUpdate`.
        source: Session of the process from which the latest update came.
        sequence: Sequence number of the latest change.
        detail_sequence: Sequence number of the latest change of something other than the load.
        suspected_at: Monotonic time in seconds at which this node learned of the latest suspicion,
            None if the host is not suspected.
        lost: True if the host has not refuted the suspicion in time.
        fingerprint: What this entry contributes to the checksum, 0 while the host is suspected.
    """

    record: record.UpstreamRecord
    detail_version: int
    source: int
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


class ChangeLog:
    """The latest entry of each host, ordered by the sequence number of its last change.

    Not safe to use from several threads at once.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._entries: dict[str, Entry] = {}
        self._sequence = 0
        self._checksum = 0

    @property
    def sequence(self) -> int:
        """Sequence number of the latest entry."""
        return self._sequence

    @property
    def checksum(self) -> int:
        """Hash over the details of all unsuspected hosts; equal on nodes that agree on them."""
        return self._checksum

    def get(self, host: str) -> Entry | None:
        """Returns the entry of a host, None if it is not known."""
        return self._entries.get(host)

    def entries(self) -> Iterable[Entry]:
        """Returns the entries of all hosts, the one changed last at the end."""
        return self._entries.values()

    def store(self, entry: Entry, *, details_changed: bool) -> None:
        """Moves a new or changed entry to the end of the log and updates the checksum."""
        self._entries.pop(entry.record.host, None)
        self._entries[entry.record.host] = entry
        self._sequence += 1
        entry.sequence = self._sequence
        if details_changed:
            entry.detail_sequence = self._sequence
        self._checksum ^= entry.fingerprint
        entry.fingerprint = 0 if entry.suspected else _fingerprint(entry)
        self._checksum ^= entry.fingerprint

    def remove(self, host: str) -> None:
        """Deletes the entry of a suspected host, which adds nothing to the checksum."""
        del self._entries[host]

    def delta(self, since: int, receiver: int, limit: int) -> Delta:
        """Returns the updates after a sequence number that a receiver needs.

        Args:
            since: Sequence number up to which the receiver has the log.
            receiver: Session of the process that the updates are for; those that it sent itself are
                left out, but not those that an earlier process on its host sent.
            limit: Maximum number of updates.
        """
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


def _fingerprint(entry: Entry) -> int:
    identity = f"{entry.record.host} {entry.record.incarnation} {entry.detail_version}"
    return xxhash.xxh64_intdigest(identity.encode())


def _build_update(entry: Entry, since: int) -> RecordUpdate | BriefUpdate:
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
