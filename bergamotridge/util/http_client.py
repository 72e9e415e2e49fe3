"""HTTP client on kept-alive connections: whole answers, checked framing, honest verdicts."""

import asyncio
import collections
import contextlib
import socket
from collections.abc import Callable

import attrs
import httptools

from bergamotridge import verdict
from bergamotridge.util import cancellation, loop, message

CONNECT_TIMEOUT_S = 0.3
USER_TIMEOUT_MS = 1_000
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
IDLE_S = 4.0
ANNOUNCED_SHARE = 0.5  # Of the time for which the other side says it keeps a connection.
BODILESS_METHODS = frozenset((b"GET", b"HEAD"))
FIRST_FINAL_STATUS = 200
_LENGTH_FIELDS = frozenset((b"content-length", b"transfer-encoding"))

Check = Callable[[message.Request, message.Response], str]


class TransferError(Exception):
    """No whole answer came.

    Attributes:
        verdict: NOT_RUN if no byte of the request was sent, else MAY_HAVE_RUN.
        timed_out: True if the time limit ended the transfer.
    """

    def __init__(self, text: str, outcome: verdict.Verdict, *, timed_out: bool = False) -> None:
        super().__init__(text)
        self.verdict = outcome
        self.timed_out = timed_out


class _BodyTooLargeError(Exception):
    """The body of an answer is above the stated size."""


class _Reader:
    """Callbacks of httptools; collects one final response."""

    def __init__(self, body_limit: int) -> None:
        self._body_limit = body_limit
        self.parser = httptools.HttpResponseParser(self)
        self.excess = False
        self.keep_alive = False
        self.expect(head=False)

    def expect(self, *, head: bool) -> None:
        """Prepares for the next response; `head` says whether it answers a HEAD."""
        self._head = head
        self._size = 0
        self._body: list[bytes] = []
        self._headers: list[message.Header] = []
        self._dropped: set[bytes] | None = None
        self.framed = False
        self.complete = False
        self.status = 0
        self.idle_s = IDLE_S

    def response(self) -> message.Response:
        """Returns what was read, without the fields that concern this connection only."""
        fields = self._headers
        if self._dropped:
            fields = [field for field in fields if field[0] not in self._dropped]
        return message.Response(self.status, fields, b"".join(self._body))

    def on_message_begin(self) -> None:
        if self.complete:
            self.excess = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        name = name.lower()
        if name not in message.HOP_BY_HOP:
            self._headers.append((name, value))
        elif name in _LENGTH_FIELDS:
            self.framed = True
        elif name == b"keep-alive":
            self.idle_s = _announced_s(value)
        elif name == b"connection" and value.lower() not in message.CONNECTION_OPTIONS:
            self._dropped = {option.strip().lower() for option in value.split(b",")}

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        if self._head and self.status >= FIRST_FINAL_STATUS:
            self.complete = True

    def on_body(self, body: bytes) -> None:
        if self.complete:
            self.excess = True
            return
        self._size += len(body)
        if self._size > self._body_limit:
            raise _BodyTooLargeError
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self.status < FIRST_FINAL_STATUS:
            self._headers = []
            self._dropped = None
            self.framed = False
        else:
            self.complete = True
            # Only here does the parser know it.
            self.keep_alive = self.parser.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Takes in bytes; what follows a whole answer is only noted."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.complete:
                raise
            self.excess = True


class _Connection(asyncio.Protocol):
    """One connection; carries one transfer at a time."""

    def __init__(
        self,
        events: asyncio.AbstractEventLoop,
        body_limit: int,
        close_delimited: bool,
        note: Callable[[], None],
    ) -> None:
        self.reader = _Reader(body_limit)
        self.idle_until = 0.0
        self.ended = False
        self._events = events
        self._close_delimited = close_delimited
        self._note = note
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._note()
        reader = self.reader
        if self._waiter is None:
            # Bytes that nobody asked for belong to no request.
            self.abort()
            return
        try:
            reader.feed(data)
        except (httptools.HttpParserError, _BodyTooLargeError) as error:
            self._fail(error)
            return
        if reader.complete:
            self._done()

    def eof_received(self) -> None:
        self.ended = True
        reader = self.reader
        if self._close_delimited and reader.status and not reader.framed:
            self._done()

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self._fail(exc or ConnectionError("the connection ended before the answer was whole"))

    @property
    def settled(self) -> bool:
        """True if the connection is open and all of the request has been sent."""
        return not self.ended and not self._transport.get_write_buffer_size()

    def abort(self) -> None:
        """Closes the connection at once and ends its transfer."""
        self.ended = True
        if self._transport is not None:
            self._transport.abort()

    async def transfer(self, data: bytes, limit: float, token: cancellation.Token | None) -> None:
        """Sends a request and reads its whole answer.

        Raises:
            TimeoutError: The answer was not whole at the time `limit` of the loop.
            OSError: The connection failed.
            httptools.HttpParserError: The answer could not be read.
        """
        waiter = self._waiter = self._events.create_future()
        timer = self._events.call_at(limit, self._time_out)
        registration = token.on_cancel(self.abort) if token is not None else -1
        try:
            self._transport.write(data)
            await waiter
        finally:
            timer.cancel()
            self._waiter = None
            if token is not None:
                token.remove(registration)

    def _done(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, error: Exception) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)

    def _time_out(self) -> None:
        self._fail(TimeoutError("no whole answer in time"))


def encode(request: message.Request, address: str) -> bytes:
    """Returns the bytes of a request; `address` stands in for a missing Host."""
    fields = request.headers
    parts = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    if message.find(fields, b"host") is None:
        parts.append(b"host: %s\r\n" % address.encode())
    parts += [b"%s: %s\r\n" % field for field in fields]
    if request.body or request.method not in BODILESS_METHODS:
        parts.append(b"content-length: %d\r\n" % len(request.body))
    parts += [b"\r\n", request.body]
    return b"".join(parts)


def keep_watch(sock: socket.socket) -> None:
    """Makes the kernel notice within a few seconds that the other side has gone silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _announced_s(value: bytes) -> float:
    """Returns the seconds for which a connection may wait for its next request."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return ANNOUNCED_SHARE * int(seconds)
    return IDLE_S


@attrs.define
class Pool:
    """Kept-alive connections to one address; each transfer has a connection of its own.

    A connection whose transfer failed is closed and never used again. A pool belongs to one
    event loop.
    """

    address: str
    body_limit: int
    close_delimited: bool = False
    note: Callable[[], None] = loop.ignore
    _idle: collections.deque[_Connection] = attrs.field(factory=collections.deque, init=False)

    async def send(
        self,
        request: message.Request,
        timeout_s: float,
        token: cancellation.Token | None = None,
        check: Check | None = None,
    ) -> message.Response:
        """Sends a request within `timeout_s` seconds; raises TransferError with the verdict.

        Args:
            request: The request.
            timeout_s: Time limit in seconds.
            token: Cancelled when nobody waits for the answer any more.
            check: Returns why a response is not the answer to the request, "" if it is.
        """
        if timeout_s <= 0 or (token is not None and token.cancelled):
            raise TransferError("nothing was sent", verdict.Verdict.NOT_RUN, timed_out=True)
        events = asyncio.get_running_loop()
        now = events.time()
        connection = self._reusable(now)
        if connection is None:
            connection = await self._connected(events, timeout_s)
        if connection.ended:
            raise TransferError("the other side closed at once", verdict.Verdict.NOT_RUN)
        if token is not None and token.cancelled:
            connection.abort()
            raise TransferError("the caller has left", verdict.Verdict.NOT_RUN)
        is_head = request.method == b"HEAD"
        reader = connection.reader
        reader.expect(head=is_head)
        limit = now + timeout_s
        fault = ""
        try:
            await connection.transfer(encode(request, self.address), limit, token)
            response = reader.response()
            framed = reader.framed or response.bodiless
            if not framed and not self.close_delimited and not is_head:
                fault = "the answer gives no length"
            elif check is not None:
                fault = check(request, response)
        except TimeoutError as error:
            connection.abort()
            raise TransferError(
                str(error) or "the connection timed out",
                verdict.Verdict.MAY_HAVE_RUN,
                timed_out=events.time() >= limit,
            ) from error
        except (OSError, httptools.HttpParserError, _BodyTooLargeError) as error:
            connection.abort()
            text = f"{type(error).__name__}: {error}"
            raise TransferError(text, verdict.Verdict.MAY_HAVE_RUN) from error
        except BaseException:
            connection.abort()
            raise
        if fault:
            connection.abort()
            raise TransferError(fault, verdict.Verdict.MAY_HAVE_RUN)
        reusable = framed and reader.keep_alive and not reader.excess and not is_head
        if reusable and connection.settled:
            connection.idle_until = events.time() + reader.idle_s
            self._idle.append(connection)
        else:
            connection.abort()
        return response

    def _reusable(self, now: float) -> _Connection | None:
        """Returns an idle connection that the other side surely keeps open still."""
        idle = self._idle
        # The last used goes first out, so those that nobody needs any more gather on the left.
        while idle and (now >= idle[0].idle_until or idle[0].ended):
            idle.popleft().abort()
        while idle:
            connection = idle.pop()
            if now < connection.idle_until and not connection.ended:
                return connection
            connection.abort()
        return None

    async def _connected(self, events: asyncio.AbstractEventLoop, timeout_s: float) -> _Connection:
        host, _, port = self.address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            keep_watch(sock)
            connecting = events.sock_connect(sock, (host.strip("[]"), int(port)))
            await asyncio.wait_for(connecting, min(CONNECT_TIMEOUT_S, timeout_s))
            _, connection = await events.create_connection(
                lambda: _Connection(events, self.body_limit, self.close_delimited, self.note),
                sock=sock,
            )
        except OSError as error:
            sock.close()
            text = f"cannot connect: {type(error).__name__}: {error}"
            raise TransferError(text, verdict.Verdict.NOT_RUN) from error
        except BaseException:
            sock.close()
            raise
        return connection

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().abort()


class Pools:
    """The pools of all addresses that this process calls."""

    def __init__(
        self,
        body_limit: int,
        close_delimited: bool = False,
        note: Callable[[], None] = loop.ignore,
    ) -> None:
        """Starts without a pool.

        Args:
            body_limit: Longest body of an answer in bytes.
            close_delimited: True if an answer may end with its connection.
            note: Called for each piece of an answer that arrives.
        """
        self._body_limit = body_limit
        self._close_delimited = close_delimited
        self._note = note
        self._pools: dict[str, Pool] = {}

    def to(self, address: str) -> Pool:
        """Returns the pool for an address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = Pool(address, self._body_limit, self._close_delimited, self._note)
            self._pools[address] = pool
        return pool

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close()


def send_once(
    address: str, request: message.Request, timeout_s: float, body_limit: int
) -> message.Response:
    """Sends one request from a thread without an event loop; raises TransferError."""

    async def work() -> message.Response:
        pool = Pool(address, body_limit)
        with contextlib.closing(pool):
            return await pool.send(request, timeout_s)

    return asyncio.run(work())
