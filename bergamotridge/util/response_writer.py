"""Writes the responses of one connection and watches how its client takes them."""

import asyncio
from collections.abc import Callable

from bergamotridge.util import held_bytes, loop, reading_progress, send_queue

LINGER_S = 1.0
LOOKS_PER_STALL = 4  # At a client, in the time after which it counts as stalled.
NO_ROOM = "no-room"  # Cause of an end: the slowest reader of all, and no room for all.
STALLED = "stalled"  # Cause of an end: a client that takes nothing more of its response.


class ResponseWriter:
    """Passes responses to a transport; a client that takes one slowly is in the account meanwhile.

    Attributes:
        started_at: Time of the loop at which the response that is being written was begun.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        event_loop: asyncio.AbstractEventLoop,
        memory: held_bytes.HeldBytes,
        on_given_up: Callable[[str], None],
    ) -> None:
        """Creates a writer that has written nothing.

        Args:
            transport: Transport of the connection, whose protocol passes on `pause` and `resume`.
            event_loop: The event loop of the connection.
            memory: Account of the bytes that wait for clients.
            on_given_up: Closes the connection at once, for the cause that it is given.
        """
        self.started_at = 0.0
        self._transport = transport
        self._event_loop = event_loop
        self._memory = memory
        self._on_given_up = on_given_up
        self._is_paused = False
        self._waiter: asyncio.Future | None = None
        self._progress: reading_progress.ReadingProgress | None = None
        self._look_timer: asyncio.TimerHandle | None = None
        self._last: reading_progress.ReadingProgress | None = None
        transport.set_write_buffer_limits(high=0)

    def pause(self) -> None:
        """Notes that the transport holds a part of a response."""
        self._is_paused = True

    def resume(self) -> None:
        """Notes that the transport has passed on everything, or is closed."""
        self._is_paused = False
        if self._waiter is not None:
            loop.complete_future(self._waiter)

    async def write(self, data: bytes, stall_s: float) -> None:
        """Writes a response and waits until the kernel has it or the connection is closed.

        Args:
            data: The serialized response.
            stall_s: Seconds after which the connection of a client is closed that takes nothing.
        """
        self._transport.write(data)
        if not self._is_paused or self._transport.is_closing():
            return
        size = len(data)
        del data
        waiter = self._waiter = self._event_loop.create_future()
        self.started_at = self._event_loop.time()
        self._progress = reading_progress.ReadingProgress(self._count_untaken(), self.started_at)
        self._look_at_client(stall_s, self.started_at)
        self._memory.hold_response(self, size)
        try:
            await waiter
        finally:
            self._waiter = self._progress = None
            self._look_timer.cancel()
            self._memory.release_response(self)

    def _look_at_client(self, stall_s: float, due_at: float) -> None:
        """Closes the connection of a client that takes nothing, else looks again later.

        A process that stood still since the look was due has passed nothing on meanwhile.
        """
        now = self._event_loop.time()
        self._progress.exclude(now - due_at)
        self._progress.note(self._count_untaken(), now)
        if self._progress.has_stalled(now, stall_s):
            self._on_given_up(STALLED)
        next_at = now + stall_s / LOOKS_PER_STALL
        self._look_timer = self._event_loop.call_at(next_at, self._look_at_client, stall_s, next_at)

    @property
    def is_writing(self) -> bool:
        """True while a client takes a response of which the kernel doesn't have all."""
        return self._waiter is not None

    def bytes_per_s(self, now: float) -> float:
        """Returns how fast the client has taken the response that is being written."""
        if self._progress is None:
            return float("inf")
        self._progress.note(self._count_untaken(), now)
        return self._progress.bytes_per_s(now)

    def give_up(self) -> None:
        """Closes the connection as all that is held exceeds its bound."""
        self._on_given_up(NO_ROOM)

    def begin_watch(self, is_long: bool) -> None:
        """Watches how the client takes a response that the kernel has.

        Args:
            is_long: False if it is too short to ask the kernel about it, unless an earlier one is
                being taken.
        """
        if is_long or self._last is not None:
            untaken = self._count_untaken()
            now = self._event_loop.time()
            self._last = reading_progress.ReadingProgress(untaken, now) if untaken else None

    def note_progress(self) -> bool:
        """Returns whether the client has taken a part of the last response since the last look."""
        if self._last is None:
            return False
        return self._last.note(self._count_untaken(), self._event_loop.time())

    def is_being_taken(self, stall_s: float) -> bool:
        """Returns whether the client takes a response that the kernel still has a part of.

        Args:
            stall_s: Seconds after which a client counts as one that takes nothing more.
        """
        if self._last is None:
            return False
        untaken = self._count_untaken()
        has_stalled = self._last.has_stalled(self._event_loop.time(), stall_s)
        # What was taken since the last look counts, however long the process stood still.
        return untaken > 0 and (self._last.has_taken(untaken) or not has_stalled)

    def linger(self, stall_s: float) -> None:
        """Ends the output, and the connection after `LINGER_S` seconds or once all is taken.

        Args:
            stall_s: Seconds after which a client counts as one that takes nothing more.
        """
        self._transport.write_eof()
        self._event_loop.call_later(LINGER_S, self._end_linger, stall_s)

    def _end_linger(self, stall_s: float) -> None:
        self.note_progress()
        if self.is_being_taken(stall_s):
            self._event_loop.call_later(LINGER_S, self._end_linger, stall_s)
        else:
            self._transport.abort()

    def _count_untaken(self) -> int:
        if self._transport.is_closing():
            return 0
        in_kernel = send_queue.count_bytes(self._transport.get_extra_info("socket"))
        return self._transport.get_write_buffer_size() + in_kernel
