"""HTTP/1.1 server on an event loop: one task for each keep-alive connection."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

import httptools
import logbook

from bergamotridge import errors
from bergamotridge.util import cancellation, loop, message, request_reader

logger = logbook.Logger(__name__)

LISTEN_BACKLOG = 1024
IDLE_CHECK_INTERVAL_S = 1.0
STOP_CHECK_INTERVAL_S = 0.05
STOP_IDLE_S = 0.5
HEADER_BYTES = 65_536
HEADER_TIMEOUT_S = 10.0
IDLE_S = 75.0
MAX_PIPELINED_REQUESTS = 16
LINGER_S = 1.0
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[message.Request, cancellation.Token], Awaitable[message.Response]]


def split_address(address: str) -> tuple[str, int]:
    """Splits ``IP:PORT`` into IP and port; brackets around an IPv6 address are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class _Connection(asyncio.Protocol):
    """One accepted connection; its task answers the requests in the order of their arrival.

    Attributes:
        token: Cancellation token of the request that is being answered, None between requests.
        head_started_at: Time of the loop at which the first byte of an incomplete head arrived,
            None if no head is incomplete.
        idle_since: Time of the loop at which the connection was last active.
    """

    def __init__(self, server: "Server", event_loop: asyncio.AbstractEventLoop) -> None:
        self.token: cancellation.Token | None = None
        self.head_started_at: float | None = None
        self.idle_since = event_loop.time()
        self._server = server
        self._event_loop = event_loop
        self._reader = request_reader.RequestReader(server.bounds())
        self._transport: asyncio.Transport | None = None
        self._request_waiter: asyncio.Future | None = None
        self._write_waiter: asyncio.Future | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._write_paused = False
        self._input_ended = False
        self._refusal_status = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        if self._server.admit(self):
            self._event_loop.create_task(self._serve())
        else:
            self._input_ended = True
            self._send_last_response(self._server.refusal)

    def data_received(self, data: bytes) -> None:
        self._server.on_arrival()
        if self._input_ended:
            return
        reader = self._reader
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
        if reader.expects_continue:
            reader.expects_continue = False
            self._transport.write(CONTINUE_RESPONSE)
        if reader.requests:
            self._clear_head_timer()
            self._wake_request_waiter()
            if len(reader.requests) > MAX_PIPELINED_REQUESTS:
                self._transport.pause_reading()
        elif reader.in_head and self.head_started_at is None:
            self.head_started_at = self._event_loop.time()
            timeout_s = min(reader.bounds.header_timeout_s, reader.bounds.idle_s)
            self._head_timer = self._event_loop.call_later(timeout_s, self._refuse_input, 408)
        elif not reader.in_head:
            self._clear_head_timer()
            self.idle_since = self._event_loop.time()

    def eof_received(self) -> bool:
        self._end_input()
        # True keeps the connection open, so that the response in progress can still be written.
        return self.token is not None

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._end_input()
        if self._write_waiter is not None:
            loop.complete_future(self._write_waiter)
        self._server.remove(self)

    def pause_writing(self) -> None:
        self._write_paused = True

    def resume_writing(self) -> None:
        self._write_paused = False
        if self._write_waiter is not None:
            loop.complete_future(self._write_waiter)

    def is_idle_since(self, time: float) -> bool:
        """Returns whether no request was read or answered since a time of the loop."""
        between_requests = (
            self.token is None and self.head_started_at is None and not self._input_ended
        )
        return between_requests and self.idle_since < time

    def close(self) -> None:
        """Closes the connection at once; a response that is being sent is cut off."""
        self._end_input()
        if self._transport is not None:
            self._transport.abort()

    def evict(self) -> None:
        """Closes the connection once everything written has been sent."""
        self._end_input()
        self._transport.close()

    def _clear_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
            self.head_started_at = None

    def _refuse_input(self, status: int) -> None:
        """Refuses invalid or late input with `status`, after the earlier requests are answered."""
        self._clear_head_timer()
        self._refusal_status = status
        self._end_input()

    def _end_input(self) -> None:
        """Stops taking requests; cancels the running call unless the input was refused."""
        self._input_ended = True
        self._clear_head_timer()
        if self.token is not None and not self._refusal_status:
            self.token.cancel()
        self._wake_request_waiter()

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
            else:
                self._transport.close()
        except Exception:
            logger.exception("a connection of the server '{}' failed", self._server.name)
            self._transport.close()

    def _send_last_response(self, response: bytes) -> None:
        """Sends a last response, then discards what the client still sends for `LINGER_S` seconds.

        Closing at once would reset the connection, and the client might never read the response.
        """
        self._transport.write(response)
        if not self._transport.is_closing():
            self._transport.write_eof()
            self._event_loop.call_later(LINGER_S, self._transport.abort)

    async def _next_request(self) -> message.Request | None:
        """Waits for the next request and returns it, or None when no further one will be taken."""
        requests = self._reader.requests
        while not requests:
            if self._input_ended or self._reader.upgrade_requested:
                return None
            self._request_waiter = self._event_loop.create_future()
            await self._request_waiter
        if len(requests) == MAX_PIPELINED_REQUESTS:
            self._transport.resume_reading()
        return requests.popleft()

    async def _answer_request(self, request: message.Request) -> bool:
        """Sends the response of the handler; returns whether the connection is kept open."""
        server = self._server
        token = self.token = cancellation.Token()
        if self._input_ended and not self._refusal_status:
            token.cancel()
        try:
            response = await server.handler(request, token)
        except Exception:
            logger.exception("the handler of the server '{}' failed", server.name)
            response = message.Response(500, [(b"bergamotridge-verdict", b"may-have-run")])
        keep_alive = request.keep_alive and not server.closing
        self._transport.write(
            message.encode_response(response, keep_alive=keep_alive, head=request.method == b"HEAD")
        )
        if self._write_paused:
            await self._wait_until_written()
        self.token = None
        self.idle_since = self._event_loop.time()
        return keep_alive

    async def _wait_until_written(self) -> None:
        """Waits for a slow client to take the response; aborts the connection after `idle_s`."""
        waiter = self._write_waiter = self._event_loop.create_future()
        timer = self._event_loop.call_later(self._reader.bounds.idle_s, self.close)
        try:
            if self._write_paused and not self._transport.is_closing():
                await waiter
        finally:
            self._write_waiter = None
            timer.cancel()


class Server:
    """Listens on one address and passes each complete request to a handler.

    The handler returns the response; an exception that it raises is logged and answered with
    status 500. When a caller disconnects during its call, the token of the call is cancelled.

    Attributes:
        bounds: Returns the limits now in force.
        handler: Answers each request.
        name: Name of the server in messages.
        refusal: Serialized response to a connection above the limit.
        closing: True once each response closes its connection.
        on_arrival: Called for each piece of a request that arrives.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        connections: int,
        body_limit: int,
        name: str,
        refusal: message.Response,
        idle_s: float = IDLE_S,
        bounds: Callable[[], request_reader.RequestLimits] | None = None,
        event_loop: loop.Loop,
    ) -> None:
        """Creates the server; it does not listen before `start`.

        Args:
            address: IP:PORT to listen on.
            handler: Answers each request.
            connections: Maximum number of open connections; further ones get `refusal`.
            body_limit: Maximum size of the body of a request in bytes.
            name: Name of the server in messages.
            refusal: Response to a connection above `connections`.
            idle_s: Seconds without data from the client after which a connection is closed.
            bounds: Returns the limits now in force; replaces `body_limit` and `idle_s`.
            event_loop: The event loop that runs the server; `start` and `stop` are called from
                other threads.
        """
        fixed_bounds = request_reader.RequestLimits(
            HEADER_BYTES, body_limit, HEADER_TIMEOUT_S, idle_s
        )
        self.bounds = bounds or (lambda: fixed_bounds)
        self.handler = handler
        self.name = name
        self.refusal = message.encode_response(refusal, keep_alive=False)
        self.closing = False
        self.on_arrival = event_loop.record_arrival
        self._address = address
        self._max_connections = connections
        self._event_loop_thread = event_loop
        self._connections: set[_Connection] = set()
        self._asyncio_server: asyncio.Server | None = None
        self._idle_check: asyncio.Task | None = None

    def start(self) -> None:
        """Binds the address and accepts connections; raises AddressInUseError if this fails."""
        host, port = split_address(self._address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, port))
            listener.listen(LISTEN_BACKLOG)
        except OSError as error:
            listener.close()
            raise errors.AddressInUseError(
                f"cannot listen for {self.name} on '{self._address}': {error.strerror}; "
                f"free the port or change the address in the settings"
            ) from error
        self._event_loop_thread.run(self._listen(listener))

    async def _listen(self, listener: socket.socket) -> None:
        event_loop = asyncio.get_running_loop()
        self._asyncio_server = await event_loop.create_server(
            lambda: _Connection(self, event_loop), sock=listener, backlog=LISTEN_BACKLOG
        )
        self._idle_check = event_loop.create_task(self._close_idle_connections())

    def close_after_answers(self) -> None:
        """Makes each later response close its connection; new connections are still accepted."""
        self.closing = True

    def stop(self, grace_s: float) -> None:
        """Stops accepting connections, waits for running calls, then closes all connections.

        Args:
            grace_s: Maximum wait for running calls and recently used connections in seconds.
        """
        self._event_loop_thread.run(self._stop(grace_s))

    async def _stop(self, grace_s: float) -> None:
        self.closing = True
        self._stop_accepting()
        event_loop = asyncio.get_running_loop()
        deadline = event_loop.time() + grace_s
        while event_loop.time() < deadline and not self._is_quiet(event_loop.time()):
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        if self._idle_check is not None:
            self._idle_check.cancel()
        for connection in list(self._connections):
            connection.close()
        # Aborted connections are removed in the next iteration of the loop.
        await asyncio.sleep(0)

    def _stop_accepting(self) -> None:
        if self._asyncio_server is not None:
            self._asyncio_server.close()
            self._asyncio_server = None

    def _is_quiet(self, now: float) -> bool:
        """Returns whether no call runs and all connections were idle for `STOP_IDLE_S` seconds."""
        return all(
            connection.token is None and now - connection.idle_since >= STOP_IDLE_S
            for connection in self._connections
        )

    def admit(self, connection: _Connection) -> bool:
        """Registers a new connection; returns False if the server is full.

        A full server first evicts the connection with the oldest incomplete head.
        """
        if len(self._connections) >= self._max_connections and not self._evict_oldest_head():
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: _Connection) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)

    def _evict_oldest_head(self) -> bool:
        """Closes the connection with the oldest incomplete head; returns False if there is none."""
        waiting = [item for item in self._connections if item.head_started_at is not None]
        if not waiting:
            return False
        oldest = min(waiting, key=lambda item: item.head_started_at)
        self._connections.discard(oldest)
        oldest.evict()
        return True

    async def _close_idle_connections(self) -> None:
        """Closes idle connections periodically, until cancelled."""
        event_loop = asyncio.get_running_loop()
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                bounds = self.bounds()
                await asyncio.sleep(min(IDLE_CHECK_INTERVAL_S, bounds.idle_s))
                idle_before = event_loop.time() - bounds.idle_s
                for connection in list(self._connections):
                    if connection.is_idle_since(idle_before):
                        connection.evict()
