"""One connection of the HTTP client: sends a request and reads the bytes of its response."""

import asyncio
import contextlib
import select
import socket
from collections.abc import Callable

import httptools

from bergamotridge.util import (
    answer_memory,
    cancellation,
    input_turns,
    late_timer,
    response_reader,
)

TURNS_TO_READ = 2  # Of the loop: it reads between them.
# Time without a sign of the other side after which the kernel gives up a connection.
TCP_USER_TIMEOUT_MS = 1_000
# Any server takes as much before it reads. It may leave more of a request unread for as long as it
# likes, which the kernel would take for no sign.
UNREAD_BYTES = 4_096
# Responses are parsed in pieces of the first size, which doubles up to the second one while a piece
# yields no more parts than this.
MIN_PARSED_BYTES = 4_096
MAX_PARSED_BYTES = 32_768
FEW_PARTS = 4
# Fields and pieces of a body after which parsing goes on in a later turn.
MAX_TURN_PARTS = 512


class TimeLimitError(TimeoutError):
    """The time limit of the transfer has passed; other TimeoutErrors come from the network."""


class MemoryExceededError(Exception):
    """The response was given up, as all responses being read held too much memory."""


class Connection(asyncio.Protocol):
    """One client connection; carries one transfer at a time.

    Attributes:
        address: IP:PORT of the server.
        reader: Parses the responses.
        idle_until: Time of the loop in seconds until which the idle connection may be reused.
        ended: True once either side has closed the connection.
        ended_by_peer: True if the other side closed it first.
        refused: True if the other side closed it first, before the time given to `limit_refusal`.
    """

    def __init__(
        self,
        event_loop: asyncio.AbstractEventLoop,
        address: str,
        reader: response_reader.ResponseReader,
        memory: answer_memory.AnswerMemory,
        close_delimited: bool,
        on_arrival: Callable[[], None],
        turns: input_turns.InputTurns,
    ) -> None:
        self.address = address
        self.reader = reader
        self._memory = memory
        self.idle_until = 0.0
        self.ended = False
        self.ended_by_peer = False
        self.refused = False
        self._may_be_refused = True
        self._event_loop = event_loop
        self._close_delimited = close_delimited
        self._on_arrival = on_arrival
        self._turns = turns
        self._unparsed = memoryview(b"")
        self._awaits_turn = False
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future | None = None
        self._input = select.poll()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keeps the transport."""
        self._transport = transport
        self._input.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; ends the transfer once its response is complete.

        What is too much for one turn is parsed in later ones, and nothing is received until then.
        """
        self._on_arrival()
        if self._waiter is None:
            # No transfer is running, so these bytes belong to no request.
            self.abort()
            return
        self._unparsed = memoryview(bytes(self._unparsed) + data if self._unparsed else data)
        self._parse()
        if self._unparsed and not self.ended:
            self._transport.pause_reading()
            self._await_turn()

    def _await_turn(self) -> None:
        if not self._awaits_turn:
            self._awaits_turn = True
            self._turns.add(self._event_loop, self._parse_rest)

    def _parse_rest(self) -> None:
        """Parses more of what was received, and receives more once that was the last of it."""
        self._awaits_turn = False
        if self.ended:
            return
        self._parse()
        if self._unparsed:
            self._await_turn()
        elif not self.ended:
            self._transport.resume_reading()

    def _parse(self) -> None:
        """Parses a bounded part of what was received."""
        reader, rest, size = self.reader, self._unparsed, MIN_PARSED_BYTES
        first_part = reader.parts
        self._unparsed = rest[:0]  # Unless it is needed below.
        try:
            while rest and not reader.has_excess_data:
                parts = reader.parts
                if parts - first_part >= MAX_TURN_PARTS:
                    self._unparsed = rest
                    break
                reader.feed(rest[:size])
                rest = rest[size:]
                is_sparse = reader.parts - parts <= FEW_PARTS
                size = min(2 * size, MAX_PARSED_BYTES) if is_sparse else MIN_PARSED_BYTES
        except (httptools.HttpParserError, response_reader.ResponseTooLargeError) as error:
            self._fail_transfer(error)
            return
        if reader.complete and not self._unparsed:
            self._complete_transfer()
        else:
            unparsed_bytes = len(self._unparsed.obj) if self._unparsed else 0
            self._memory.hold(self, reader.held_bytes + unparsed_bytes)

    def give_up(self) -> None:
        """Drops the response that is being read, and closes the connection.

        One that is complete is about to be taken, and stays.
        """
        if self._waiter is None or self._waiter.done():
            return
        self._fail_transfer(
            MemoryExceededError("all responses being read together exceed their memory")
        )
        self._unparsed = memoryview(b"")
        self.discard()

    def eof_received(self) -> None:
        """Notes the end of the connection, which may also be the end of a response."""
        self._note_end()
        reader = self.reader
        if self._close_delimited and reader.status and not reader.framed:
            self._complete_transfer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the running transfer."""
        self._note_end()
        self._fail_transfer(
            exc or ConnectionError("the connection closed before the response was complete")
        )

    def limit_refusal(self, within_s: float) -> None:
        """Takes an end that arrives later than some seconds from now for no refusal.

        One that had arrived by then, and is read later by a process that stood still, is taken.
        """
        late_timer.LateTimer(self._event_loop, within_s, self._exclude_refusal)

    def _exclude_refusal(self) -> None:
        self._may_be_refused = False

    def _note_end(self) -> None:
        if not self.ended:
            self.ended_by_peer = True
            self.refused = self._may_be_refused
        self.ended = True

    @property
    def is_open_and_flushed(self) -> bool:
        """True if the connection is open and all of the request has been sent."""
        return not self.ended and not self._transport.get_write_buffer_size()

    @property
    def has_unread_input(self) -> bool:
        """True if something has arrived that the loop has yet to read, such as the server's end.

        Of an idle connection only; the loop may be some time behind what the kernel knows.
        """
        return bool(self._input.poll(0))

    def abort(self) -> None:
        """Closes the connection at once; a running transfer fails."""
        self.ended = True
        if self._transport is not None:
            self._transport.abort()

    def discard(self) -> None:
        """Closes the connection at once and frees its response, which was taken or is not needed.

        The garbage collector may find the connection much later.
        """
        self.abort()
        self.reader.drop()

    async def transfer(
        self, data: bytes, deadline: float, token: cancellation.Token | None
    ) -> None:
        """Sends a request and reads its complete response into `reader`.

        Args:
            data: The serialized request.
            deadline: Time limit, as time of the loop in seconds.
            token: Aborts the connection when cancelled.

        Raises:
            TimeLimitError: The response was not complete at the deadline.
            OSError: The connection failed.
            httptools.HttpParserError: The response is not valid HTTP.
            response_reader.ResponseTooLargeError: The response exceeds a limit.
            MemoryExceededError: All responses being read exceed the memory for them.
        """
        waiter = self._waiter = self._event_loop.create_future()
        timer = self._event_loop.call_at(deadline, self._end_at_deadline, waiter, TURNS_TO_READ)
        registration = token.on_cancel(self.abort) if token is not None else -1
        may_stay_unread = len(data) > UNREAD_BYTES
        try:
            if may_stay_unread and not self.ended:
                self._set_user_timeout(0)
            self._transport.write(data)
            await waiter
            if may_stay_unread and not self.ended:
                self._set_user_timeout(TCP_USER_TIMEOUT_MS)
        finally:
            timer.cancel()
            # With its error it would be a cycle, by which the traceback keeps what was sent.
            del waiter
            self._waiter = None
            self._unparsed = memoryview(b"")
            self._memory.release(self)
            if token is not None:
                token.remove(registration)

    def _set_user_timeout(self, timeout_ms: int) -> None:
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError, ValueError):  # Of a connection that has just ended.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def _complete_transfer(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail_transfer(self, error: Exception) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)

    def _end_at_deadline(self, waiter: asyncio.Future, turns: int) -> None:
        """Fails a transfer, after so many turns of the loop, unless its response is read in them.

        In a process that was stopped and goes on, the loop runs its timers before it reads what
        has arrived meanwhile.
        """
        if waiter is not self._waiter:
            return
        if turns:
            self._event_loop.call_soon(self._end_at_deadline, waiter, turns - 1)
        else:
            self._fail_transfer(TimeLimitError("no complete response within the time limit"))
