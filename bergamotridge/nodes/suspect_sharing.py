"""Sharing of suspects between the nodes beside the upstreams of a service.

A crash is told to these nodes at once, and what one of them missed reaches it later: by rounds
between two nodes, by the answers to what it tells itself, and with requests for trials. A node that
starts asks a few others before it knows anything.
"""

import asyncio
import random
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent import futures
from typing import Protocol

import attrs
import grpc
import logbook

from bergamotridge.nodes import (
    membership,
    record,
    suspect_messages,
    suspect_servicer,
    suspects,
    suspects_pb2,
    suspects_pb2_grpc,
    traffic,
    trials,
)

TELL_TIMEOUT_S = 0.15  # Calls whose upstream has crashed are answered only after it.
REQUEST_TIMEOUT_S = 0.3
ROUND_INTERVAL_S = 5.0
MAX_NODES_TOLD = 48  # Others hear of it in rounds.
MAX_EVIDENCE_PER_ROUND = 256
NODES_ASKED_AT_START = 3
MAX_ARBITERS_UNANSWERED = 2
UNREACHABLE_RETRY_S = 0.2
THREADS = 4

_UNREACHABLE = trials.Decision(trials.Ruling.WAIT, UNREACHABLE_RETRY_S)

_log = logbook.Logger(__name__)


class _NoArbiterError(Exception):
    """The node runs a version that grants no trials."""


class Members(Protocol):
    """Hosts of the fleet."""

    @property
    def own(self) -> record.UpstreamRecord:
        """Record of this host."""

    def members(self) -> Sequence[record.UpstreamRecord]:
        """Returns the records of all hosts that are not lost, this one included."""


class Channels(Protocol):
    """Channels to the control ports of other nodes."""

    def channel(self, address: str) -> grpc.Channel:
        """Returns the channel to an address, IP:PORT."""


@attrs.frozen
class TrialAnswer:
    """The decision of an arbiter on one request.

    Attributes:
        fingerprint: Fingerprint of the request.
        decision: The decision.
        arbiter_address: Control address of the arbiter, "" if it is this node.
        crash_ids: Crashes that are cleared if the request completes.
    """

    fingerprint: int
    decision: trials.Decision
    arbiter_address: str = ""
    crash_ids: tuple[int, ...] = ()


class SuspectSharing:
    """What this node knows of suspects, and its exchange with other nodes; thread-safe.

    It is a service of the control port.
    """

    def __init__(
        self,
        members: Members,
        channels: Channels,
        rng: random.Random,
        count_bytes: traffic.CountBytes = traffic.ignore_bytes,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Starts without suspects.

        Args:
            members: Hosts of the fleet.
            channels: Channels to their control ports.
            rng: Source of randomness for the choice of peers and the ids of trials.
            count_bytes: Counts the bytes of the messages.
            clock: Returns the monotonic time in seconds.
        """
        self._members = members
        self._channels = channels
        self._rng = rng
        self._count_bytes = count_bytes
        self._clock = clock
        self._lock = threading.Lock()
        self._table = suspects.SuspectTable()
        self._arbiter = trials.TrialArbiter(self._table, clock(), rng)
        self._executor = futures.ThreadPoolExecutor(THREADS, "suspects")
        self._stopping = threading.Event()
        self._running_rounds = False
        self._asked: set[str] = set()
        self._listeners: list[Callable[[Sequence[int]], None]] = []

    @property
    def has_suspects(self) -> bool:
        """True if any request may be a suspect."""
        return len(self._table) > 0

    def register(self, server: grpc.Server) -> None:
        """Adds the service to a server that has not started."""
        suspects_pb2_grpc.add_SuspectsServicer_to_server(suspect_servicer.Servicer(self), server)

    def stop(self) -> None:
        """Ends the rounds and lets running messages end."""
        self._stopping.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def add_listener(self, on_strong_suspects: Callable[[Sequence[int]], None]) -> None:
        """Registers a callback for fingerprints whose running calls should be cancelled.

        It is called in any thread and must return quickly.
        """
        self._listeners.append(on_strong_suspects)

    def suspicion(self, fingerprint: int) -> suspects.Suspicion:
        """Returns how far a fingerprint is suspected."""
        with self._lock:
            return self._table.suspicion(fingerprint, self._clock())

    def count_held(self) -> int:
        """Returns the number of fingerprints that are held back."""
        with self._lock:
            return self._table.held(self._clock())

    def notice_member(self, changed: record.UpstreamRecord, change: membership.Change) -> None:
        """Asks the first hosts of the own service for their suspects; a listener of members."""
        del change
        own = self._members.own
        # The own service may become known later than other hosts do.
        joined = self._peers() if changed.host == own.host else [changed]
        for item in joined:
            is_peer = own.service and item.service == own.service and item.host != own.host
            if is_peer and len(self._asked) < NODES_ASKED_AT_START and item.host not in self._asked:
                self._asked.add(item.host)
                self._submit(self._exchange_round, item.control_address)

    async def record_crash(self, evidence: Iterable[suspects.Evidence]) -> None:
        """Records a crash and tells the other nodes; returns when they know, or soon after.

        Args:
            evidence: The crash, for each request that ran.
        """
        now = self._clock()
        known = self._merge(tuple(evidence), now)
        # Those of most crashes first, in case that not all fit into the message.
        known.sort(key=lambda item: len(item.crashes), reverse=True)
        message = suspect_messages.encode_list(known, now)
        if not self._stopping.is_set():
            event_loop = asyncio.get_running_loop()
            await event_loop.run_in_executor(self._executor, self._tell_peers, message)

    async def request_trial(self, fingerprint: int, lifetime_s: float) -> TrialAnswer:
        """Asks the arbiter of a fingerprint whether a request may run.

        Args:
            fingerprint: Fingerprint of the request.
            lifetime_s: Seconds for which it may run at most.

        Returns:
            The decision; WAIT if no arbiter answers.
        """
        own = self._members.own
        unanswered = 0
        for arbiter in trials.arbiters(fingerprint, [*self._peers(), own]):
            if arbiter.host == own.host:
                return TrialAnswer(fingerprint, self._decide(fingerprint, lifetime_s))
            address = arbiter.control_address
            try:
                decision = await asyncio.get_running_loop().run_in_executor(
                    self._executor, self._request_trial, address, fingerprint, lifetime_s
                )
            except _NoArbiterError:
                continue
            if decision is not None:
                return TrialAnswer(fingerprint, decision, address, self._crash_ids(fingerprint))
            unanswered += 1
            if unanswered == MAX_ARBITERS_UNANSWERED:
                break
        return TrialAnswer(fingerprint, _UNREACHABLE)

    def finish_trial(self, trial: TrialAnswer, completed: bool) -> None:
        """Tells the arbiter that a trial has ended; does not wait for it.

        Args:
            trial: Answer with which the trial was granted.
            completed: True if an upstream answered the request.
        """
        fingerprint, trial_id = trial.fingerprint, trial.decision.trial_id
        if not trial.arbiter_address:
            with self._lock:
                self._arbiter.finish(fingerprint, trial_id, completed)
            return
        if completed:
            with self._lock:
                self._table.clear(fingerprint, trial.crash_ids)
        result = suspects_pb2.TrialResult(
            fingerprint=fingerprint, trial_id=trial_id, completed=completed
        )
        self._submit(self._finish_trial, trial.arbiter_address, result)

    def share(self, message: suspects_pb2.EvidenceList) -> suspects_pb2.EvidenceList:
        """Takes in evidence from another node and returns what this node knows."""
        now = self._clock()
        known: Sequence[suspects.Evidence] = self._merge(
            suspect_messages.decode_list(message, now), now
        )
        if message.wants_all:
            with self._lock:
                known = self._table.strongest(MAX_EVIDENCE_PER_ROUND)
        reply = suspect_messages.encode_list(known, now)
        self._count_bytes("suspects", reply.ByteSize(), message.ByteSize())
        return reply

    def decide(self, message: suspects_pb2.TrialRequest) -> suspects_pb2.TrialDecision:
        """Decides on another node's request for a trial."""
        now = self._clock()
        evidence = suspect_messages.decode_evidence(message.evidence, now)
        self._merge((evidence,), now)
        lifetime_s = message.lifetime_ms / suspect_messages.MILLIS_PER_S
        decision = self._decide(evidence.fingerprint, lifetime_s)
        with self._lock:
            known = self._table.evidence(evidence.fingerprint)
        return suspect_messages.encode_decision(decision, known, now)

    def finish(self, message: suspects_pb2.TrialResult) -> None:
        """Ends a trial of another node."""
        with self._lock:
            self._arbiter.finish(message.fingerprint, message.trial_id, message.completed)

    def _decide(self, fingerprint: int, lifetime_s: float) -> trials.Decision:
        hosts = [self._members.own, *self._peers()]
        ready = sum(item.state is record.State.READY for item in hosts)
        capacity = trials.Capacity(ready, len(hosts))
        with self._lock:
            return self._arbiter.request(fingerprint, lifetime_s, capacity, self._clock())

    def _crash_ids(self, fingerprint: int) -> tuple[int, ...]:
        with self._lock:
            return tuple(crash.crash_id for crash in self._table.evidence(fingerprint).crashes)

    def _peers(self) -> list[record.UpstreamRecord]:
        """Returns the other hosts of the own service."""
        own = self._members.own
        return [
            item
            for item in self._members.members()
            if item.service == own.service and item.host != own.host
        ]

    def _submit(self, task: Callable[..., None], *arguments: object) -> None:
        if not self._stopping.is_set():
            self._executor.submit(task, *arguments)

    def _request_trial(
        self, address: str, fingerprint: int, lifetime_s: float
    ) -> trials.Decision | None:
        """Asks an arbiter on another host; returns None if it does not answer.

        Raises:
            _NoArbiterError: Its node runs a version that grants no trials.
        """
        now = self._clock()
        with self._lock:
            evidence = self._table.evidence(fingerprint)
        message = suspects_pb2.TrialRequest(
            evidence=suspect_messages.encode_evidence(evidence, now),
            lifetime_ms=max(0, int(lifetime_s * suspect_messages.MILLIS_PER_S)),
        )
        try:
            reply = self._stub(address).RequestTrial(message, timeout=REQUEST_TIMEOUT_S)
        except (grpc.RpcError, ValueError) as error:
            # gRPC raises ValueError for a call on a channel that was closed.
            _log.debug("the arbiter at {} did not answer: {}", address, error)
            if isinstance(error, grpc.Call) and error.code() is grpc.StatusCode.UNIMPLEMENTED:
                raise _NoArbiterError from error
            return None
        self._count_bytes("suspects", message.ByteSize(), reply.ByteSize())
        now = self._clock()
        self._merge((suspect_messages.decode_evidence(reply.evidence, now),), now)
        return suspect_messages.decode_decision(reply)

    def _finish_trial(self, address: str, result: suspects_pb2.TrialResult) -> None:
        try:
            self._stub(address).FinishTrial(result, timeout=REQUEST_TIMEOUT_S)
        except (grpc.RpcError, ValueError) as error:
            # The trial expires at the arbiter.
            _log.debug("the arbiter at {} was not told the end of a trial: {}", address, error)

    def _tell_peers(self, message: suspects_pb2.EvidenceList) -> None:
        """Tells evidence to the other hosts of the service side by side, and merges the answers."""
        peers = self._peers()
        if len(peers) > MAX_NODES_TOLD:
            peers = self._rng.sample(peers, MAX_NODES_TOLD)
        calls = []
        for peer in peers:
            try:
                stub = self._stub(peer.control_address)
                calls.append(stub.Share.future(message, timeout=TELL_TIMEOUT_S))
            except ValueError as error:
                _log.debug("host {} was not told of a crash: {}", peer.host, error)
        for told in calls:
            try:
                self._merge_reply(message, told.result())
            except (grpc.RpcError, grpc.FutureCancelledError) as error:
                _log.debug("a host was not told of a crash: {}", error)

    def _merge_reply(
        self, message: suspects_pb2.EvidenceList, reply: suspects_pb2.EvidenceList
    ) -> None:
        now = self._clock()
        self._merge(suspect_messages.decode_list(reply, now), now)
        self._count_bytes("suspects", message.ByteSize(), reply.ByteSize())

    def _merge(self, received: Sequence[suspects.Evidence], now: float) -> list[suspects.Evidence]:
        """Adds evidence and returns what is now known of the same fingerprints."""
        with self._lock:
            self._table.merge(received, now)
            known = [self._table.evidence(item.fingerprint) for item in received]
            strong = [
                item.fingerprint
                for item in known
                if self._table.suspicion(item.fingerprint, now).is_strong(now)
            ]
        self._start_rounds()
        if strong:
            for listener in self._listeners:
                listener(strong)
        return known

    def _start_rounds(self) -> None:
        """Starts rounds with other nodes, which go on until nothing is suspected any more."""
        with self._lock:
            if self._running_rounds or not len(self._table):
                return
            self._running_rounds = True
        self._submit(self._run_rounds)

    def _run_rounds(self) -> None:
        while not self._stopping.wait(self._rng.uniform(0.5, 1.5) * ROUND_INTERVAL_S):
            with self._lock:
                self._table.forget_expired(self._clock())
                self._running_rounds = len(self._table) > 0
                if not self._running_rounds:
                    return
            peers = self._peers()
            if peers:
                self._exchange_round(self._rng.choice(peers).control_address)

    def _exchange_round(self, address: str) -> None:
        """Exchanges the strongest evidence with another node."""
        now = self._clock()
        with self._lock:
            strongest = self._table.strongest(MAX_EVIDENCE_PER_ROUND)
        message = suspect_messages.encode_list(strongest, now, wants_all=True)
        try:
            reply = self._stub(address).Share(message, timeout=REQUEST_TIMEOUT_S)
        except (grpc.RpcError, ValueError) as error:
            _log.debug("no round of suspects with the node at {}: {}", address, error)
            return
        self._merge_reply(message, reply)

    def _stub(self, address: str) -> suspects_pb2_grpc.SuspectsStub:
        return suspects_pb2_grpc.SuspectsStub(self._channels.channel(address))
