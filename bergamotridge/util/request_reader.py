"""Reads requests from the bytes of a connection, within bounds."""

import collections

import attrs
import httptools

from bergamotridge.util import message


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


class BadRequestError(Exception):
    """A request is refused before it was read whole, with a status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class RequestReader:
    """Callbacks of httptools; collects whole requests."""

    def __init__(self, bounds: Bounds) -> None:
        self.requests: collections.deque[message.Request] = collections.deque()
        self.parser = httptools.HttpRequestParser(self)
        self.bounds = bounds
        self.in_head = False
        self.expects_continue = False
        self.upgrades = False
        self._fed = 0
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[message.Header] = []
        self._body: list[bytes] = []
        self._body_size = 0

    def feed(self, data: bytes) -> None:
        """Takes in bytes; raises BadRequestError or httptools' errors."""
        self._fed = len(data) + (self._fed if self.in_head else 0)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.upgrades = True
        if self.in_head and self._fed > self.bounds.header_bytes:
            raise BadRequestError(431 if self._headers else 414)

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._reset()
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the target."""
        self._target += url
        if len(self._target) > self.bounds.header_bytes:
            raise BadRequestError(414)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header field."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Checks the head."""
        self.in_head = False
        headers = self._headers
        if self._fed > self.bounds.header_bytes:
            size = sum(len(name) + len(value) for name, value in headers)
            if size > self.bounds.header_bytes:
                raise BadRequestError(431)
        if self.parser.get_method() == b"CONNECT":
            raise BadRequestError(405)
        names = [name for name, _ in headers]
        if names.count(b"host") != 1 and self.parser.get_http_version() == "1.1":
            raise BadRequestError(400)
        if b"expect" in names:
            expected = message.find(headers, b"expect")
            self.expects_continue = expected.lower() == b"100-continue"

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._body_size += len(body)
        if self._body_size > self.bounds.body_bytes:
            raise BadRequestError(413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Keeps the whole request."""
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
