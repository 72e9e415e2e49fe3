"""HTTP/1.1 server on an event loop: one task for each keep-alive connection."""

import asyncio
import collections
import contextlib
import socket
from collections.abc import Callable

import logbook

from bergamotridge.util import (
    addresses,
    connection_owner,
    connection_table,
    held_bytes,
    http_connection,
    input_turns,
    listening,
    loop,
    message,
    pipeline,
    request_reader,
)

LISTEN_BACKLOG = 1024
IDLE_CHECK_INTERVAL_S = 1.0
STOP_CHECK_INTERVAL_S = 0.05
CANCEL_CHECK_INTERVAL_S = 0.005
TURNS_TO_ANSWER = 8  # Of the loop: what an upstream has answered goes on to its caller in them.
STOP_IDLE_S = 0.5
CANCEL_GRACE_S = 0.1  # For the answers of calls that a stop has cancelled.
HEADER_BYTES = 65_536
HEADER_TIMEOUT_S = 10.0
IDLE_S = 75.0
REPORT_INTERVAL_S = 1.0  # A flood of connections must not flood the log.

Handler = connection_owner.Handler

_log = logbook.Logger(__name__)


def split_address(address: str) -> tuple[str, int]:
    """Splits ``IP:PORT`` into IP and port; brackets around an IPv6 address are removed."""
    return addresses.parse(address, min_port=addresses.ANY_PORT).pair


def _ignore_cause(cause: str) -> None:
    del cause


def _ignore_turn() -> None:
    pass


class Server:
    """Listens on one address and passes each complete request to a handler.

    The handler returns the response; an exception that it raises is logged and answered with
    status 500. When a caller disconnects during its call, the token of the call is cancelled.

    Attributes:
        bounds: Returns the limits now in force.
        handler: Answers each request.
        name: Name of the server in messages.
        refusal: Serialized response to a connection above the limit.
        memory_refusal: Response to a request for whose body there is no room.
        memory: Account of the bytes that are held for clients.
        closing: True once each response closes its connection.
        on_arrival: Called for each piece of a request that arrives.
        connections: The open connections.
        input_turns: Turns in which connections parse input that is too much for one.
        pipelining: Which requests of one connection run at the same time.
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
        on_turned_away: Callable[[str], None] = _ignore_cause,
        memory: held_bytes.HeldBytes | None = None,
        memory_refusal: message.Response | None = None,
        on_input_turn: Callable[[], None] = _ignore_turn,
        pipelining: pipeline.Policy | None = None,
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
            on_turned_away: Called with the cause for each connection that is closed or refused as
                the server is full, or as its input is refused.
            memory: Account of the bytes that are held for clients, None for an own one.
            memory_refusal: Response to a request for whose body there is no room, `refusal` if
                None.
            on_input_turn: Called for each part of the input of a connection that is parsed in a
                later iteration of the loop than it was received in.
            pipelining: Which requests of one connection run at the same time; one after the other
                if None.
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
        self.memory_refusal = memory_refusal or refusal
        self.memory = memory or held_bytes.HeldBytes()
        self.closing = False
        self.on_arrival = event_loop.record_arrival
        self._endpoint = listening.Endpoint(address, name)
        self._max_connections = connections
        self._event_loop_thread = event_loop
        self.connections = connection_table.ConnectionTable(connections)
        self.input_turns = input_turns.InputTurns(on_input_turn)
        self.pipelining = pipelining or pipeline.Policy()
        self._on_turned_away = on_turned_away
        self._turned_away: collections.Counter[str] = collections.Counter()
        self._reported_at = float("-inf")
        self._listener: socket.socket | None = None
        self._asyncio_server: asyncio.Server | None = None
        self._idle_check: asyncio.Task | None = None

    def start(self, bound: socket.socket | None = None) -> None:
        """Accepts connections.

        Args:
            bound: Socket bound to the address; if None, the address is bound.

        Raises:
            AddressUnavailableError: The address can't be bound or listened on.
        """
        listener = bound or self._endpoint.bind()
        self._endpoint.listen(listener, LISTEN_BACKLOG)
        self._event_loop_thread.run(self._listen(listener))

    async def _listen(self, listener: socket.socket) -> None:
        event_loop = asyncio.get_running_loop()
        self._listener = listener
        self._asyncio_server = await event_loop.create_server(
            self._create_connection, sock=listener, backlog=LISTEN_BACKLOG
        )
        self._idle_check = event_loop.create_task(self._close_idle_connections())

    def _create_connection(self) -> http_connection.Connection:
        return http_connection.Connection(self, asyncio.get_running_loop())

    def close_after_answers(self) -> None:
        """Makes each later response close its connection; new connections are still accepted."""
        self.closing = True

    def stop(self, grace_s: float) -> None:
        """Stops accepting connections, waits for running calls, then closes all connections.

        Calls that still run at the end are cancelled, and their answers are sent.

        Args:
            grace_s: Maximum wait for running calls and recently used connections in seconds.
        """
        self._event_loop_thread.run(self.end(grace_s))

    async def end(self, grace_s: float) -> None:
        """Does on the event loop what `stop` describes."""
        event_loop = asyncio.get_running_loop()
        deadline = event_loop.time() + grace_s
        self.closing = True
        await asyncio.sleep(min(grace_s, STOP_CHECK_INTERVAL_S))
        await self._stop_accepting()
        while event_loop.time() < deadline - CANCEL_GRACE_S:
            if self._is_quiet(event_loop.time()):
                await self._read_arrived()
                if self._is_quiet(event_loop.time()):
                    break
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        if self._idle_check is not None:
            self._idle_check.cancel()
        await self._read_arrived(TURNS_TO_ANSWER)
        await self._finish_connections()
        for connection in self.connections:
            connection.close()
        # Aborted connections are removed in the next iteration of the loop.
        await asyncio.sleep(0)

    async def _finish_connections(self) -> None:
        """Ends all connections once what they wait for is answered, within `CANCEL_GRACE_S`."""
        running = sum(item.token is not None for item in self.connections)
        if self.connections:
            _log.log(
                "WARNING" if running else "INFO",
                "the server '{}' stops and cuts off {} running calls, of {} open connections",
                self.name,
                running,
                len(self.connections),
            )
        for connection in self.connections:
            connection.finish()
        event_loop = asyncio.get_running_loop()
        deadline = event_loop.time() + CANCEL_GRACE_S
        while self.connections and event_loop.time() < deadline:
            await asyncio.sleep(CANCEL_CHECK_INTERVAL_S)

    async def _stop_accepting(self) -> None:
        """Closes the listener; connections that wait there are accepted, not reset."""
        if self._asyncio_server is None:
            return
        waiting = self._accept_waiting()
        self._asyncio_server.close()
        self._asyncio_server = None
        event_loop = asyncio.get_running_loop()
        for accepted in waiting:
            await event_loop.connect_accepted_socket(self._create_connection, accepted)

    def _accept_waiting(self) -> list[socket.socket]:
        """Returns the connections that have not been accepted yet."""
        waiting = []
        try:
            while len(waiting) < LISTEN_BACKLOG:
                accepted, _ = self._listener.accept()
                accepted.setblocking(False)
                waiting.append(accepted)
        except BlockingIOError:
            pass  # No further one waits.
        except OSError as error:
            _log.warning("the port '{}' has stopped accepting connections: {}", self.name, error)
        return waiting

    async def _read_arrived(self, turns: int = 1) -> None:
        """Lets the loop read what has arrived, before it is decided what connections wait for.

        If the process or its loop stood still, timers come before what arrived meanwhile.
        """
        for _ in range(turns):
            await asyncio.sleep(0)

    def _is_quiet(self, now: float) -> bool:
        """Returns whether no connection is in use and all were idle for `STOP_IDLE_S` seconds."""
        return all(
            not connection.is_in_use and now - connection.idle_since >= STOP_IDLE_S
            for connection in self.connections
        )

    def admit(self, connection: http_connection.Connection) -> bool:
        """Registers a new connection; returns False if the server is full.

        A full server first makes room as `connection_table.ConnectionTable` describes.
        """
        decision = self.connections.admit(connection, asyncio.get_running_loop().time())
        if decision.turned_away is None:
            return True
        self.report_turned_away(decision.cause.value)
        if decision.turned_away is connection:
            return False
        decision.turned_away.evict()
        return True

    def report_turned_away(self, cause: str) -> None:
        """Counts a connection that was closed for `cause`, and logs a bounded number of them."""
        self._on_turned_away(cause)
        self._turned_away[cause] += 1
        now = asyncio.get_running_loop().time()
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        _log.warning(
            "the port '{}' has turned connections away, by cause: {}; open: {} of {}, idle: {}",
            self.name,
            dict(self._turned_away),
            len(self.connections),
            self._max_connections,
            self.connections.idle_count,
        )
        self._turned_away.clear()

    async def _close_idle_connections(self) -> None:
        """Closes idle connections periodically, until cancelled."""
        event_loop = asyncio.get_running_loop()
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                bounds = self.bounds()
                await asyncio.sleep(min(IDLE_CHECK_INTERVAL_S, bounds.idle_s))
                await self._read_arrived()
                self.close_idle(event_loop.time())

    def close_idle(self, now: float) -> None:
        """Closes the connections that have been idle for too long.

        Args:
            now: Time of the loop in seconds.
        """
        idle_before = now - self.bounds().idle_s
        for connection in self.connections:
            if connection.is_idle_since(idle_before) and not connection.note_progress(now):
                connection.end_idle()
