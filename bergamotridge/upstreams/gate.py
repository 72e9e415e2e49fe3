"""Gate beside the local upstream: the blocking, thread-safe side of admission."""

import threading
import time
from collections.abc import Callable

from bergamotridge import call
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import admission, outcome, queue


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
    """The only way to the local upstream; safe for use by many threads."""

    def __init__(self, slots: int, queue: int, connections: int | None = None) -> None:
        """Creates a gate that is shut until the upstream announces itself.

        Args:
            slots: Calls at once by the operator's text.
            queue: Calls that may wait.
            connections: Connections by the operator's text; as many as slots if None.
        """
        self._lock = threading.Lock()
        self._admission = admission.Admission(slots, queue, connections)
        self._waiting: dict[queue.Entry, threading.Event | None] = {}

    def enter(
        self,
        context: call.CallContext,
        now: float,
        cancelled: threading.Event | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> Ticket:
        """Waits until the call may start.

        Args:
            context: The call.
            now: Monotonic time in seconds.
            cancelled: Set by `wake_cancelled` when the caller has left.
            clock: Source of the time after a wait.

        Returns:
            The ticket of the started call.

        Raises:
            CallError: The call was refused with verdict NOT_RUN; reason is "shed", "deadline",
                "cancelled", "draining" or "no-upstream".
        """
        settled = threading.Event()
        with self._lock:
            if cancelled is not None and cancelled.is_set():
                raise admission.refusal("cancelled", "the caller has left", context.request_id)
            entry = self._admission.offer(context, now, lambda _: settled.set())
            if entry.state is queue.EntryState.STARTED:
                return Ticket(self, entry)
            self._waiting[entry] = cancelled
        settled.wait(max(0.0, context.deadline - now))
        with self._lock:
            del self._waiting[entry]
            self._admission.withdraw(entry, "deadline")
            if entry.state is queue.EntryState.STARTED:
                if cancelled is not None and cancelled.is_set():
                    self._admission.finish(entry, outcome.Outcome.REFUSED, clock())
                    raise admission.refusal("cancelled", "the caller has left", context.request_id)
                return Ticket(self, entry)
        raise entry.refusal

    def wake_cancelled(self, cancelled: threading.Event) -> None:
        """Sets the event and refuses the calls that wait with it."""
        cancelled.set()
        with self._lock:
            for entry, event in self._waiting.items():
                if event is cancelled:
                    self._admission.withdraw(entry, "cancelled")

    def finish(self, entry: queue.Entry, result: outcome.Outcome, now: float) -> None:
        """Gives back the slot of a started call; see `Ticket.finish`."""
        with self._lock:
            self._admission.finish(entry, result, now)

    def configure(self, slots: int, connections: int) -> None:
        """Takes over slots and connections from a new operator's text."""
        with self._lock:
            self._admission.configure(slots, connections)

    def announce(
        self, state: record.State, slots: int, connections: int, load: float, now: float
    ) -> None:
        """Takes over what the upstream says of itself.

        Args:
            state: Its state; LOST when it has been silent for too long.
            slots: Calls it says it can run at once.
            connections: Connections it says it accepts.
            load: Load that it claims; a hint that decides nothing.
            now: Monotonic time in seconds.
        """
        with self._lock:
            self._admission.announce(state, slots, connections, now)

    def drain(self) -> None:
        """Refuses waiting and further calls; running ones go on."""
        with self._lock:
            self._admission.drain()

    def report(self, now: float) -> load.LoadReport:
        """Returns the load report that goes with every answer."""
        with self._lock:
            return self._admission.report(now)
