"""One connection of the HTTP server: reads requests in order and writes their responses."""

import asyncio
import itertools
import time
from collections.abc import Callable

import httptools
import logbook

from bergamotridge.util import (
    cancellation,
    connection_owner,
    input_timers,
    message,
    pipeline,
    receive_queue,
    request_errors,
    request_reader,
    response_writer,
)

logger = logbook.Logger(__name__)

CLOSE_PAUSE_S = 0.005
MIN_COUNTED_BYTES = 65_536  # Asking what a client has yet to take costs a system call.
UNANSWERED = "unanswered"  # Cause of an end that leaves requests without an answer.
REQUEST_MEMORY = "request-memory"  # Cause of the refusal of a request for which there is no room.
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Connection(asyncio.Protocol):
    """One accepted connection; its task answers the requests in the order of their arrival.

    Attributes:
        idle_since: Time of the loop at which the connection was last active.
    """

    def __init__(
        self, server: connection_owner.ConnectionOwner, event_loop: asyncio.AbstractEventLoop
    ) -> None:
        self.idle_since = event_loop.time()
        self._server = server
        self._event_loop = event_loop
        self._reader = request_reader.RequestReader(server.bounds(), server.memory)
        self._pipeline = pipeline.Pipeline(
            server.pipelining, self._handle, server.memory, self._close_for, event_loop
        )
        self._transport: asyncio.Transport | None = None
        self._writer: response_writer.ResponseWriter | None = None
        self._request_waiter: asyncio.Future | None = None
        self._timers = input_timers.InputTimers(event_loop, self._refuse_late_input)
        self._arrived_at = 0.0
        self._awaits_turn = False
        self._is_late = False
        self._is_finishing = False
        self._input_ended = False
        self._refusal: message.Response | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the task that answers requests, unless the server is full."""
        self._transport = transport
        self._writer = response_writer.ResponseWriter(
            transport, self._event_loop, self._server.memory, self._close_for
        )
        if self._server.admit(self):
            self._event_loop.create_task(self._serve())
        else:
            self._input_ended = True
            self._send_last_response(self._server.refusal)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, and wakes the task once a request is complete.

        What is too much for one turn is parsed in later ones, and nothing is received until then.
        """
        self._server.on_arrival()
        if self._input_ended:
            return
        self._server.connections.mark_busy(self)
        reader = self._reader
        if not reader.has_input:
            reader.bounds = self._server.bounds()  # They may have changed since the last request.
        self._arrived_at = time.monotonic()
        self._parse(lambda: reader.feed(data))
        if not self._input_ended and (reader.is_behind or reader.is_full):
            self._transport.pause_reading()
            self._read_on()

    def _read_on(self) -> None:
        """Parses the rest of the input in later turns, then receives more.

        Does nothing while too many requests wait.
        """
        if self._awaits_turn or self._reader.is_full:
            return
        if self._reader.is_behind:
            self._awaits_turn = True
            self._server.input_turns.add(self._event_loop, self._parse_rest)
        elif not self._transport.is_closing():
            self._transport.resume_reading()

    def _parse_rest(self) -> None:
        self._awaits_turn = False
        if not self._input_ended:
            self._parse(self._reader.parse)
            # Also after a refusal, as the client sends on until it has read it.
            self._read_on()

    def _parse(self, parse: Callable[[], None]) -> None:
        """Calls `parse`; then sets timers and wakes the task, or refuses the input."""
        reader = self._reader
        waiting = len(reader.requests)
        try:
            parse()
        except (httptools.HttpParserError, request_errors.BadRequestError) as error:
            self._refuse_unreadable(error)
            return
        for request in itertools.islice(reader.requests, waiting, None):
            request.received_at = self._arrived_at
        if reader.expects_continue:
            reader.expects_continue = False
            self._transport.write(CONTINUE_RESPONSE)
        if reader.requests:
            self._clear_timers()
            self._start_ahead()
            self._wake_request_waiter()
        elif reader.in_head:
            self._start_head_timer()
        else:
            self.idle_since = self._event_loop.time()
            if reader.in_body:
                self._timers.start_body(reader.bounds)
        if self._is_late and not reader.is_behind:
            self._refuse_input(408)

    def _refuse_unreadable(self, error: Exception) -> None:
        cause = request_errors.find_cause(error)
        if isinstance(cause, request_errors.NoRoomError):
            self._refuse(self._server.memory_refusal, REQUEST_MEMORY)
        else:
            self._refuse_input(cause.status)

    def eof_received(self) -> bool:
        """Cancels the running call, as the client has closed the connection."""
        self._end_input()
        # True keeps the connection open, so that the response in progress can still be written.
        return self.token is not None

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the task and removes the connection from the server."""
        del exc
        self._end_input()
        self._writer.resume()
        self._server.connections.remove(self)

    def pause_writing(self) -> None:
        """Makes the task wait until the client has taken the response."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Lets the task go on."""
        self._writer.resume()

    @property
    def token(self) -> cancellation.Token | None:
        """Token of the request that is answered next; None if no request is being answered."""
        return self._pipeline.token

    @property
    def head_started_at(self) -> float | None:
        """Time of the loop at which an incomplete head began, None if no head is incomplete."""
        return self._timers.head_started_at

    @property
    def reading_since(self) -> float | None:
        """Time of the loop since which the client has taken a long response, None if it doesn't."""
        return self._writer.started_at if self._writer.is_writing else None

    @property
    def is_in_use(self) -> bool:
        """True while a request is answered, waits, or has been read in part, or an answer is taken.

        The rest of an answer is lost if its client sends anything on a connection that has ended.
        """
        takes_part = self._reader.has_input and not self._input_ended
        is_answering = self.token is not None or bool(self._reader.requests)
        is_taken = self._writer.is_being_taken(self._reader.bounds.idle_s)
        return is_answering or takes_part or is_taken

    @property
    def has_arrived(self) -> bool:
        """True if input has arrived that is still to be read, and that would be taken."""
        if self._input_ended or self._transport.is_closing():
            return False
        unread = receive_queue.count_bytes(self._transport.get_extra_info("socket"))
        return self._reader.is_behind or unread > 0

    def is_idle_since(self, time: float) -> bool:
        """Returns whether no request was read or answered since a time of the loop."""
        between_requests = (
            self.token is None
            and self.head_started_at is None
            and not self._reader.requests
            and not self._reader.is_behind
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
        if not self._writer.note_progress():
            return False
        self.idle_since = now
        return True

    def finish(self) -> None:
        """Takes no further input, and closes the connection once all that was read is answered.

        The running call and those that wait behind it are cancelled. A request that was read in
        part is refused.
        """
        self._is_finishing = True
        self._pipeline.cancel()
        if self._input_ended:
            return
        self._transport.pause_reading()
        if self._reader.in_head or self._reader.in_body or self._reader.is_behind:
            self._refuse_input(503)
        else:
            self._end_input()

    def close(self) -> None:
        """Closes the connection at once; a response that is being sent is cut off."""
        self._close_for(UNANSWERED)

    def _close_for(self, cause: str) -> None:
        self._report_unanswered(cause)
        self._end_input()
        if self._transport is not None:
            self._transport.abort()

    def evict(self) -> None:
        """Closes the connection once the kernel has what was written, or at once if it has not."""
        if self._writer.is_writing:
            self.close()
            return
        self._report_unanswered()
        self._end_input()
        self._transport.close()

    def end_idle(self) -> None:
        """Ends a connection that was idle for too long; a request that was begun is refused."""
        if self._reader.in_body:
            self._refuse_input(408)
        else:
            self.evict()

    def _start_head_timer(self) -> None:
        # Behind a request that is not answered yet, the time of a head doesn't run.
        if self.token is None and not self._reader.requests:
            self._timers.start_head(self._reader.bounds)

    def _refuse_late_input(self) -> None:
        """Refuses a request that isn't complete in time, once all that has come is parsed."""
        if self._reader.is_behind:
            self._is_late = True
        else:
            self._refuse_input(408)

    def _clear_timers(self) -> None:
        self._timers.clear()
        self._is_late = False

    def _refuse_input(self, status: int) -> None:
        """Refuses invalid or late input with `status`, after the earlier requests are answered."""
        response = message.Response(status, [(b"bergamotridge-verdict", b"not-run")])
        self._refuse(response, f"input-{status}")

    def _refuse(self, response: message.Response, cause: str) -> None:
        self._clear_timers()
        self._refusal = response
        self._server.report_turned_away(cause)
        self._end_input()

    def _end_input(self) -> None:
        """Stops taking requests; cancels the running call unless the input was refused."""
        self._input_ended = True
        self._reader.drop_unparsed()
        self._clear_timers()
        if self._refusal is None:
            self._pipeline.cancel()
        self._wake_request_waiter()

    def _report_unanswered(self, cause: str = UNANSWERED) -> None:
        """Reports that this side ends the connection although requests were read from it."""
        if self._pipeline or self._reader.requests:
            self._server.report_turned_away(cause)

    def _wake_request_waiter(self) -> None:
        waiter = self._request_waiter
        if waiter is not None:
            self._request_waiter = None
            if not waiter.done():
                waiter.set_result(None)

    async def _serve(self) -> None:
        try:
            keep_alive = True
            while keep_alive and await self._wait_for_request():
                keep_alive = await self._answer_request()
            if self._refusal is not None:
                self._send_last_response(message.encode_response(self._refusal, keep_alive=False))
            elif not self._transport.is_closing():
                self._report_unanswered()
                self._end_after_last_response()
        except Exception:
            logger.exception("a connection of the server '{}' failed", self._server.name)
            self._transport.close()
        finally:
            self._pipeline.drop()
            self._reader.drop()

    def _send_last_response(self, response: bytes) -> None:
        """Sends a last response, then discards what the client still sends for a while.

        Closing at once would reset the connection, and the client might never read the response.
        """
        if not self._transport.is_closing():
            self._transport.write(response)
            self._writer.linger(self._reader.bounds.idle_s)

    def _end_after_last_response(self) -> None:
        """Ends the connection; what the client has sent since is read and dropped."""
        self._input_ended = True
        # It makes room for others like any that waits for its client.
        self._server.connections.mark_idle(self, self._event_loop.time())
        self._transport.resume_reading()
        self._writer.linger(self._reader.bounds.idle_s)

    async def _wait_for_request(self) -> bool:
        """Waits for the next request; returns False when no further one will be taken."""
        while not self._pipeline and not self._reader.requests:
            if self._input_ended:
                return False
            self._request_waiter = self._event_loop.create_future()
            await self._request_waiter
        return True

    def _take_request(self) -> message.Request:
        reader = self._reader
        was_full = reader.is_full
        request = reader.requests.popleft()
        if was_full and not reader.is_full and not self._input_ended:
            self._read_on()
        return request

    @property
    def _is_cut_off(self) -> bool:
        """True if requests that begin now are cancelled."""
        return self._is_finishing or (self._input_ended and self._refusal is None)

    async def _handle(
        self, request: message.Request, token: cancellation.Token
    ) -> message.Response:
        """Returns the response of the handler; the body of the request isn't needed after it."""
        try:
            return await self._server.handler(request, token)
        except Exception:
            logger.exception("the handler of the server '{}' failed", self._server.name)
            return message.Response(500, [(b"bergamotridge-verdict", b"may-have-run")])
        finally:
            self._reader.release(request)

    def _start_ahead(self) -> None:
        """Starts the requests that may run beside the one that is answered next."""
        requests = self._reader.requests
        while requests and not self._is_cut_off and self._pipeline.may_start(requests[0]):
            self._pipeline.start(self._take_request())

    async def _answer_request(self) -> bool:
        """Sends the next response; returns whether the connection is kept open."""
        if not self._pipeline:
            self._pipeline.add(self._take_request())
        if self._is_cut_off:
            self._pipeline.cancel()
        self._start_ahead()
        result = await self._pipeline.finish_first()
        keep_alive = await self._is_kept_open(result)
        if self._transport.is_closing():
            self._pipeline.remove_first()
            return False
        if not keep_alive:
            # What is still unread is not taken, so that the client may send it again.
            self._transport.pause_reading()
        data = message.encode_response(result.response, keep_alive=keep_alive, head=result.is_head)
        # It is not kept while the client takes the response.
        del result
        is_long = len(data) > MIN_COUNTED_BYTES
        await self._writer.write(data, self._reader.bounds.idle_s)
        self._pipeline.remove_first()
        self.idle_since = self._event_loop.time()
        self._writer.begin_watch(is_long)
        if keep_alive and not self._has_more:
            self._server.connections.mark_idle(self, self.idle_since)
        elif keep_alive and self._reader.in_head and not self._input_ended:
            self._start_head_timer()
        return keep_alive

    @property
    def _has_more(self) -> bool:
        """True if something that the client has sent is left to be answered or read."""
        return bool(self._pipeline) or self._reader.has_input

    async def _is_kept_open(self, result: pipeline.Result) -> bool:
        """Returns whether the connection is kept open behind a response."""
        if not (self._server.closing and result.keep_alive):
            return result.keep_alive
        is_last = len(self._pipeline) == 1 and not self._reader.has_input
        if is_last and not self._transport.is_closing():
            # What the client has sent already is read before the connection is ended.
            await asyncio.sleep(CLOSE_PAUSE_S)
        return len(self._pipeline) > 1 or self._reader.has_input
