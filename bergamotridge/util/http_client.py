"""HTTP client on kept-alive connections: whole answers, checked framing, honest verdicts."""

import collections
import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable

import attrs
import httptools

from bergamotridge import verdict
from bergamotridge.util import cancellation, message

CONNECT_TIMEOUT_S = 0.3
USER_TIMEOUT_MS = 1_000
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
IDLE_S = 4.0
BOUND_SHARE = 0.6
LEAST_BOUND_SHARE = 0.25
ANNOUNCED_SHARE = 0.5  # Of the time for which the other side says it keeps a connection.
RECEIVE_BYTES = 16_384
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

    def __init__(self, body_limit: int, head: bool) -> None:
        self._body_limit = body_limit
        self._head = head
        self._size = 0
        self._body: list[bytes] = []
        self._headers: list[message.Header] = []
        self.started = False
        self.framed = False
        self.complete = False
        self.excess = False
        self.keep_alive = False
        self.status = 0
        self.parser = httptools.HttpResponseParser(self)

    @property
    def response(self) -> message.Response:
        """What was read."""
        return message.Response(self.status, self._headers, b"".join(self._body))

    def on_message_begin(self) -> None:
        if self.complete:
            self.excess = True
        self.started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        self.framed = any(name in _LENGTH_FIELDS for name, _ in self._headers)
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


class _Exchange:
    """One connection; carries one transfer at a time."""

    def __init__(self, address: str, body_limit: int, close_delimited: bool) -> None:
        self.idle_until = 0.0
        self._address = address
        self._body_limit = body_limit
        self._close_delimited = close_delimited
        self._sock: socket.socket | None = None
        self._sent = False
        self._bounds: dict[int, float] = {}

    def abort(self) -> None:
        """Ends the transfer that another thread waits for."""
        sock = self._sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the connection."""
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()

    def is_stale(self) -> bool:
        """Returns True if the other side has closed, or has sent what nobody asked for."""
        if self._sock is None:
            return True
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def perform(
        self, request: message.Request, timeout_s: float, token: cancellation.Token | None
    ) -> message.Response:
        """Sends one request and returns its whole answer; raises TransferError."""
        limit = time.monotonic() + timeout_s
        self._sent = False
        registration = token.on_cancel(self.abort) if token is not None else -1
        try:
            if self._sock is None:
                self._connect(timeout_s)
            if token is not None and token.cancelled:
                raise TransferError("the caller has left", verdict.Verdict.NOT_RUN)
            return self._transfer(request, limit)
        except TimeoutError as error:
            raise self._failure("no whole answer in time", timed_out=True) from error
        except (OSError, httptools.HttpParserError, _BodyTooLargeError) as error:
            raise self._failure(f"{type(error).__name__}: {error}") from error
        finally:
            if token is not None:
                token.remove(registration)

    def _connect(self, timeout_s: float) -> None:
        host, _, port = self._address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        self._sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        keep_watch(sock)
        sock.settimeout(min(CONNECT_TIMEOUT_S, timeout_s))
        sock.connect((host.strip("[]"), int(port)))
        sock.settimeout(None)

    def _transfer(self, request: message.Request, limit: float) -> message.Response:
        reader = _Reader(self._body_limit, request.method == b"HEAD")
        try:
            self._send(_encode(request, self._address), limit)
        except (ConnectionError, TimeoutError):
            # An early answer may lie there although the rest of the request was not taken.
            if not self._sent or self.is_stale() is False:
                raise
        self._receive(reader, limit)
        framed = reader.framed or reader.response.bodiless
        if framed and not reader.excess and reader.keep_alive and request.method != b"HEAD":
            self.idle_until = time.monotonic() + _idle_s(reader.response)
        else:
            self.close()
        return reader.response

    def _send(self, data: bytes, limit: float) -> None:
        left = memoryview(data)
        while left:
            self._bound(socket.SO_SNDTIMEO, limit)
            try:
                count = self._sock.send(left)
            except BlockingIOError:
                self._set_bound(socket.SO_SNDTIMEO, _left(limit))
                continue
            self._sent = True
            left = left[count:]

    def _receive(self, reader: _Reader, limit: float) -> None:
        while not reader.complete:
            self._bound(socket.SO_RCVTIMEO, limit)
            try:
                data = self._sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                self._set_bound(socket.SO_RCVTIMEO, _left(limit))
                continue
            if data:
                reader.feed(data)
            elif self._close_delimited and reader.status and not reader.framed:
                return
            else:
                raise ConnectionError("the connection ended before the answer was whole")
        if not reader.framed and not self._close_delimited and not reader.response.bodiless:
            raise ConnectionError("the answer gives no length")

    def _bound(self, option: int, limit: float) -> None:
        """Limits the next call in the kernel, which costs less than a poll before each call.

        A limit that is somewhat too early stays: the call is made again with an exact one.
        """
        left = _left(limit)
        known = self._bounds.get(option, 0.0)
        if not LEAST_BOUND_SHARE * left <= known <= left:
            self._set_bound(option, BOUND_SHARE * left)

    def _set_bound(self, option: int, seconds: float) -> None:
        whole, fraction = divmod(seconds, 1)
        value = struct.pack("ll", int(whole), max(1, int(fraction * 1e6)))
        self._sock.setsockopt(socket.SOL_SOCKET, option, value)
        self._bounds[option] = seconds

    def _failure(self, text: str, *, timed_out: bool = False) -> TransferError:
        outcome = verdict.Verdict.MAY_HAVE_RUN if self._sent else verdict.Verdict.NOT_RUN
        return TransferError(text, outcome, timed_out=timed_out and self._sent)


def _left(limit: float) -> float:
    """Returns the seconds until a limit; raises TimeoutError if there are none."""
    left = limit - time.monotonic()
    if left <= 0:
        raise TimeoutError
    return left


def _encode(request: message.Request, address: str) -> bytes:
    fields = request.headers
    parts = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    if request.header(b"host") is None:
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


def _idle_s(response: message.Response) -> float:
    """Returns the seconds for which a connection may wait for its next request."""
    for part in (response.header(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return ANNOUNCED_SHARE * int(value)
    return IDLE_S


@attrs.define
class Pool:
    """Kept-alive connections to one address; each transfer has a connection of its own.

    A connection whose transfer failed is closed and never used again.
    """

    address: str
    body_limit: int
    close_delimited: bool = False
    _idle: collections.deque = attrs.field(factory=collections.deque, init=False)
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    def send(
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
        exchange = self._reusable(time.monotonic())
        if exchange is None:
            exchange = _Exchange(self.address, self.body_limit, self.close_delimited)
        try:
            response = exchange.perform(request, timeout_s, token)
            fault = check(request, response) if check is not None else ""
            if fault:
                raise TransferError(fault, verdict.Verdict.MAY_HAVE_RUN)
        except BaseException:
            exchange.close()
            raise
        if exchange.idle_until:
            with self._lock:
                self._idle.append(exchange)
        return response

    def _reusable(self, now: float) -> _Exchange | None:
        """Returns an idle connection that the other side surely keeps open still."""
        with self._lock:
            expired = []
            # The last used goes first out, so those that nobody needs any more gather on the left.
            while self._idle and now >= self._idle[0].idle_until:
                expired.append(self._idle.popleft())
        for exchange in expired:
            exchange.close()
        while True:
            with self._lock:
                exchange = self._idle.pop() if self._idle else None
            if exchange is None:
                return None
            if now < exchange.idle_until and not exchange.is_stale():
                exchange.idle_until = 0.0
                return exchange
            exchange.close()

    def close(self) -> None:
        """Closes the idle connections."""
        with self._lock:
            while self._idle:
                self._idle.pop().close()


class Pools:
    """The pools of all addresses that this process calls."""

    def __init__(self, body_limit: int, close_delimited: bool = False) -> None:
        """Starts without a pool.

        Args:
            body_limit: Longest body of an answer in bytes.
            close_delimited: True if an answer may end with its connection.
        """
        self._body_limit = body_limit
        self._close_delimited = close_delimited
        self._pools: dict[str, Pool] = {}
        self._lock = threading.Lock()

    def to(self, address: str) -> Pool:
        """Returns the pool for an address."""
        pool = self._pools.get(address)
        if pool is None:
            with self._lock:
                pool = Pool(address, self._body_limit, self._close_delimited)
                pool = self._pools.setdefault(address, pool)
        return pool

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            for pool in self._pools.values():
                pool.close()
