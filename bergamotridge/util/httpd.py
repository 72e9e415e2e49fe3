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

RECEIVE_BYTES = 65_536
BACKLOG = 1024
DEPARTURE_CHECK_S = 0.05
IDLE_CLOSE_S = 0.5
HEADER_BYTES = 65_536
IDLE_S = 75.0

Handler = Callable[[message.Request, cancellation.Token], message.Response]


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of ``IP:PORT``; brackets around IPv6 are taken off."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class _BodyTooLargeError(Exception):
    """The body of a request is above the stated size."""


class _Reader:
    """Callbacks of httptools; collects whole requests."""

    def __init__(self, body_limit: int) -> None:
        self.requests: list[message.Request] = []
        self.parser = httptools.HttpRequestParser(self)
        self._body_limit = body_limit
        self.on_message_begin()

    def on_message_begin(self) -> None:
        self._target = b""
        self._headers: list[message.Header] = []
        self._body = b""
        self._header_size = 0

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_size += len(name) + len(value)
        if self._header_size > HEADER_BYTES:
            raise _BodyTooLargeError
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > self._body_limit:
            raise _BodyTooLargeError

    def on_message_complete(self) -> None:
        parser = self.parser
        self.requests.append(
            message.Request(
                parser.get_method(),
                self._target,
                self._headers,
                self._body,
                parser.should_keep_alive(),
            )
        )


@attrs.define(eq=False)
class _Connection:
    """One accepted connection and the call that it is waiting for."""

    sock: socket.socket
    token: cancellation.Token | None = None
    idle_since: float = 0.0


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
        """
        self._idle_s = idle_s
        self._address = address
        self._handler = handler
        self._limit = connections
        self._body_limit = body_limit
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
                room = len(self._open) < self._limit
                if room:
                    self._open.add(connection)
            if room:
                self._executor.submit(self._serve, connection)
            else:
                self._refuse(sock)

    def _prepare(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A time limit in the kernel costs no call per read, unlike socket.settimeout.
        seconds, fraction = divmod(self._idle_s, 1)
        limit = struct.pack("ll", int(seconds), int(fraction * 1e6))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)

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
        except (httptools.HttpParserError, _BodyTooLargeError) as error:
            status = 413 if isinstance(error.__context__, _BodyTooLargeError) else 400
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
        reader = _Reader(self._body_limit)
        keep_alive = True
        while keep_alive:
            data = sock.recv(RECEIVE_BYTES)
            if not data:
                return
            reader.parser.feed_data(data)
            while reader.requests and keep_alive:
                request = reader.requests.pop(0)
                keep_alive = self._serve_one(connection, request)

    def _serve_one(self, connection: _Connection, request: message.Request) -> bool:
        token = cancellation.Token()
        connection.token = token
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
