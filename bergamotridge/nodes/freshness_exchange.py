"""Requests and answers by which nodes tell each other how current they are; sends nothing.

The age in an answer is counted from when the request was sent. So a message that was delayed on its
way makes a replica look older than it is, never younger. An answer counts only for the request
whose random id it repeats, once, and while that request waits for it.
"""

import math
import random
from collections.abc import Sequence

import attrs

from bergamotridge.nodes import freshness_pb2, record, replica_version
from bergamotridge.store import freshness, replica

MILLIS_PER_S = 1000
REQUEST_ID_BITS = 63
MAX_AGE_MS = 2**32 - 1  # About 50 days, the longest that a message holds.


@attrs.frozen
class KnownReplica:
    """What another node has of one kind of objects.

    Attributes:
        version: Version of its replica.
        as_of: Boot time of this host in seconds as of which that replica is current.
    """

    version: replica.ReplicaVersion
    as_of: float


UNKNOWN_REPLICA = KnownReplica(replica.EMPTY, freshness.NEVER)


@attrs.frozen(eq=False)
class ReceivedRequest:
    """A request of another node.

    Attributes:
        request_id: Id that the other node gave to the request.
        received_at: Boot time in seconds.
        wait_s: Time in seconds for which the answer may wait for news.
        known: What the other node has, by kind.
    """

    request_id: int
    received_at: float
    wait_s: float
    known: dict[str, KnownReplica]


@attrs.frozen
class NewerReplica:
    """A replica of another node that has a higher version than the local one."""

    kind: str
    version: replica.ReplicaVersion


@attrs.frozen
class AnswerResult:
    """What an answer brought.

    Attributes:
        progressed: True if it shows that a replica is more current than was known before.
        newer_replicas: Replicas that have to be fetched.
    """

    progressed: bool
    newer_replicas: tuple[NewerReplica, ...] = ()


class FreshnessExchange:
    """Builds and applies the messages of one process."""

    def __init__(
        self,
        known_freshness: freshness.Freshness,
        replicas: Sequence[replica.Replica],
        min_step_s: float,
        rng: random.Random,
    ) -> None:
        """Works on the replicas of a node and their freshness.

        Args:
            known_freshness: Freshness of the replicas.
            replicas: The replicas.
            min_step_s: Smallest progress in seconds that counts as news.
            rng: Source of request ids.
        """
        self._freshness = known_freshness
        self._replicas = {item.kind: item for item in replicas}
        self._min_step_s = min_step_s
        self._rng = rng
        self._sent_at: dict[int, float] = {}

    @property
    def waiting_requests(self) -> int:
        """Number of requests whose answer would still be applied."""
        return len(self._sent_at)

    def build_request(self, wait_s: float, now: float) -> freshness_pb2.FreshnessMessage:
        """Returns a request whose answer may wait `wait_s` seconds for news.

        Its answer is applied only until `end_request`.
        """
        request_id = self._rng.getrandbits(REQUEST_ID_BITS)
        self._sent_at[request_id] = now
        request = freshness_pb2.FreshnessMessage(
            request_id=request_id, wait_ms=int(wait_s * MILLIS_PER_S)
        )
        self._add_ages(request, now)
        return request

    def end_request(self, request_id: int) -> None:
        """Stops to wait for the answer to a request; one that comes later is ignored."""
        self._sent_at.pop(request_id, None)

    def receive_request(
        self, request: freshness_pb2.FreshnessMessage, now: float
    ) -> ReceivedRequest:
        """Returns the request in a message that arrived at `now` (seconds of boot time)."""
        known = {
            item.kind: KnownReplica(replica_version.read(item), now - item.age_ms / MILLIS_PER_S)
            for item in request.ages
        }
        return ReceivedRequest(request.request_id, now, request.wait_ms / MILLIS_PER_S, known)

    def has_news(self, request: ReceivedRequest) -> bool:
        """Returns whether this node has a newer or more current replica than the requesting one."""
        for kind, local_replica in self._replicas.items():
            known = request.known.get(kind, UNKNOWN_REPLICA)
            if local_replica.version > known.version:
                return True
            if self._freshness.as_of(kind) > known.as_of + self._min_step_s:
                return True
        return False

    def build_answer(self, request: ReceivedRequest, now: float) -> freshness_pb2.FreshnessMessage:
        """Returns the answer to a request that has waited until `now` (seconds of boot time)."""
        waited_ms = int((now - request.received_at) * MILLIS_PER_S)
        answer = freshness_pb2.FreshnessMessage(
            request_id=request.request_id, is_answer=True, wait_ms=min(waited_ms, MAX_AGE_MS)
        )
        self._add_ages(answer, now)
        return answer

    def apply_answer(
        self, answer: freshness_pb2.FreshnessMessage, now: float
    ) -> AnswerResult | None:
        """Applies an answer, and ends its request.

        Args:
            answer: The answer.
            now: Boot time in seconds at which the answer arrived.

        Returns:
            What the answer brought, None if no request waits for it.
        """
        sent_at = self._sent_at.pop(answer.request_id, None)
        if sent_at is None:
            return None
        progressed = False
        newer_replicas = []
        waited_s = min(answer.wait_ms / MILLIS_PER_S, now - sent_at)
        for item in answer.ages:
            local_replica = self._replicas.get(item.kind)
            version = replica_version.read(item)
            if local_replica is None or version < local_replica.version:
                continue
            if version > local_replica.version:
                newer_replicas.append(NewerReplica(item.kind, version))
                continue
            as_of = sent_at + waited_s - item.age_ms / MILLIS_PER_S
            progressed = self._freshness.confirm(item.kind, as_of) or progressed
        return AnswerResult(progressed or bool(newer_replicas), tuple(newer_replicas))

    def _add_ages(self, message: freshness_pb2.FreshnessMessage, now: float) -> None:
        for kind, local_replica in self._replicas.items():
            # Read before the version: a replica is never replaced by a lower version, so it has at
            # least what it had when it was confirmed to be current.
            as_of = self._freshness.as_of(kind)
            if as_of > freshness.NEVER:
                age_ms = max(0, math.ceil((now - as_of) * MILLIS_PER_S))
                if age_ms <= MAX_AGE_MS:
                    item = message.ages.add(kind=kind, age_ms=age_ms)
                    replica_version.write(item, local_replica.version)


class SourceRotation:
    """Chooses the node to ask next: the preferred one, and others while it brings no progress."""

    def __init__(self, preferred_retry_s: float) -> None:
        """Starts with the preferred source.

        Args:
            preferred_retry_s: Time in seconds after which the preferred source is asked again.
        """
        self._preferred_retry_s = preferred_retry_s
        self._index = 0
        self._preferred_again_at = float("-inf")

    def choose(
        self, sources: Sequence[record.UpstreamRecord], now: float
    ) -> record.UpstreamRecord | None:
        """Returns the source to ask at `now` (seconds of boot time), or None if there is none."""
        if self._index and now >= self._preferred_again_at:
            self._index = 0
        return sources[self._index % len(sources)] if sources else None

    def record_result(self, progressed: bool, now: float) -> None:
        """Records whether the source that was chosen last brought progress."""
        if progressed:
            return
        if not self._index:
            self._preferred_again_at = now + self._preferred_retry_s
        self._index += 1
