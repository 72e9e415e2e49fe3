"""HTTP client with pooled keep-alive connections, checked framing and verdicts on failures."""

import asyncio
import collections
import contextlib
from collections.abc import Callable

import attrs
import httptools

from bergamotridge import errors, verdict
from bergamotridge.util import (
    addresses,
    answer_memory,
    cancellation,
    client_connection,
    connecting,
    held_bytes,
    input_turns,
    loop,
    message,
    request_encoding,
    response_reader,
)

MAX_TRIAL_WAIT_S = 0.5  # For the connections of a trial, in place of a new one.
REFUSAL_S = 0.25  # A server ends a connection that it refuses within this time.
HEAD_BYTES = 65_536
ANSWERS_BYTES = 67_108_864

# Takes the request, the response, and whether the connection carried an earlier request.
ResponseCheck = Callable[[message.Request, message.Response, bool], str]


class TransferError(Exception):
    """A transfer ended without a complete, valid response.

    Attributes:
        verdict: NOT_RUN if no byte of the request was sent, else MAY_HAVE_RUN.
        timed_out: True if the transfer ended because of its time limit.
        connection_lost: True if the connection ended after the request was sent.
        connection_refused: True if no connection could be opened as nothing listens.
        memory_exceeded: True if the response was given up, as all responses that were being read
            held too much memory.
        refused_beside: Open connections beside which the server ended a new one without a byte
            of a response, as if it accepted no more; None if it did not.
    """

    def __init__(
        self,
        text: str,
        outcome: verdict.Verdict,
        *,
        timed_out: bool = False,
        connection_lost: bool = False,
        connection_refused: bool = False,
        memory_exceeded: bool = False,
    ) -> None:
        super().__init__(text)
        self.verdict = outcome
        self.timed_out = timed_out
        self.connection_lost = connection_lost
        self.connection_refused = connection_refused
        self.memory_exceeded = memory_exceeded
        self.refused_beside: int | None = None


def _check_usable(
    connection: client_connection.Connection, is_late: bool, token: cancellation.Token | None
) -> None:
    """Raises TransferError if a request must not be sent on a connection any more."""
    if connection.ended:
        raise TransferError(
            "the server closed the connection before the request was sent",
            verdict.Verdict.NOT_RUN,
        )
    if is_late or (token is not None and token.cancelled):
        connection.abort()
        raise TransferError(
            "nothing was sent: the time limit passed or the call was cancelled while connecting",
            verdict.Verdict.NOT_RUN,
            timed_out=is_late,
        )


@attrs.define
class Pool:
    """Keep-alive connections to one address; concurrent transfers use separate connections.

    A connection whose transfer failed is closed and never reused. A pool belongs to one event
    loop.

    Attributes:
        address: ``IP:PORT`` of the server.
        body_limit: Maximum size of the body of a response in bytes.
        head_limit: Maximum size of its head in bytes, interim responses included.
        close_delimited: True if the end of the connection may end the body of a response.
        on_arrival: Called for each piece of a response that arrives.
        memory: Bounds the responses that are being read, with those of other pools that share it.
    """

    address: str
    body_limit: int
    head_limit: int = HEAD_BYTES
    close_delimited: bool = False
    on_arrival: Callable[[], None] = loop.ignore_arrival
    memory: answer_memory.AnswerMemory = attrs.field(
        factory=lambda: answer_memory.AnswerMemory(ANSWERS_BYTES)
    )
    _idle: collections.deque[client_connection.Connection] = attrs.field(
        factory=collections.deque, init=False
    )
    _turns: input_turns.InputTurns = attrs.field(factory=input_turns.InputTurns, init=False)
    _used: int = attrs.field(default=0, init=False)
    _trial_end: asyncio.Future | None = attrs.field(default=None, init=False)

    @property
    def open_connections(self) -> int:
        """Connections with a transfer, those being opened for one included, and idle ones."""
        return self._used + sum(not connection.ended for connection in self._idle)

    async def send(
        self,
        request: message.Request,
        timeout_s: float,
        token: cancellation.Token | None = None,
        check: ResponseCheck | None = None,
    ) -> message.Response:
        """Sends a request within `timeout_s` seconds; raises TransferError with the verdict.

        Args:
            request: The request.
            timeout_s: Time limit in seconds.
            token: Cancelled when the response is no longer needed.
            check: Returns why a response does not belong to the request, or "" if it does; see
                `ResponseCheck`.
        """
        if timeout_s <= 0 or (token is not None and token.cancelled):
            raise TransferError(
                "nothing was sent: the time limit had passed or the call was cancelled",
                verdict.Verdict.NOT_RUN,
                timed_out=timeout_s <= 0,
            )
        event_loop = asyncio.get_running_loop()
        deadline = event_loop.time() + timeout_s
        connection = self._take_idle_connection(event_loop.time())
        if connection is None and self._trial_end is not None:
            # A new connection might be refused as those of the trial have its room.
            await asyncio.wait({self._trial_end}, timeout=min(MAX_TRIAL_WAIT_S, timeout_s))
            connection = self._take_idle_connection(event_loop.time())
        reused = connection is not None
        self._used += 1
        try:
            if connection is None:
                connection = await self._connect(event_loop, deadline - event_loop.time())
                connection.limit_refusal(REFUSAL_S)
            try:
                _check_usable(connection, event_loop.time() >= deadline, token)
                response = await self._exchange(connection, request, deadline, token, check, reused)
            except TransferError as error:
                if connection.refused and not reused and connection.reader.is_untouched:
                    error.refused_beside = self.open_connections - 1
                raise
        finally:
            self._used -= 1
        self._keep_or_close(connection, request, response, event_loop.time())
        return response

    async def _exchange(
        self,
        connection: client_connection.Connection,
        request: message.Request,
        deadline: float,
        token: cancellation.Token | None,
        check: ResponseCheck | None,
        reused: bool,
    ) -> message.Response:
        """Returns the checked response to a request; a connection without one is closed."""
        try:
            response = await self._transfer(connection, request, deadline, token)
            fault = self._find_framing_fault(connection.reader, request, response)
            if not fault and check is not None:
                fault = check(request, response, reused)
        except BaseException:
            connection.discard()
            raise
        if fault:
            connection.discard()
            raise TransferError(fault, verdict.Verdict.MAY_HAVE_RUN)
        return response

    async def _transfer(
        self,
        connection: client_connection.Connection,
        request: message.Request,
        deadline: float,
        token: cancellation.Token | None,
    ) -> message.Response:
        """Sends a request on a connection and returns its response; raises TransferError."""
        connection.reader.prepare_next(head=request.method == b"HEAD")
        try:
            await connection.transfer(
                request_encoding.encode(request, self.address), deadline, token
            )
        except TimeoutError as error:
            raise TransferError(
                str(error) or "the connection timed out",
                verdict.Verdict.MAY_HAVE_RUN,
                timed_out=isinstance(error, client_connection.TimeLimitError),
            ) from error
        except client_connection.MemoryExceededError as error:
            raise TransferError(
                str(error), verdict.Verdict.MAY_HAVE_RUN, memory_exceeded=True
            ) from error
        except (OSError, httptools.HttpParserError, response_reader.ResponseTooLargeError) as error:
            text = f"{type(error).__name__}: {error}"
            raise TransferError(
                text, verdict.Verdict.MAY_HAVE_RUN, connection_lost=isinstance(error, OSError)
            ) from error
        return connection.reader.response()

    def _find_framing_fault(
        self,
        reader: response_reader.ResponseReader,
        request: message.Request,
        response: message.Response,
    ) -> str:
        """Returns why the end of a response is not known, "" if it is."""
        if reader.framed or response.bodiless or self.close_delimited or request.method == b"HEAD":
            return ""
        return "the response has neither Content-Length nor Transfer-Encoding"

    def _keep_or_close(
        self,
        connection: client_connection.Connection,
        request: message.Request,
        response: message.Response,
        now: float,
    ) -> None:
        """Keeps the connection for another transfer if the response has left it usable."""
        reader = connection.reader
        framed = reader.framed or response.bodiless
        is_clean = framed and not reader.has_excess_data and request.method != b"HEAD"
        if is_clean and reader.keep_alive and connection.is_open_and_flushed:
            reader.drop()
            connection.idle_until = now + reader.idle_s
            self._idle.append(connection)
        else:
            connection.discard()

    def _take_idle_connection(self, now: float) -> client_connection.Connection | None:
        """Returns an idle connection that the server should still keep open, or None."""
        idle = self._idle
        # The most recently used connection is taken first, so unneeded ones collect on the left.
        while idle and (now >= idle[0].idle_until or idle[0].ended):
            idle.popleft().abort()
        while idle:
            connection = idle.pop()
            is_open = now < connection.idle_until and not connection.ended
            if is_open and not connection.has_unread_input:
                return connection
            connection.abort()
        return None

    async def _connect(
        self, event_loop: asyncio.AbstractEventLoop, timeout_s: float
    ) -> client_connection.Connection:
        """Opens a connection; raises TransferError with the verdict NOT_RUN if this fails."""
        try:
            address = addresses.parse(self.address)
        except errors.MalformedEntryError as error:
            raise TransferError(f"cannot connect: {error}", verdict.Verdict.NOT_RUN) from error
        try:
            sock = await connecting.open_socket(address, event_loop, timeout_s)
            try:
                _, connection = await event_loop.create_connection(
                    lambda: client_connection.Connection(
                        event_loop,
                        self.address,
                        response_reader.ResponseReader(self.head_limit, self.body_limit),
                        self.memory,
                        self.close_delimited,
                        self.on_arrival,
                        self._turns,
                    ),
                    sock=sock,
                )
            except BaseException:
                sock.close()
                raise
        except OSError as error:
            is_timeout = isinstance(error, TimeoutError)
            raise TransferError(
                f"cannot connect: {type(error).__name__}: {error}",
                verdict.Verdict.NOT_RUN,
                timed_out=is_timeout and timeout_s <= connecting.CONNECT_TIMEOUT_S,
                connection_refused=isinstance(error, ConnectionRefusedError),
            ) from error
        return connection

    async def try_connections(self, total: int, settle_s: float) -> int:
        """Opens connections without a request and keeps those that the server leaves open.

        Args:
            total: Connections that are to be open.
            settle_s: Seconds for which the new ones must stay open before they are used.

        Returns:
            `total` less those that the server did not accept or ended.
        """
        event_loop = asyncio.get_running_loop()
        missing = range(self.open_connections, total)
        opened = []
        trial_end = self._trial_end = event_loop.create_future()
        try:
            with contextlib.suppress(TransferError):
                for _ in missing:
                    opened.append(await self._connect(event_loop, connecting.CONNECT_TIMEOUT_S))
            await asyncio.sleep(settle_s)
        finally:
            accepted = [item for item in opened if not (item.ended or item.has_unread_input)]
            for connection in accepted:
                connection.idle_until = event_loop.time() + connection.reader.idle_s
            self._idle.extend(accepted)
            self._trial_end = None
            trial_end.set_result(None)
        return total - len(missing) + len(accepted)

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().abort()


class Pools:
    """The connection pools of all addresses that this process calls."""

    def __init__(
        self,
        body_limit: int,
        head_limit: int = HEAD_BYTES,
        close_delimited: bool = False,
        on_arrival: Callable[[], None] = loop.ignore_arrival,
        answers_bytes: int = ANSWERS_BYTES,
        memory: held_bytes.HeldBytes | None = None,
    ) -> None:
        """Creates an empty set of pools.

        Args:
            body_limit: Maximum size of the body of a response in bytes.
            head_limit: Maximum size of its head in bytes, interim responses included.
            close_delimited: True if the end of a connection may end the body of a response.
            on_arrival: Called for each piece of a response that arrives.
            answers_bytes: Bytes that all responses being read may hold together.
            memory: Account of all that the process holds, None for one of these responses alone.
        """
        self._memory = answer_memory.AnswerMemory(answers_bytes, memory)
        self._body_limit = body_limit
        self._head_limit = head_limit
        self._close_delimited = close_delimited
        self._on_arrival = on_arrival
        self._pools: dict[str, Pool] = {}

    def pool_for(self, address: str) -> Pool:
        """Returns the pool for an address; creates it at the first use."""
        pool = self._pools.get(address)
        if pool is None:
            pool = Pool(
                address,
                self._body_limit,
                self._head_limit,
                self._close_delimited,
                self._on_arrival,
                self._memory,
            )
            self._pools[address] = pool
        return pool

    @property
    def held_bytes(self) -> int:
        """Bytes that the responses hold which are being read."""
        return self._memory.held_bytes

    def close(self) -> None:
        """Closes the idle connections of all pools."""
        for pool in self._pools.values():
            pool.close()


def send_once(
    address: str, request: message.Request, timeout_s: float, body_limit: int
) -> message.Response:
    """Sends one request on a new connection; raises TransferError.

    To be called from a thread without a running event loop. `timeout_s` is in seconds,
    `body_limit`, the maximum size of the body of the response, in bytes.
    """

    async def send_on_new_pool() -> message.Response:
        pool = Pool(address, body_limit)
        with contextlib.closing(pool):
            return await pool.send(request, timeout_s)

    return asyncio.run(send_on_new_pool())
