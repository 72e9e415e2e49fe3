"""HTTP/1.1 server on an event loop: one task for each kept-alive connection."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

import httptools
import logbook

from bergamotridge import errors
from bergamotridge.util import cancellation, loop, message, request_reader

logger = logbook.Logger(__name__)

BACKLOG = 1024
SWEEP_S = 1.0
QUIET_CHECK_S = 0.05
IDLE_CLOSE_S = 0.5
HEADER_BYTES = 65_536
HEADER_TIMEOUT_S = 10.0
IDLE_S = 75.0
PIPELINED = 16
LINGER_S = 1.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[message.Request, cancellation.Token], Awaitable[message.Response]]


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of ``IP:PORT``; brackets around IPv6 are taken off."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class _Connection(asyncio.Protocol):
    """One accepted connection; its task answers the requests in their order."""

    def __init__(self, server: "Server", events: asyncio.AbstractEventLoop) -> None:
        self.token: cancellation.Token | None = None
        self.head_since: float | None = None
        self.idle_since = events.time()
        self._server = server
        self._events = events
        self._reader = request_reader.RequestReader(server.bounds())
        self._transport: asyncio.Transport | None = None
        self._request_waiter: asyncio.Future | None = None
        self._write_waiter: asyncio.Future | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._write_blocked = False
        self._ended = False
        self._bad_status = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        if self._server.take(self):
            self._events.create_task(self._serve())
        else:
            self._ended = True
            self._refuse(self._server.refusal)

    def data_received(self, data: bytes) -> None:
        self._server.note()
        if self._ended:
            return
        reader = self._reader
        try:
            reader.feed(data)
        except (httptools.HttpParserError, request_reader.BadRequestError) as error:
            # httptools wraps what a callback raises.
            cause = (
                error if isinstance(error, request_reader.BadRequestError) else error.__context__
            )
            self._bad(cause.status if isinstance(cause, request_reader.BadRequestError) else 400)
            return
        if reader.expects_continue:
            reader.expects_continue = False
            self._transport.write(CONTINUE)
        if reader.requests:
            self._head_done()
            self._wake()
            if len(reader.requests) > PIPELINED:
                self._transport.pause_reading()
        elif reader.in_head and self.head_since is None:
            self.head_since = self._events.time()
            limit = min(reader.bounds.header_timeout_s, reader.bounds.idle_s)
            self._head_timer = self._events.call_later(limit, self._bad, 408)
        elif not reader.in_head:
            self._head_done()
            self.idle_since = self._events.time()

    def eof_received(self) -> bool:
        self._leave()
        # An answer that is being made may still be written.
        return self.token is not None

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._leave()
        if self._write_waiter is not None:
            loop.settle(self._write_waiter)
        self._server.forget(self)

    def pause_writing(self) -> None:
        self._write_blocked = True

    def resume_writing(self) -> None:
        self._write_blocked = False
        if self._write_waiter is not None:
            loop.settle(self._write_waiter)

    def is_idle_since(self, time: float) -> bool:
        """Returns True if nothing came or was to be answered since a time of the loop."""
        waits = self.token is None and self.head_since is None and not self._ended
        return waits and self.idle_since < time

    def close(self) -> None:
        """Closes the connection; an answer that is being sent is cut."""
        self._leave()
        if self._transport is not None:
            self._transport.abort()

    def evict(self) -> None:
        """Closes the connection after what was written."""
        self._leave()
        self._transport.close()

    def _head_done(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
            self.head_since = None

    def _bad(self, status: int) -> None:
        """Refuses what cannot be read, after the answers to the requests before it."""
        self._head_done()
        self._bad_status = status
        self._leave()

    def _leave(self) -> None:
        self._ended = True
        self._head_done()
        if self.token is not None and not self._bad_status:
            self.token.cancel()
        self._wake()

    def _wake(self) -> None:
        waiter = self._request_waiter
        if waiter is not None:
            self._request_waiter = None
            if not waiter.done():
                waiter.set_result(None)

    async def _serve(self) -> None:
        try:
            keep_alive = True
            while keep_alive and (request := await self._next()) is not None:
                keep_alive = await self._answer(request)
            if self._bad_status:
                response = message.Response(
                    self._bad_status, [(b"bergamotridge-verdict", b"not-run")]
                )
                self._refuse(message.encode(response, keep_alive=False))
            else:
                self._transport.close()
        except Exception:
            logger.exception("connection of {} failed", self._server.name)
            self._transport.close()

    def _refuse(self, answer: bytes) -> None:
        """Sends a last answer and passes over what the client still sends.

        Closing at once would reset the connection, and the client might never see the answer.
        """
        self._transport.write(answer)
        if not self._transport.is_closing():
            self._transport.write_eof()
            self._events.call_later(LINGER_S, self._transport.abort)

    async def _next(self) -> message.Request | None:
        requests = self._reader.requests
        while not requests:
            if self._ended or self._reader.upgrades:
                return None
            self._request_waiter = self._events.create_future()
            await self._request_waiter
        if len(requests) == PIPELINED:
            self._transport.resume_reading()
        return requests.popleft()

    async def _answer(self, request: message.Request) -> bool:
        server = self._server
        token = self.token = cancellation.Token()
        if self._ended and not self._bad_status:
            token.cancel()
        try:
            response = await server.handler(request, token)
        except Exception:
            logger.exception("handler of {} failed", server.name)
            response = message.Response(500, [(b"bergamotridge-verdict", b"may-have-run")])
        keep_alive = request.keep_alive and not server.closing
        self._transport.write(
            message.encode(response, keep_alive=keep_alive, head=request.method == b"HEAD")
        )
        if self._write_blocked:
            await self._written()
        self.token = None
        self.idle_since = self._events.time()
        return keep_alive

    async def _written(self) -> None:
        """Waits until a slow reader has taken its answer, or cuts it off."""
        waiter = self._write_waiter = self._events.create_future()
        timer = self._events.call_later(self._reader.bounds.idle_s, self.close)
        try:
            if self._write_blocked and not self._transport.is_closing():
                await waiter
        finally:
            self._write_waiter = None
            timer.cancel()


class Server:
    """Listens on one address and hands each whole request to a handler.

    The handler returns the response; an exception from it is logged and answered with 500. A
    caller that leaves while its call runs cancels the call's token.
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
        bounds: Callable[[], request_reader.Bounds] | None = None,
        on: loop.Loop,
    ) -> None:
        """Prepares the server.

        Args:
            address: IP:PORT to listen on.
            handler: Answers each request.
            connections: Connections at once; further ones get `refusal`.
            body_limit: Largest body of a request in bytes.
            name: Name of the port, for messages.
            refusal: Answer to a connection above the bound.
            idle_s: Seconds without a byte from its client after which a connection is closed.
            bounds: Returns the bounds now in force, in place of `body_limit` and `idle_s`.
            on: The event loop that serves; all methods are called from other threads.
        """
        fixed = request_reader.Bounds(HEADER_BYTES, body_limit, HEADER_TIMEOUT_S, idle_s)
        self.bounds = bounds or (lambda: fixed)
        self.handler = handler
        self.name = name
        self.refusal = message.encode(refusal, keep_alive=False)
        self.closing = False
        self.note = on.note
        self._address = address
        self._limit = connections
        self._on = on
        self._open: set[_Connection] = set()
        self._listening: asyncio.Server | None = None
        self._sweeper: asyncio.Task | None = None

    def start(self) -> None:
        """Binds the address and begins to accept; raises AddressInUseError if it is taken."""
        host, port = split_address(self._address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, port))
            listener.listen(BACKLOG)
        except OSError as error:
            listener.close()
            raise errors.AddressInUseError(
                f"cannot listen for {self.name} on '{self._address}': {error.strerror}; "
                f"free the port or change the address in the settings"
            ) from error
        self._on.run(self._listen(listener))

    async def _listen(self, listener: socket.socket) -> None:
        events = asyncio.get_running_loop()
        self._listening = await events.create_server(
            lambda: _Connection(self, events), sock=listener, backlog=BACKLOG
        )
        self._sweeper = events.create_task(self._sweep())

    def close_after_answers(self) -> None:
        """Makes each later answer close its connection; new connections are still taken."""
        self.closing = True

    def stop(self, grace_s: float) -> None:
        """Stops accepting, waits at most `grace_s` seconds for running calls, then closes all."""
        self._on.run(self._stop(grace_s))

    async def _stop(self, grace_s: float) -> None:
        self.closing = True
        self._stop_accepting()
        events = asyncio.get_running_loop()
        limit = events.time() + grace_s
        while events.time() < limit and not self._is_quiet(events.time()):
            await asyncio.sleep(QUIET_CHECK_S)
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._open):
            connection.close()
        # Closed connections end in the next round of the loop.
        await asyncio.sleep(0)

    def _stop_accepting(self) -> None:
        if self._listening is not None:
            self._listening.close()
            self._listening = None

    def _is_quiet(self, now: float) -> bool:
        return all(
            connection.token is None and now - connection.idle_since >= IDLE_CLOSE_S
            for connection in self._open
        )

    def take(self, connection: _Connection) -> bool:
        """Counts a new connection; returns False if there is no room for it."""
        if len(self._open) >= self._limit and not self._evict():
            return False
        self._open.add(connection)
        return True

    def forget(self, connection: _Connection) -> None:
        """Forgets a connection that has ended."""
        self._open.discard(connection)

    def _evict(self) -> bool:
        """Closes the connection whose head has been on its way longest; False if there is none."""
        waiting = [item for item in self._open if item.head_since is not None]
        if not waiting:
            return False
        oldest = min(waiting, key=lambda item: item.head_since)
        self._open.discard(oldest)
        oldest.evict()
        return True

    async def _sweep(self) -> None:
        """Closes idle connections."""
        events = asyncio.get_running_loop()
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                bounds = self.bounds()
                await asyncio.sleep(min(SWEEP_S, bounds.idle_s))
                limit = events.time() - bounds.idle_s
                for connection in list(self._open):
                    if connection.is_idle_since(limit):
                        connection.evict()
