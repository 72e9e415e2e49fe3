"""Live calls: the calls that the local upstream is running, registered by opaque ids."""

import hashlib
import itertools
import os
import threading

import attrs

from bergamotridge import call
from bergamotridge.util import cancellation

CALL_ID_BYTES = 16
HASH_KEY_BYTES = 32


@attrs.define(eq=False)
class LiveCall:
    """A call that the local upstream is running.

    Attributes:
        call_id: Id that calls to dependencies quote to identify this call.
        service: Service of the upstream.
        context: Context of the call.
        allowance: Retries that the calls to dependencies below this call may spend.
        token: Cancelled when the call is cancelled or has ended.
    """

    call_id: str
    service: str
    context: call.CallContext
    allowance: call.Allowance
    token: cancellation.Token


class LiveCalls:
    """Registry of a node's live calls; ids cannot be guessed and are valid until the call ends."""

    def __init__(self) -> None:
        self._calls: dict[str, LiveCall] = {}
        self._lock = threading.Lock()
        self._key = os.urandom(HASH_KEY_BYTES)
        self._call_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._calls)

    def open(
        self,
        service: str,
        context: call.CallContext,
        retries: int,
        token: cancellation.Token,
    ) -> LiveCall:
        """Registers a call before it is sent to the upstream, with `retries` as its allowance."""
        # A keyed hash is as hard to guess as random bytes but needs no system call.
        number = next(self._call_numbers).to_bytes(8, "big")
        call_id = hashlib.blake2b(number, key=self._key, digest_size=CALL_ID_BYTES).hexdigest()
        live_call = LiveCall(call_id, service, context, call.Allowance(retries), token)
        with self._lock:
            self._calls[live_call.call_id] = live_call
        return live_call

    def find(self, call_id: str) -> LiveCall | None:
        """Returns the live call with this id, or None."""
        return self._calls.get(call_id)

    def close(self, live_call: LiveCall) -> int:
        """Removes a call from the registry and returns its unused retries."""
        with self._lock:
            self._calls.pop(live_call.call_id, None)
        return live_call.allowance.drain()
