"""Confirms the withdrawal of a key once other processes or the platform know of it."""

import random
import time
from collections.abc import Callable
from concurrent import futures

import logbook

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.nodes import confirmation, membership, record
from bergamotridge.store import client

REQUIREMENT = confirmation.Requirement(nodes=3, failure_domains=2, within_s=confirmation.WITHIN_S)
STORE_ATTEMPTS = 1  # `WithdrawalWriter` makes the further ones.

_log = logbook.Logger(__name__)

TellPeer = Callable[[record.UpstreamRecord, str], bool]


class WithdrawalConfirmer:
    """Withdraws keys at this node and tells other nodes and the platform before confirming it."""

    def __init__(
        self,
        ring: keys.KeyRing,
        members: membership.Membership,
        tell_peer: TellPeer,
        platform: client.ObjectClient,
        rng: random.Random,
        requirement: confirmation.Requirement = REQUIREMENT,
    ) -> None:
        """Prepares the confirmer.

        Args:
            ring: Keys known to this node.
            members: Membership of this node.
            tell_peer: Sends the id of a withdrawn key to a peer; returns True if that has it.
            platform: Client of the platform.
            rng: Source of randomness for the choice of peers.
            requirement: Who has to know of a withdrawal before it is confirmed.
        """
        self._ring = ring
        self._members = members
        self._tell_peer = tell_peer
        self._platform = platform
        self._rng = rng
        self._requirement = requirement

    def withdraw(self, key_id: str) -> confirmation.Knowledge:
        """Withdraws a key at this node at once, then waits until others know of it.

        Returns within the time of the requirement, whether or not anyone else was reached.

        Returns:
            Who knows of the withdrawal.
        """
        self._ring.withdraw(key_id)
        own = self._members.own
        peers = {item.host: item for item in self._members.members() if item.host != own.host}
        others = [_place(item) for item in peers.values()]
        self._rng.shuffle(others)
        decision = confirmation.Confirmation(
            _place(own), others, self._requirement, time.monotonic()
        )
        executor = futures.ThreadPoolExecutor(
            confirmation.MAX_ASKED_AT_ONCE + 1, "confirm-withdrawal"
        )
        try:
            self._confirm(key_id, decision, peers, executor)
        finally:
            executor.shutdown(wait=False, cancel_futures=True)
        return decision.knowledge()

    def _confirm(
        self,
        key_id: str,
        decision: confirmation.Confirmation,
        peers: dict[str, record.UpstreamRecord],
        executor: futures.Executor,
    ) -> None:
        storing = executor.submit(self._store, key_id)
        running: dict[futures.Future, confirmation.Place | None] = {storing: None}
        while not decision.is_decided(time.monotonic()):
            for place in decision.choose_next(time.monotonic()):
                telling = executor.submit(self._tell, peers[place.host], key_id)
                running[telling] = place
            done, _ = futures.wait(
                running, decision.remaining_s(time.monotonic()), futures.FIRST_COMPLETED
            )
            for future in done:
                place = running.pop(future)
                if place is None:
                    decision.record_store(not future.result(), future.result())
                else:
                    decision.record_answer(place, future.result())

    def _tell(self, peer: record.UpstreamRecord, key_id: str) -> bool:
        try:
            return self._tell_peer(peer, key_id)
        except Exception:
            _log.exception("telling host '{}' of a withdrawn key failed", peer.host)
            return False

    def _store(self, key_id: str) -> str:
        """Has the platform store a withdrawal; returns why it is not known to be stored, or ""."""
        try:
            keys.withdraw(self._platform, key_id, STORE_ATTEMPTS)
        except errors.BergamotridgeError as error:
            return str(error)
        except Exception as error:
            _log.exception("storing a withdrawn key in the platform failed")
            return f"storing it failed: {error!r}"
        return ""


def _place(item: record.UpstreamRecord) -> confirmation.Place:
    return confirmation.Place(item.host, item.failure_domain)
