"""HTTP/1.1 server: one task per kept-alive connection on a bounded executor."""

import concurrent.futures
import contextlib
import select
import socket
import struct
import threading
import time
from collections.abc import Callable

import attrs
import httptools
import logbook

from bergamotridge import errors
from bergamotridge.util import cancellation, message

logger = logbook.Logger(__name__)

RECEIVE_BYTES = 16_384
BACKLOG = 1024
DEPARTURE_CHECK_S = 0.1
IDLE_CLOSE_S = 0.5
HEADER_BYTES = 65_536
HEADER_TIMEOUT_S = 10.0
IDLE_S = 75.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[message.Request, cancellation.Token], message.Response]


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of ``IP:PORT``; brackets around IPv6 are taken off."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


@attrs.frozen
class Bounds:
    """What a client may send and how long it may take.

    Attributes:
        header_bytes: Longest head of a request in bytes.
        body_bytes: Longest body of a request in bytes.
        header_timeout_s: Seconds within which a head must be complete.
        idle_s: Seconds without a byte from its client after which a connection is closed.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_s: float


class _BadRequestError(Exception):
    """A request is refused before it was read whole, with a status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def _limit(sock: socket.socket, option: int, seconds: float) -> None:
    whole, fraction = divmod(seconds, 1)
    value = struct.pack("ll", int(whole), max(1, int(fraction * 1e6)))
    sock.setsockopt(socket.SOL_SOCKET, option, value)


class _Reader:
    """Callbacks of httptools; collects whole requests."""

    def __init__(self, bounds: Bounds) -> None:
        self.requests: list[message.Request] = []
        self.parser = httptools.HttpRequestParser(self)
        self.bounds = bounds
        self.in_head = False
        self.expects_continue = False
        self.upgrades = False
        self._raw_head = 0
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[message.Header] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._header_size = 0
        self._hosts = 0

    def feed(self, data: bytes) -> None:
        """Takes in bytes; raises _BadRequestError or httptools' errors."""
        fresh = not self.in_head
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.upgrades = True
        if self.in_head:
            self._raw_head = len(data) if fresh else self._raw_head + len(data)
            if self._raw_head > self.bounds.header_bytes:
                raise _BadRequestError(431 if self._headers else 414)

    def on_message_begin(self) -> None:
        self._reset()
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        self._target += url
        if len(self._target) > self.bounds.header_bytes:
            raise _BadRequestError(414)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_size += len(name) + len(value)
        if self._header_size > self.bounds.header_bytes:
            raise _BadRequestError(431)
        name = name.lower()
        self._hosts += name == b"host"
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.in_head = False
        if self.parser.get_method() == b"CONNECT":
            raise _BadRequestError(405)
        if self._hosts != 1 and self.parser.get_http_version() == "1.1":
            raise _BadRequestError(400)
        expected = message.find(self._headers, b"expect") or b""
        self.expects_continue = expected.lower() == b"100-continue"

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > self.bounds.body_bytes:
            raise _BadRequestError(413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        parser = self.parser
        self.expects_continue = False
        self.requests.append(
            message.Request(
                parser.get_method(),
                self._target,
                self._headers,
                b"".join(self._body),
                parser.should_keep_alive(),
            )
        )


@attrs.define(eq=False)
class _Connection:
    """One accepted connection and the call that it is waiting for."""

    sock: socket.socket
    token: cancellation.Token | None = None
    idle_since: float = 0.0
    head_since: float | None = None


class Server:
    """Listens on one address and hands each whole request to a handler.

    The handler returns the response; it raises only CallError-free results, so any exception from
    it is logged and answered with 500. A caller that leaves while its call runs cancels the
    call's token.
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
        bounds: Callable[[], Bounds] | None = None,
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
        """
        fixed = Bounds(HEADER_BYTES, body_limit, HEADER_TIMEOUT_S, idle_s)
        self._bounds = bounds or (lambda: fixed)
        self._address = address
        self._handler = handler
        self._limit = connections
        self._name = name
        self._refusal = message.encode(refusal, keep_alive=False)
        self._listener: socket.socket | None = None
        self._executor = concurrent.futures.ThreadPoolExecutor(connections + 2, name)
        self._lock = threading.Lock()
        self._open: set[_Connection] = set()
        self._closing = threading.Event()
        self._draining = threading.Event()
        self._stopped = threading.Event()

    @property
    def in_flight(self) -> int:
        """Requests being handled now."""
        with self._lock:
            return sum(1 for connection in self._open if connection.token is not None)

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
                f"cannot listen for {self._name} on '{self._address}': {error.strerror}; "
                f"free the port or change the address in the settings"
            ) from error
        self._listener = listener
        self._executor.submit(self._accept, listener)
        self._executor.submit(self._watch_departures)

    def close_after_answers(self) -> None:
        """Makes each later answer close its connection; new connections are still taken."""
        self._closing.set()

    def drain(self) -> None:
        """Stops accepting; each later answer on an open connection closes it."""
        self._closing.set()
        self._draining.set()
        if self._listener is not None:
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()

    def stop(self, grace_s: float) -> None:
        """Drains, waits at most `grace_s` seconds for running calls, then closes all."""
        self.drain()
        limit = time.monotonic() + grace_s
        while time.monotonic() < limit and not self._is_quiet(time.monotonic()):
            self._stopped.wait(DEPARTURE_CHECK_S)
        self._stopped.set()
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)
        self._executor.shutdown(wait=True, cancel_futures=True)

    def _is_quiet(self, now: float) -> bool:
        with self._lock:
            return all(
                connection.token is None and now - connection.idle_since >= IDLE_CLOSE_S
                for connection in self._open
            )

    def _accept(self, listener: socket.socket) -> None:
        while not self._draining.is_set():
            try:
                sock, _ = listener.accept()
            except OSError:
                if self._draining.is_set():
                    return
                time.sleep(DEPARTURE_CHECK_S)
                continue
            self._prepare(sock)
            connection = _Connection(sock, idle_since=time.monotonic())
            with self._lock:
                room = len(self._open) < self._limit or self._evict()
                if room:
                    self._open.add(connection)
            if room:
                self._executor.submit(self._serve, connection)
            else:
                self._refuse(sock)

    def _evict(self) -> bool:
        """Closes the connection whose head has been on its way longest; False if there is none."""
        waiting = [item for item in self._open if item.head_since is not None]
        if not waiting:
            return False
        oldest = min(waiting, key=lambda item: item.head_since)
        self._open.discard(oldest)
        with contextlib.suppress(OSError):
            oldest.sock.shutdown(socket.SHUT_RDWR)
        return True

    def _prepare(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A time limit in the kernel costs no call per read, unlike socket.settimeout.
        idle_s = self._bounds().idle_s
        _limit(sock, socket.SO_RCVTIMEO, idle_s)
        _limit(sock, socket.SO_SNDTIMEO, idle_s)

    def _refuse(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock.setblocking(False)
            sock.send(self._refusal)
            sock.shutdown(socket.SHUT_WR)
        sock.close()

    def _serve(self, connection: _Connection) -> None:
        try:
            self._serve_requests(connection)
        except OSError:
            pass
        except (httptools.HttpParserError, _BadRequestError) as error:
            # httptools wraps what a callback raises.
            cause = error if isinstance(error, _BadRequestError) else error.__context__
            status = cause.status if isinstance(cause, _BadRequestError) else 400
            self._answer_bad(connection.sock, status)
        except Exception:
            logger.exception("connection of {} failed", self._name)
        finally:
            with self._lock:
                self._open.discard(connection)
            connection.sock.close()

    def _answer_bad(self, sock: socket.socket, status: int) -> None:
        response = message.Response(status, [(b"bergamotridge-verdict", b"not-run")])
        with contextlib.suppress(OSError):
            sock.sendall(message.encode(response, keep_alive=False))

    def _serve_requests(self, connection: _Connection) -> None:
        sock = connection.sock
        reader = _Reader(self._bounds())
        keep_alive = True
        while keep_alive and not reader.upgrades:
            data = self._receive(connection, reader)
            if not data:
                return
            reader.feed(data)
            if reader.expects_continue:
                reader.expects_continue = False
                sock.sendall(CONTINUE)
            while reader.requests and keep_alive:
                request = reader.requests.pop(0)
                keep_alive = self._serve_one(connection, request)

    def _receive(self, connection: _Connection, reader: _Reader) -> bytes:
        """Waits for bytes: for the rest of a head no longer than the bounds say."""
        sock = connection.sock
        if not reader.in_head:
            return sock.recv(RECEIVE_BYTES)
        if connection.head_since is None:
            connection.head_since = time.monotonic()
        left = connection.head_since + min(reader.bounds.header_timeout_s, reader.bounds.idle_s)
        left -= time.monotonic()
        if left <= 0:
            raise _BadRequestError(408)
        _limit(sock, socket.SO_RCVTIMEO, left)
        try:
            return sock.recv(RECEIVE_BYTES)
        except BlockingIOError as error:
            raise _BadRequestError(408) from error
        finally:
            _limit(sock, socket.SO_RCVTIMEO, reader.bounds.idle_s)

    def _serve_one(self, connection: _Connection, request: message.Request) -> bool:
        token = cancellation.Token()
        connection.token = token
        connection.head_since = None
        try:
            response = self._handler(request, token)
        except Exception:
            logger.exception("handler of {} failed", self._name)
            response = message.Response(500, [(b"bergamotridge-verdict", b"may-have-run")])
        keep_alive = request.keep_alive and not self._closing.is_set()
        data = message.encode(response, keep_alive=keep_alive, head=request.method == b"HEAD")
        try:
            connection.sock.sendall(data)
        finally:
            connection.idle_since = time.monotonic()
            connection.token = None
        return keep_alive

    def _watch_departures(self) -> None:
        while not self._stopped.wait(DEPARTURE_CHECK_S):
            with self._lock:
                waiting = {
                    connection.sock.fileno(): connection.token
                    for connection in self._open
                    if connection.token is not None
                }
            if not waiting:
                continue
            poll = select.poll()
            for number in waiting:
                if number >= 0:
                    poll.register(number, select.POLLRDHUP)
            for number, _ in poll.poll(0):
                waiting[number].cancel()
