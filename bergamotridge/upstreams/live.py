"""Live calls: those that the local upstream works on now, found by their opaque ids."""

import hashlib
import itertools
import os
import threading

import attrs

from bergamotridge import call
from bergamotridge.util import cancellation

ID_BYTES = 16
KEY_BYTES = 32


@attrs.frozen(eq=False)
class LiveCall:
    """A call at the local upstream; its calls to dependencies spend from its allowance."""

    call_id: str
    service: str
    context: call.CallContext
    allowance: call.Allowance
    token: cancellation.Token


class LiveCalls:
    """The live calls of one node. An id is unguessable and dies with its call."""

    def __init__(self) -> None:
        self._calls: dict[str, LiveCall] = {}
        self._lock = threading.Lock()
        self._key = os.urandom(KEY_BYTES)
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._calls)

    def open(
        self,
        service: str,
        context: call.CallContext,
        retries: int,
        token: cancellation.Token,
    ) -> LiveCall:
        """Registers a call that is about to be sent to the upstream."""
        # A keyed hash is as hard to guess as random bytes and needs no system call.
        number = next(self._numbers).to_bytes(8, "big")
        call_id = hashlib.blake2b(number, key=self._key, digest_size=ID_BYTES).hexdigest()
        live = LiveCall(call_id, service, context, call.Allowance(retries), token)
        with self._lock:
            self._calls[live.call_id] = live
        return live

    def find(self, call_id: str) -> LiveCall | None:
        """Returns the live call of that id, or None."""
        return self._calls.get(call_id)

    def close(self, live: LiveCall) -> int:
        """Ends a call and returns the retries that it leaves unused."""
        with self._lock:
            self._calls.pop(live.call_id, None)
        return live.allowance.drain()
