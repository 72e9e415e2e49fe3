"""Parses HTTP requests from the bytes of a connection and enforces size limits."""

import collections

import attrs
import httptools

from bergamotridge.util import held_bytes, message

BODY_TIMEOUT_S = 60.0
# Bytes of chunks for each byte of their body; a chunk of one byte has six.
MAX_CHUNK_SIZE_FACTOR = 8
# Of a body in memory: while its pieces are joined, and while it is passed on in one piece.
BODY_COPIES = 2


@attrs.frozen
class RequestLimits:
    """Limits on what a client may send and how long it may take.

    Attributes:
        header_bytes: Maximum size of the head of a request in bytes.
        body_bytes: Maximum size of the body of a request in bytes.
        header_timeout_s: Seconds within which a head must be complete, counted from its first byte.
        idle_s: Seconds without data from the client after which a connection is closed.
        body_timeout_s: Seconds within which a body must be complete, counted from its first byte.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_s: float
    body_timeout_s: float = BODY_TIMEOUT_S


class BadRequestError(Exception):
    """A request is refused before it was read completely.

    Attributes:
        status: HTTP status of the response that refuses the request.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class NoRoomError(BadRequestError):
    """There is no room for the body of a request."""

    def __init__(self) -> None:
        super().__init__(503)


class RequestReader:
    """Collects complete requests; its `on_...` methods are the callbacks of the httptools parser.

    Attributes:
        requests: Complete requests that have not been taken yet, oldest first.
        parser: The httptools parser of the connection.
        bounds: Limits that are enforced.
        in_head: True while a head has begun and is not complete.
        in_body: True while a head is complete and its body is not.
        expects_continue: True if the client waits for ``100 Continue`` before it sends the body.
    """

    def __init__(self, bounds: RequestLimits, memory: held_bytes.HeldBytes | None = None) -> None:
        """Starts with nothing read.

        Args:
            bounds: Limits that are enforced.
            memory: Account of the bodies, of which those of other connections are a part too; None
                for an own one.
        """
        self.requests: collections.deque[message.Request] = collections.deque()
        self.parser = httptools.HttpRequestParser(self)
        self.bounds = bounds
        self.in_head = False
        self.in_body = False
        self.expects_continue = False
        self._upgrade_offered = False
        self._is_ended = False
        self._head_bytes_fed = 0
        self._memory = memory or held_bytes.HeldBytes()
        self._reserved_bytes = 0  # For the request that is being read.
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._version = ""
        self._headers: list[message.Header] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._request_size = 0
        if self._reserved_bytes:
            self._reserve(0)

    def _reserve(self, body_size: int) -> None:
        """Reserves the memory for a body of this size, in place of what is reserved for it."""
        size = BODY_COPIES * body_size
        if size == self._reserved_bytes:
            return
        if not self._memory.reserve_request(self._reserved_bytes, size):
            raise NoRoomError
        self._reserved_bytes = size

    def release(self, request: message.Request) -> None:
        """Notes that the body of a complete request is no longer needed."""
        if request.body:
            self._memory.release_request(BODY_COPIES * len(request.body))

    def drop(self) -> None:
        """Drops all that has been read; nothing further is taken."""
        self._is_ended = True
        while self.requests:
            self.release(self.requests.popleft())
        self._reset_request()

    @property
    def has_input(self) -> bool:
        """True while a request is waiting, or a part of one has been read."""
        return bool(self.requests) or self.in_head or self.in_body

    def feed(self, data: bytes) -> None:
        """Parses the next bytes of the connection; those behind a last request are ignored.

        Raises:
            BadRequestError: The head, or the framing of the body, is too large. It may come
                without end, in a field or chunk extension that is never complete too.
            httptools.HttpParserError: The bytes are not valid HTTP, or a callback raised
                BadRequestError, which is then the context of this error.
        """
        if self._is_ended:
            return
        # An upper bound: the pieces of data may also hold bytes before or after the head.
        self._head_bytes_fed = len(data) + (self._head_bytes_fed if self.in_head else 0)
        rest = data
        while rest and not self._is_ended:
            rest = self._parse(rest)
        if self._is_ended:
            return
        if self.in_head and self._head_bytes_fed > self.bounds.header_bytes:
            raise BadRequestError(431 if self._headers else 414)
        self._request_size += len(data)
        max_size = self.bounds.header_bytes + MAX_CHUNK_SIZE_FACTOR * self._body_size
        if not self.requests and not self.in_head and self._request_size > max_size:
            raise BadRequestError(413)

    def _parse(self, data: bytes) -> bytes:
        """Parses bytes up to the end of the next head that offers an upgrade, and returns the rest.

        The parser ends a message at a head that offers an upgrade, whatever its length. No upgrade
        is accepted, so that the head is parsed again without the offer.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            self._upgrade_offered = False
            head = self._encode_head_without_offer()
            self.parser = httptools.HttpRequestParser(self)
            self.parser.feed_data(head)
            return data[offer.args[0] :]
        except httptools.HttpParserError:
            if not self._is_ended:
                raise
        return b""

    def _encode_head_without_offer(self) -> bytes:
        first = (self.parser.get_method(), self._target, self._version.encode())
        parts = [b"%s %s HTTP/%s\r\n" % first]
        parts += [b"%s: %s\r\n" % field for field in self._headers if field[0] != b"upgrade"]
        parts.append(b"\r\n")
        return b"".join(parts)

    def on_message_begin(self) -> None:
        """Resets the state for the next request."""
        self._reset_request()
        self.in_head = True
        self.in_body = False

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the target."""
        self._target += url
        if len(self._target) > self.bounds.header_bytes:
            raise BadRequestError(414)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field; one behind the body is not forwarded and has no effect."""
        if not self.in_body:
            self._headers.append((name.lower(), value.rstrip(message.BLANKS)))

    def on_headers_complete(self) -> None:
        """Checks the head: size, method, version, Host, transfer encoding and Expect."""
        self.in_head = False
        self.in_body = True
        headers = self._headers
        if self._head_bytes_fed > self.bounds.header_bytes:
            size = sum(len(name) + len(value) for name, value in headers)
            if size > self.bounds.header_bytes:
                raise BadRequestError(431)
        if self.parser.get_method() == b"CONNECT":
            raise BadRequestError(405)
        version = self._version = self.parser.get_http_version()
        names = [name for name, _ in headers]
        hosts = names.count(b"host")
        if version not in message.VERSIONS or hosts > 1 or (version == "1.1" and not hosts):
            raise BadRequestError(400)
        if b"transfer-encoding" in names:
            self._check_transfer_encoding()
        if b"content-length" in names:
            self._reserve_announced_body()
        if b"expect" in names and version == "1.1":
            expected = message.find_header(headers, b"expect")
            self.expects_continue = expected.lower() == b"100-continue"
        self._upgrade_offered = self.parser.should_upgrade()

    def _reserve_announced_body(self) -> None:
        """Reserves the memory for a body of the announced size; refuses one that is too large."""
        length = message.find_header(self._headers, b"content-length")
        body_size = message.parse_whole_number(length, self.bounds.body_bytes + 1) or 0
        if body_size > self.bounds.body_bytes:
            raise BadRequestError(413)
        self._reserve(body_size)

    def _check_transfer_encoding(self) -> None:
        """Refuses codings that can't be undone, and any in HTTP/1.0, which has none."""
        values = [value for name, value in self._headers if name == b"transfer-encoding"]
        if not message.is_chunked_only(values) or self._version == "1.0":
            raise BadRequestError(400)

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        self._body_size += len(body)
        if self._body_size > self.bounds.body_bytes:
            raise BadRequestError(413)
        if BODY_COPIES * self._body_size > self._reserved_bytes:
            self._reserve(self._body_size)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Appends the complete request to `requests`; one that offers an upgrade is read again."""
        if self._upgrade_offered:
            return
        self.in_body = False
        parser = self.parser
        self.expects_continue = False
        keep_alive = parser.should_keep_alive()
        if keep_alive and self._version == "1.0":
            # For HTTP/1.0 the parser looks for keep-alive only.
            keep_alive = b"close" not in message.connection_options(self._headers)
        self._is_ended = not keep_alive
        body = b"".join(self._body)
        self._body.clear()
        # What was reserved now belongs to the complete request.
        self._reserved_bytes = 0
        self.requests.append(
            message.Request(parser.get_method(), self._target, self._headers, body, keep_alive)
        )
