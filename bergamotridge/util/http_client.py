"""HTTP client over pycurl: pools of kept-alive connections, whole answers, honest verdicts."""

import collections
import contextlib
import os
import select
import socket
import threading
import time
from collections.abc import Callable

import attrs
import pycurl

from bergamotridge import verdict
from bergamotridge.util import cancellation, message

CONNECT_TIMEOUT_MS = 1_000
USER_TIMEOUT_MS = 2_000
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
IDLE_S = 4.0
ANNOUNCED_SHARE = 0.5  # Of the time for which the other side says it keeps a connection.
NO_BODY_STATUSES = frozenset((204, 304))
# Given without a value, libcurl's own defaults stay out; a value of the caller's goes first.
_QUIET_HEADERS = [b"User-Agent:", b"Accept:", b"Expect:", b"Content-Type:"]
_NOT_SENT = frozenset(
    (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST, pycurl.E_URL_MALFORMAT)
)


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


class _Exchange:
    """One curl handle with its one kept-alive connection."""

    def __init__(self, address: str, body_limit: int, close_delimited: bool) -> None:
        self.idle_until = 0.0
        self._close_delimited = close_delimited
        self._base = f"http://{address}".encode()
        self._body_limit = body_limit
        self._lines: list[bytes] = []
        self._body: list[bytes] = []
        self._size = 0
        self._sock: socket.socket | None = None
        self._token: cancellation.Token | None = None
        self._fresh = True
        self._may_open = True
        self._target = b""
        self._method = b""
        self._curl = self._prepare()

    def _prepare(self) -> pycurl.Curl:
        curl = pycurl.Curl()
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.HEADERFUNCTION, self._lines.append)
        curl.setopt(pycurl.WRITEFUNCTION, self._take)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        curl.setopt(pycurl.CLOSESOCKETFUNCTION, self._close_socket)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.MAXCONNECTS, 1)
        return curl

    def _take(self, data: bytes) -> int:
        self._size += len(data)
        if self._size > self._body_limit:
            return 0
        self._body.append(data)
        return len(data)

    def _open_socket(self, _purpose: int, address: tuple) -> socket.socket | int:
        # libcurl sends a request again by itself when a reused connection dies unanswered, which
        # would run a call twice; so a new socket is refused once the request may be on its way.
        cancelled = self._token is not None and self._token.cancelled
        if not self._may_open or cancelled:
            return pycurl.SOCKET_BAD
        self._may_open = False
        family, kind, protocol, _ = address
        self._sock = socket.socket(family, kind, protocol)
        keep_watch(self._sock)
        return self._sock

    def _close_socket(self, descriptor: int) -> int:
        os.close(descriptor)
        if self._sock is not None:
            self._sock.close()
            self._sock = None
        return 0

    def _is_stale(self) -> bool:
        if self._sock is None:
            return True
        poll = select.poll()
        poll.register(self._sock, select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))

    def abort(self) -> None:
        """Ends the transfer that another thread waits for."""
        sock = self._sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the handle and its connection."""
        self._curl.close()
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def perform(
        self, request: message.Request, timeout_s: float, token: cancellation.Token | None
    ) -> message.Response:
        """Sends one request and returns its whole answer; raises TransferError."""
        curl = self._curl
        self._fresh = self._may_open = self._is_stale()
        curl.setopt(pycurl.FRESH_CONNECT, int(self._fresh))
        self._token = token
        self._lines.clear()
        self._body.clear()
        self._size = 0
        self._set_request(request, timeout_s)
        registration = token.on_cancel(self.abort) if token is not None else -1
        try:
            curl.perform()
        except pycurl.error as error:
            raise self._failure(error) from error
        finally:
            if token is not None:
                token.remove(registration)
        response = self._response(request)
        self.idle_until = time.monotonic() + _idle_s(response)
        return response

    def _set_request(self, request: message.Request, timeout_s: float) -> None:
        curl = self._curl
        if request.target != self._target:
            curl.setopt(pycurl.URL, self._base + request.target)
            self._target = request.target
        if request.body or request.method not in (b"GET", b"HEAD"):
            curl.setopt(pycurl.POSTFIELDS, request.body)
            self._method = b""
        elif request.method != self._method:
            curl.setopt(pycurl.HTTPGET, 1)
        if request.method != self._method:
            curl.setopt(pycurl.NOBODY, int(request.method == b"HEAD"))
            curl.setopt(pycurl.CUSTOMREQUEST, request.method.decode("ascii"))
            self._method = request.method
        headers = [b"%s: %s" % field if field[1] else field[0] + b";" for field in request.headers]
        curl.setopt(pycurl.HTTPHEADER, headers + _QUIET_HEADERS)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))

    def _failure(self, error: pycurl.error) -> TransferError:
        code, text = error.args[0], error.args[1]
        # On a reused connection "could not connect" is the resend refused in `_open_socket`, so
        # the first copy may have run.
        unsent = self._fresh and (
            code in _NOT_SENT or self._curl.getinfo(pycurl.PRETRANSFER_TIME) == 0.0
        )
        outcome = verdict.Verdict.NOT_RUN if unsent else verdict.Verdict.MAY_HAVE_RUN
        return TransferError(text, outcome, timed_out=code == pycurl.E_OPERATION_TIMEDOUT)

    def _response(self, request: message.Request) -> message.Response:
        status = self._curl.getinfo(pycurl.RESPONSE_CODE)
        headers: list[message.Header] = []
        framed = self._close_delimited or request.method == b"HEAD" or status in NO_BODY_STATUSES
        for line in self._lines:
            if line.startswith(b"HTTP/"):
                headers.clear()
                continue
            name, separator, value = line.partition(b":")
            if separator:
                headers.append((name.lower(), value.strip()))
                framed = framed or name.lower() in (b"content-length", b"transfer-encoding")
        if not framed:
            raise TransferError(
                "the answer gives no length, so it cannot be known to be whole",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        return message.Response(status, headers, b"".join(self._body))


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
        with self._lock:
            self._idle.append(exchange)
        return response

    def _reusable(self, now: float) -> _Exchange | None:
        """Returns an idle connection that the other side surely keeps open still."""
        with self._lock:
            old = [item for item in self._idle if now >= item.idle_until]
            for item in old:
                self._idle.remove(item)
            exchange = self._idle.pop() if self._idle else None
        for item in old:
            item.close()
        return exchange

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
                pool = self._pools.setdefault(
                    address, Pool(address, self._body_limit, self._close_delimited)
                )
        return pool

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            for pool in self._pools.values():
                pool.close()
