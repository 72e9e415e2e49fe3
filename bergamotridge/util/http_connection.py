"""One connection of the HTTP server: reads requests in order and writes their responses."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

import httptools
import logbook

from bergamotridge.util import (
    cancellation,
    connection_table,
    late_timer,
    loop,
    message,
    request_reader,
    send_queue,
)

logger = logbook.Logger(__name__)

MAX_PIPELINED_REQUESTS = 16
LINGER_S = 1.0
CLOSE_PAUSE_S = 0.005
MIN_COUNTED_BYTES = 65_536  # Asking what a client has yet to take costs a system call.
UNANSWERED = "unanswered"  # Cause of an end that leaves requests without an answer.
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[message.Request, cancellation.Token], Awaitable[message.Response]]


class ConnectionOwner(Protocol):
    """The server that a connection belongs to; `httpd.Server` describes the attributes."""

    bounds: Callable[[], request_reader.RequestLimits]
    handler: Handler
    name: str
    refusal: bytes
    closing: bool
    on_arrival: Callable[[], None]
    connections: connection_table.ConnectionTable

    def admit(self, connection: "Connection") -> bool:
        """Registers a new connection; returns False if the server is full."""

    def report_turned_away(self, cause: str) -> None:
        """Counts a connection that is closed without an answer of the handler."""


class Connection(asyncio.Protocol):
    """One accepted connection; its task answers the requests in the order of their arrival.

    Attributes:
        token: Cancellation token of the request that is being answered, None between requests.
        head_started_at: Time of the loop at which the first byte of an incomplete head arrived,
            None if no head is incomplete.
        idle_since: Time of the loop at which the connection was last active.
    """

    def __init__(self, server: ConnectionOwner, event_loop: asyncio.AbstractEventLoop) -> None:
        self.token: cancellation.Token | None = None
        self.head_started_at: float | None = None
        self.idle_since = event_loop.time()
        self._server = server
        self._event_loop = event_loop
        self._reader = request_reader.RequestReader(server.bounds())
        self._transport: asyncio.Transport | None = None
        self._request_waiter: asyncio.Future | None = None
        self._write_waiter: asyncio.Future | None = None
        self._head_timer: late_timer.LateTimer | None = None
        self._body_timer: late_timer.LateTimer | None = None
        self._write_paused = False
        self._unsent_bytes = 0
        self._is_finishing = False
        self._input_ended = False
        self._refusal_status = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the task that answers requests, unless the server is full."""
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        if self._server.admit(self):
            self._event_loop.create_task(self._serve())
        else:
            self._input_ended = True
            self._send_last_response(self._server.refusal)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and wakes the task once a request is complete."""
        self._server.on_arrival()
        if self._input_ended:
            return
        self._server.connections.mark_busy(self)
        reader = self._reader
        waiting = len(reader.requests)
        try:
            reader.feed(data)
        except (httptools.HttpParserError, request_reader.BadRequestError) as error:
            # httptools raises its own error from the exception of a callback.
            cause = (
                error if isinstance(error, request_reader.BadRequestError) else error.__context__
            )
            self._refuse_input(
                cause.status if isinstance(cause, request_reader.BadRequestError) else 400
            )
            return
        now = time.monotonic()
        for request in itertools.islice(reader.requests, waiting, None):
            request.received_at = now
        if reader.expects_continue:
            reader.expects_continue = False
            self._transport.write(CONTINUE_RESPONSE)
        if reader.requests:
            self._clear_input_timers()
            self._wake_request_waiter()
            if len(reader.requests) > MAX_PIPELINED_REQUESTS:
                self._transport.pause_reading()
        elif reader.in_head:
            self._start_head_timer()
        else:
            self.idle_since = self._event_loop.time()
            if reader.in_body:
                self._start_body_timer()

    def eof_received(self) -> bool:
        """Cancels the running call, as the client has closed the connection."""
        self._end_input()
        # True keeps the connection open, so that the response in progress can still be written.
        return self.token is not None

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the task and removes the connection from the server."""
        del exc
        self._end_input()
        if self._write_waiter is not None:
            loop.complete_future(self._write_waiter)
        self._server.connections.remove(self)

    def pause_writing(self) -> None:
        """Makes the task wait until the client has taken the response."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Lets the task go on."""
        self._write_paused = False
        if self._write_waiter is not None:
            loop.complete_future(self._write_waiter)

    @property
    def is_in_use(self) -> bool:
        """True while a request is answered, waits, or has been read in part."""
        takes_part = self._reader.has_input and not self._input_ended
        return self.token is not None or bool(self._reader.requests) or takes_part

    def is_idle_since(self, time: float) -> bool:
        """Returns whether no request was read or answered since a time of the loop."""
        between_requests = (
            self.token is None
            and self.head_started_at is None
            and not self._reader.requests
            and not self._input_ended
        )
        return between_requests and self.idle_since < time

    def note_progress(self, now: float) -> bool:
        """Returns whether the client has taken a part of the last answer since it was last asked.

        If so, the connection counts as active, as the client can't have sent another request.
        Asked is also when the answer was written.

        Args:
            now: Time of the loop in seconds.
        """
        before, self._unsent_bytes = self._unsent_bytes, self._count_unsent()
        if self._unsent_bytes == before:
            return False
        self.idle_since = now
        return True

    def _count_unsent(self) -> int:
        if self._transport.is_closing():
            return 0
        return send_queue.count_bytes(self._transport.get_extra_info("socket"))

    def finish(self) -> None:
        """Takes no further input, and closes the connection once all that was read is answered.

        The running call and those that wait behind it are cancelled. A request that was read in
        part is refused.
        """
        self._is_finishing = True
        if self.token is not None:
            self.token.cancel()
        if self._input_ended:
            return
        self._transport.pause_reading()
        if self._reader.in_head or self._reader.in_body:
            self._refuse_input(503)
        else:
            self._end_input()

    def close(self) -> None:
        """Closes the connection at once; a response that is being sent is cut off."""
        self._report_unanswered()
        self._end_input()
        if self._transport is not None:
            self._transport.abort()

    def evict(self) -> None:
        """Closes the connection once everything written has been sent."""
        self._report_unanswered()
        self._end_input()
        self._transport.close()

    def _start_head_timer(self) -> None:
        # Behind a request that is not answered yet, the time of a head doesn't run.
        is_answering = self.token is not None or self._reader.requests
        if self.head_started_at is None and not is_answering:
            bounds = self._reader.bounds
            self.head_started_at = self._event_loop.time()
            timeout_s = min(bounds.header_timeout_s, bounds.idle_s)
            self._head_timer = self._start_timer(timeout_s, self._refuse_late_input)

    def _start_body_timer(self) -> None:
        """Limits the time of the whole body, of which single bytes keep the connection active."""
        if self._body_timer is None:
            self._clear_input_timers()
            timeout_s = self._reader.bounds.body_timeout_s
            self._body_timer = self._start_timer(timeout_s, self._refuse_late_input)

    def _clear_input_timers(self) -> None:
        for timer in (self._head_timer, self._body_timer):
            if timer is not None:
                timer.cancel()
        self._head_timer = self._body_timer = self.head_started_at = None

    def _start_timer(self, delay_s: float, function: Callable[[], None]) -> late_timer.LateTimer:
        return late_timer.LateTimer(self._event_loop, delay_s, function)

    def _refuse_late_input(self) -> None:
        self._refuse_input(408)

    def _refuse_input(self, status: int) -> None:
        """Refuses invalid or late input with `status`, after the earlier requests are answered."""
        self._clear_input_timers()
        self._refusal_status = status
        self._server.report_turned_away(f"input-{status}")
        self._end_input()

    def _end_input(self) -> None:
        """Stops taking requests; cancels the running call unless the input was refused."""
        self._input_ended = True
        self._clear_input_timers()
        if self.token is not None and not self._refusal_status:
            self.token.cancel()
        self._wake_request_waiter()

    def _report_unanswered(self) -> None:
        """Reports that this side ends the connection although requests were read from it."""
        if self.token is not None or self._reader.requests:
            self._server.report_turned_away(UNANSWERED)

    def _wake_request_waiter(self) -> None:
        waiter = self._request_waiter
        if waiter is not None:
            self._request_waiter = None
            if not waiter.done():
                waiter.set_result(None)

    async def _serve(self) -> None:
        try:
            keep_alive = True
            while keep_alive and (request := await self._next_request()) is not None:
                keep_alive = await self._answer_request(request)
            if self._refusal_status:
                response = message.Response(
                    self._refusal_status, [(b"bergamotridge-verdict", b"not-run")]
                )
                self._send_last_response(message.encode_response(response, keep_alive=False))
            elif not self._transport.is_closing():
                self._report_unanswered()
                self._end_after_last_response()
        except Exception:
            logger.exception("a connection of the server '{}' failed", self._server.name)
            self._transport.close()

    def _send_last_response(self, response: bytes) -> None:
        """Sends a last response, then discards what the client still sends for `LINGER_S` seconds.

        Closing at once would reset the connection, and the client might never read the response.
        """
        if not self._transport.is_closing():
            self._transport.write(response)
            self._linger()

    def _end_after_last_response(self) -> None:
        """Ends the connection; what the client has sent since is read and dropped."""
        self._input_ended = True
        # It makes room for others like any that waits for its client.
        self._server.connections.mark_idle(self, self._event_loop.time())
        self._transport.resume_reading()
        self._linger()

    def _linger(self) -> None:
        self._transport.write_eof()
        self._event_loop.call_later(LINGER_S, self._transport.abort)

    async def _next_request(self) -> message.Request | None:
        """Waits for the next request and returns it, or None when no further one will be taken."""
        requests = self._reader.requests
        while not requests:
            if self._input_ended:
                return None
            self._request_waiter = self._event_loop.create_future()
            await self._request_waiter
        if len(requests) == MAX_PIPELINED_REQUESTS and not self._input_ended:
            self._transport.resume_reading()
        return requests.popleft()

    async def _answer_request(self, request: message.Request) -> bool:
        """Sends the response of the handler; returns whether the connection is kept open."""
        server = self._server
        token = self.token = cancellation.Token()
        if self._is_finishing or (self._input_ended and not self._refusal_status):
            token.cancel()
        try:
            response = await server.handler(request, token)
        except Exception:
            logger.exception("the handler of the server '{}' failed", server.name)
            response = message.Response(500, [(b"bergamotridge-verdict", b"may-have-run")])
        if self._transport.is_closing():
            self.token = None
            return False
        if server.closing and request.keep_alive and not self._reader.has_input:
            # What the client has sent already is read before the connection is ended.
            await asyncio.sleep(CLOSE_PAUSE_S)
            if self._transport.is_closing():
                self.token = None
                return False
        keep_alive = request.keep_alive and (not server.closing or self._reader.has_input)
        if not keep_alive:
            # What is still unread is not taken, so that the client may send it again.
            self._transport.pause_reading()
        data = message.encode_response(
            response, keep_alive=keep_alive, head=request.method == b"HEAD"
        )
        self._transport.write(data)
        if self._write_paused:
            await self._wait_until_written()
        self.token = None
        self.idle_since = self._event_loop.time()
        self._unsent_bytes = self._count_unsent() if len(data) > MIN_COUNTED_BYTES else 0
        if keep_alive and not self._reader.has_input:
            server.connections.mark_idle(self, self.idle_since)
        elif keep_alive and self._reader.in_head and not self._input_ended:
            self._start_head_timer()
        return keep_alive

    async def _wait_until_written(self) -> None:
        """Waits for a slow client to take the response; aborts the connection after `idle_s`."""
        waiter = self._write_waiter = self._event_loop.create_future()
        timer = self._start_timer(self._reader.bounds.idle_s, self.close)
        try:
            if self._write_paused and not self._transport.is_closing():
                await waiter
        finally:
            self._write_waiter = None
            timer.cancel()
