"""Gate beside the local upstream: where calls wait for their admission."""

import threading
import time
from collections.abc import Callable

from bergamotridge import call, errors
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import admission, outcome, queue
from bergamotridge.util import cancellation, loop


class Ticket:
    """A call that was started; `finish` must be called once when it has ended."""

    def __init__(self, gate: "Gate", entry: queue.Entry) -> None:
        self._gate = gate
        self._entry = entry

    @property
    def context(self) -> call.CallContext:
        """The call."""
        return self._entry.context

    def finish(self, result: outcome.Outcome, now: float) -> None:
        """Gives the slot back; a second call does nothing.

        Args:
            result: How the call ended.
            now: Monotonic time in seconds.
        """
        self._gate.finish(self._entry, result, now)


class Gate:
    """The only way to the local upstream; calls enter from one event loop.

    What is not a coroutine may be called from any thread.
    """

    def __init__(self, slots: int, queue: int, connections: int | None = None) -> None:
        """Creates a gate that is shut until the upstream announces itself.

        Args:
            slots: Calls at once by the operator's text.
            queue: Calls that may wait.
            connections: Connections by the operator's text; as many as slots if None.
        """
        self._lock = threading.Lock()
        self._admission = admission.Admission(slots, queue, connections)

    async def enter(
        self,
        context: call.CallContext,
        now: float,
        token: cancellation.Token | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> Ticket:
        """Waits until the call may start.

        Args:
            context: The call.
            now: Monotonic time in seconds.
            token: Cancelled when the caller has left.
            clock: Source of the time after a wait.

        Returns:
            The ticket of the started call.

        Raises:
            CallError: The call was refused with verdict NOT_RUN; reason is "shed", "deadline",
                "cancelled", "draining" or "no-upstream".
        """
        if token is not None and token.cancelled:
            raise _left(context)
        with self._lock:
            entry = self._admission.offer(context, now, _settled)
        if entry.state is queue.EntryState.WAITING:
            await self._wait(entry, context.deadline - now, token)
        if entry.state is not queue.EntryState.STARTED:
            raise entry.refusal
        if token is not None and token.cancelled:
            self.finish(entry, outcome.Outcome.REFUSED, clock())
            raise _left(context)
        return Ticket(self, entry)

    async def _wait(
        self, entry: queue.Entry, wait_s: float, token: cancellation.Token | None
    ) -> None:
        """Waits until an entry is started or refused."""
        registration = -1
        if token is not None:
            registration = token.on_cancel(lambda: self._withdraw(entry, "cancelled"))
        wake = loop.Wake()
        with self._lock:
            entry.notify = lambda _: wake()
            waiting = entry.state is queue.EntryState.WAITING
        if waiting:
            await wake.wait(wait_s)
        self._withdraw(entry, "deadline")
        if token is not None:
            token.remove(registration)

    def _withdraw(self, entry: queue.Entry, reason: str) -> None:
        with self._lock:
            self._admission.withdraw(entry, reason)

    def finish(self, entry: queue.Entry, result: outcome.Outcome, now: float) -> None:
        """Gives back the slot of a started call; see `Ticket.finish`."""
        with self._lock:
            self._admission.finish(entry, result, now)

    def configure(self, slots: int, connections: int) -> None:
        """Takes over slots and connections from a new operator's text."""
        with self._lock:
            self._admission.configure(slots, connections)

    def announce(
        self,
        state: record.State,
        slots: int,
        connections: int,
        load: float,
        now: float,
        *,
        exact: bool = False,
    ) -> None:
        """Takes over what the upstream says of itself.

        Args:
            state: Its state; LOST when it has been silent for too long.
            slots: Calls it says it can run at once.
            connections: Connections it says it accepts.
            load: Load that it claims; a hint that decides nothing.
            now: Monotonic time in seconds.
            exact: True if it also says how long it stays slow after its start, so that its
                slots are its own count and no guess.
        """
        with self._lock:
            self._admission.announce(state, slots, connections, now, exact=exact)

    def drain(self) -> None:
        """Refuses waiting and further calls; running ones go on."""
        with self._lock:
            self._admission.drain()

    def report(self, now: float) -> load.LoadReport:
        """Returns the load report that goes with every answer."""
        with self._lock:
            return self._admission.report(now)


def _settled(entry: queue.Entry) -> None:
    """Tells nobody: the call has not begun to wait."""


def _left(context: call.CallContext) -> errors.CallError:
    return admission.refusal("cancelled", "the caller has left", context.request_id)
