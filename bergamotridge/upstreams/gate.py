"""Gate in front of the local upstream: calls wait here until they are admitted."""

import asyncio
import threading
import time
from collections.abc import Callable

from bergamotridge import call, errors
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import (
    admission,
    call_kinds,
    notice,
    outcome,
    queue,
    refusal,
    start_rates,
)
from bergamotridge.util import cancellation, loop

# Reason of a refusal upon which other nodes send the call elsewhere without a retry.
DRAINING = "draining"
EVACUATED_MESSAGE = "the failure domain of this host is evacuated; retry later"


class Ticket:
    """Slot of a started call; `finish` must be called once when the call has ended."""

    def __init__(self, gate: "Gate", entry: queue.Entry) -> None:
        self._gate = gate
        self._entry = entry

    @property
    def context(self) -> call.CallContext:
        """Context of the call."""
        return self._entry.context

    def finish(self, result: outcome.Outcome, now: float) -> None:
        """Releases the slot; calling this again does nothing.

        Args:
            result: Outcome of the call.
            now: Monotonic time in seconds.
        """
        self._gate.finish(self._entry, result, now)


class Gate:
    """Entry point of all calls to the local upstream.

    `enter` must be called on one event loop; other methods may be called from any thread.
    """

    def __init__(
        self,
        slots: int,
        queue_capacity: int,
        connections: int | None = None,
        *,
        scarce: bool = False,
    ) -> None:
        """Creates a gate that refuses all calls until the upstream announces that it is ready.

        Args:
            slots: Concurrent calls that the operator's text allows.
            queue_capacity: Number of calls that may wait.
            connections: Connections that the operator's text allows; as many as slots if None.
            scarce: True to divide the upstream between direct and unattributed calls.
        """
        self._lock = threading.Lock()
        self._admission = admission.Admission(slots, queue_capacity, connections, scarce=scarce)
        self._event_loop: asyncio.AbstractEventLoop | None = None
        self._start_timer: asyncio.TimerHandle | None = None
        self._evacuated = False

    async def enter(
        self,
        context: call.CallContext,
        now: float,
        token: cancellation.Token | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> Ticket:
        """Waits until the call may start.

        Args:
            context: Context of the call.
            now: Monotonic time in seconds.
            token: Cancelled when the caller has disconnected.
            clock: Returns the monotonic time in seconds, read after a wait.

        Returns:
            Ticket of the started call.

        Raises:
            CallError: The call was refused with verdict NOT_RUN; reason is "shed", "cold",
                "deadline", "cancelled", "draining" or "no-upstream".
        """
        if token is not None and token.cancelled:
            raise _caller_left_error(context)
        with self._lock:
            if self._evacuated:
                raise refusal.build_refusal(DRAINING, EVACUATED_MESSAGE, context.request_id)
            entry = self._admission.offer(context, now, _ignore_settled)
        if entry.state is queue.EntryState.WAITING:
            await self._wait(entry, context.deadline - now, token)
        if entry.state is not queue.EntryState.STARTED:
            raise entry.refusal
        if token is not None and token.cancelled:
            self.finish(entry, outcome.Outcome.REFUSED, clock())
            raise _caller_left_error(context)
        return Ticket(self, entry)

    async def _wait(
        self, entry: queue.Entry, wait_s: float, token: cancellation.Token | None
    ) -> None:
        """Waits until an entry is started or refused; refuses it after `wait_s` seconds."""
        registration = -1
        if token is not None:
            registration = token.on_cancel(lambda: self._withdraw(entry, "cancelled"))
        wake = loop.WakeUpEvent()
        with self._lock:
            entry.notify = lambda _: wake()
            waiting = entry.state is queue.EntryState.WAITING
        if waiting:
            self._event_loop = asyncio.get_running_loop()
            self._schedule_start()
            await wake.wait(wait_s)
        # Has no effect if the call was started or refused while it waited.
        self._withdraw(entry, "deadline")
        if token is not None:
            token.remove(registration)

    def _schedule_start(self) -> None:
        """Sets a timer for the time at which the rate limit lets a waiting call start.

        Runs on the event loop.
        """
        now = time.monotonic()
        with self._lock:
            delay_s = self._admission.next_start_s(now)
        if delay_s is not None and self._start_timer is None:
            self._start_timer = self._event_loop.call_later(delay_s, self._start_waiting_calls)

    def _start_waiting_calls(self) -> None:
        self._start_timer = None
        with self._lock:
            self._admission.start_waiting_calls(time.monotonic())
        self._schedule_start()

    def _withdraw(self, entry: queue.Entry, reason: str) -> None:
        with self._lock:
            self._admission.withdraw(entry, reason)

    def finish(self, entry: queue.Entry, result: outcome.Outcome, now: float) -> None:
        """Releases the slot of a started call; see `Ticket.finish`."""
        with self._lock:
            self._admission.finish(entry, result, now)
            waits_for_rate_limit = self._admission.next_start_s(now) is not None
        if waits_for_rate_limit:
            self._event_loop.call_soon_threadsafe(self._schedule_start)

    def apply_notice(self, received: notice.Notice, now: float) -> None:
        """Applies what the upstream says about itself in an answer.

        Args:
            received: What is known of the upstream after the answer.
            now: Monotonic time in seconds.
        """
        with self._lock:
            self._admission.apply_notice(received, now)

    @property
    def next_trial(self) -> int | None:
        """Connections that should be open in the next trial, None if none is due."""
        with self._lock:
            return self._admission.next_trial

    @property
    def bound_generation(self) -> int:
        """Changes as the bound of an upstream that was replaced is forgotten."""
        with self._lock:
            return self._admission.bound_generation

    @property
    def has_connection_bound(self) -> bool:
        """True while the upstream counts as one that refuses connections."""
        with self._lock:
            return self._admission.has_connection_bound

    def record_refused_connection(self, open_connections: int, now: float) -> None:
        """Takes in that the upstream refused a connection beside so many open ones."""
        with self._lock:
            self._admission.record_refused_connection(open_connections, now)

    def record_trial(self, accepted: int, is_whole: bool, generation: int, now: float) -> None:
        """Takes in how many connections the upstream accepted, and whether it refused none.

        Does nothing if `generation`, that of the trial's beginning, isn't the present one.
        """
        with self._lock:
            self._admission.record_trial(accepted, is_whole, generation, now)

    def forget_connection_bound(self) -> None:
        """Forgets the refused connections of an upstream that was replaced."""
        with self._lock:
            self._admission.forget_connection_bound()

    def configure(self, slots: int, connections: int) -> None:
        """Applies slots and connections of a new operator's text."""
        with self._lock:
            self._admission.configure(slots, connections)

    def configure_cold(self, rate_per_s: float, cold_start_s: float) -> None:
        """Applies the bound of a cold upstream; see `start_rates.ColdRate.configure`."""
        with self._lock:
            self._admission.start_rates.cold.configure(rate_per_s, cold_start_s)

    def apply_coldness(self, cold_s: float | None, is_new_start: bool, now: float) -> bool:
        """Takes in how long the upstream stays cold; returns True if a bound begins.

        Waiting calls are refused then, as other upstreams may have room. See
        `start_rates.ColdRate.apply_announcement`.
        """
        with self._lock:
            begins = self._admission.start_rates.cold.apply_announcement(cold_s, is_new_start, now)
            if begins:
                self._admission.refuse_waiting_calls("cold", start_rates.COLD_MESSAGE)
            return begins

    def cold_rate(self, now: float) -> float:
        """Returns the calls per second that a cold upstream gets, 0 while there is no bound."""
        with self._lock:
            return self._admission.start_rates.cold.rate_per_s(now)

    def apply_announcement(
        self,
        state: record.State,
        slots: int,
        connections: int,
        load: float,
        now: float,
        *,
        exact_slots: bool = False,
    ) -> None:
        """Applies an announcement of the upstream.

        Args:
            state: State of the upstream; LOST if its heartbeats have been missing for too long.
            slots: Number of calls that the upstream claims to run concurrently.
            connections: Number of connections that the upstream claims to accept.
            load: Load that the upstream claims; a hint only, on which no decision is based.
            now: Monotonic time in seconds.
            exact_slots: True if the upstream counts its slots itself instead of estimating them;
                such an upstream also announces how long it stays slow after its start.
        """
        with self._lock:
            self._admission.apply_announcement(
                state, slots, connections, now, exact_slots=exact_slots
            )

    def drain(self) -> None:
        """Refuses all waiting and future calls; running calls continue."""
        with self._lock:
            self._admission.drain()

    @property
    def kinds(self) -> call_kinds.KindsReport:
        """How the upstream is divided between direct and unattributed calls."""
        with self._lock:
            return self._admission.kinds

    def set_evacuated(self, evacuated: bool) -> None:
        """Refuses all waiting and future calls while `evacuated`; running calls continue."""
        with self._lock:
            self._evacuated = evacuated
            if evacuated:
                self._admission.refuse_waiting_calls(DRAINING, EVACUATED_MESSAGE)

    def report(self, now: float) -> load.LoadReport:
        """Returns the load report that is sent with every answer."""
        with self._lock:
            return self._admission.report(now)


def _ignore_settled(entry: queue.Entry) -> None:
    """Does nothing: the task does not wait yet, so there is nothing to wake."""


def _caller_left_error(context: call.CallContext) -> errors.CallError:
    return refusal.build_refusal("cancelled", "the caller has disconnected", context.request_id)
