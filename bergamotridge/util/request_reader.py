"""Parses HTTP requests from the bytes of a connection and enforces size limits."""

import collections
import io

import attrs
import httptools

from bergamotridge.util import body_buffer, held_bytes, message, open_field, request_errors

BODY_TIMEOUT_S = 60.0
# Bytes of chunks for each byte of their body; a chunk of one byte has six.
MAX_CHUNK_SIZE_FACTOR = 8
# Copies of a body in memory: the request, and its encoded form while it is passed on. They cover
# a body that is being read too, whose buffer takes an eighth more than its size.
BODY_COPIES = 2
BODY_STEP_BYTES = 4_096  # Step in which the room for a body of unknown size is reserved.
# Input is parsed in pieces of the first size, which doubles up to the second one while a piece
# yields no more parts than this. The rest of a body of announced size is one piece and one part.
MIN_PARSED_BYTES = 4_096
MAX_PARSED_BYTES = 32_768
FEW_PARTS = 4
# Fields, pieces of bodies and requests after which parsing goes on in a later turn: about 1 ms.
MAX_TURN_PARTS = 512
MAX_PIPELINED_REQUESTS = 16  # With more waiting, nothing further is parsed.
# Heads within both bounds reserve no memory.
FREE_HEAD_BYTES = 8_192
FREE_FIELDS = 64
# Memory for a field: its name, value, tuple and entries in lists and dictionaries.
FIELD_BYTES = 256
HEAD_COPIES = 2
REQUEST_BYTES = 2_048  # Of a request without a body that waits behind another one.


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

    _body: bytes | io.BytesIO

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
        self._piece_size = 0
        self._head_bytes_fed = 0
        self._memory = memory or held_bytes.HeldBytes()
        self._reserved_bytes = 0  # For the request that is being read.
        self._unparsed = memoryview(b"")
        self._unparsed_reserved_bytes = 0
        self._turn_parts = 0
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._version = ""
        self._headers: list[message.Header] = []
        self._body = b""
        self._body_size = 0
        self._announced_size = 0
        self._head_cost = 0
        self._request_size = 0
        self._open_field_size = 0  # Behind or in the body; see `open_field`.
        if self._reserved_bytes:
            self._reserve(0)

    def _reserve(self, size: int) -> None:
        """Reserves `size` bytes for the request that is being read, in place of those so far."""
        if size == self._reserved_bytes:
            return
        if not self._memory.reserve_request(self._reserved_bytes, size):
            raise request_errors.NoRoomError
        self._reserved_bytes = size

    def _reserve_head(self) -> None:
        """Reserves the memory for the head that is being read if it is a large one."""
        fields = len(self._headers)
        if fields > FREE_FIELDS or self._head_bytes_fed > FREE_HEAD_BYTES:
            self._head_cost = HEAD_COPIES * self._head_bytes_fed + FIELD_BYTES * fields
            self._reserve(self._head_cost)

    def release(self, request: message.Request) -> None:
        """Notes that a complete request is no longer needed."""
        if request.held_bytes:
            self._memory.release_request(request.held_bytes)
            request.held_bytes = 0

    def drop(self) -> None:
        """Drops all that has been read; nothing further is taken."""
        self._is_ended = True
        self.drop_unparsed()
        while self.requests:
            self.release(self.requests.popleft())
        self._reset_request()

    def drop_unparsed(self) -> None:
        """Drops what was fed and has not been parsed."""
        self._unparsed = memoryview(b"")
        self._memory.release_request(self._unparsed_reserved_bytes)
        self._unparsed_reserved_bytes = 0

    @property
    def has_input(self) -> bool:
        """True while a request is waiting, or a part of one has been read."""
        return bool(self.requests) or self.in_head or self.in_body or self.is_behind

    @property
    def is_behind(self) -> bool:
        """True while a part of what was fed has yet to be parsed by `parse`."""
        return bool(self._unparsed)

    @property
    def is_full(self) -> bool:
        """True while so many requests wait that nothing further is parsed."""
        return len(self.requests) > MAX_PIPELINED_REQUESTS

    def feed(self, data: bytes) -> None:
        """Parses the next bytes of the connection, as far as `parse` does in one turn.

        Raises:
            BadRequestError: As `parse` raises it.
            httptools.HttpParserError: As `parse` raises it.
        """
        if self._is_ended:
            return
        if self._unparsed:
            data = bytes(self._unparsed) + data
        elif len(data) <= MIN_PARSED_BYTES:
            # Most requests come in one short piece.
            size = self._parse_piece(data)
            if size == len(data) or self._is_ended:
                return
            data = data[size:]
        self._unparsed = memoryview(data)
        self.parse()

    def parse(self) -> None:
        """Parses a bounded part of what was fed; what is behind a last request is ignored.

        Raises:
            BadRequestError: The head, or the framing of the body, is too large, also in a field or
                chunk extension that is never complete; or there is no room for the rest of the
                input.
            httptools.HttpParserError: The bytes are not valid HTTP, or a callback raised
                BadRequestError, which is then the context of this error.
        """
        self._turn_parts = 0
        size = MIN_PARSED_BYTES
        rest = self._unparsed
        while rest and not self.is_full and self._turn_parts < MAX_TURN_PARTS:
            parts = self._turn_parts
            size = max(size, self._announced_size - self._body_size)
            rest = rest[self._parse_piece(rest[:size]) :]
            if self._is_ended:
                rest = rest[:0]
            is_sparse = self.in_body and self._turn_parts - parts <= FEW_PARTS
            size = min(2 * size, MAX_PARSED_BYTES) if is_sparse else MIN_PARSED_BYTES
        self._unparsed = rest
        if rest:
            self._reserve_unparsed(rest.obj)
        elif self._unparsed_reserved_bytes:
            self.drop_unparsed()

    def _reserve_unparsed(self, data: bytes) -> None:
        """Reserves the memory for fed bytes, all of which are kept until the last is parsed."""
        if not self._memory.reserve_request(self._unparsed_reserved_bytes, len(data)):
            raise request_errors.NoRoomError
        self._unparsed_reserved_bytes = len(data)

    def _parse_piece(self, piece: bytes | memoryview) -> int:
        """Parses bytes up to the end of the next head that offers an upgrade; returns how many."""
        # An upper bound: the pieces of data may also hold bytes before or after the head.
        self._piece_size = len(piece)
        self._head_bytes_fed = self._piece_size + (self._head_bytes_fed if self.in_head else 0)
        parts = self._turn_parts
        size = self._parse(piece)
        if self._is_ended:
            return size
        if self.in_head:
            if self._head_bytes_fed > self.bounds.header_bytes:
                raise request_errors.BadRequestError(431 if self._headers else 414)
            self._reserve_head()
        elif self.in_body and not self._announced_size:
            self._reserve_open_field(size, has_parts=self._turn_parts > parts)
        self._request_size += size
        max_size = self.bounds.header_bytes + MAX_CHUNK_SIZE_FACTOR * self._body_size
        if not self.requests and not self.in_head and self._request_size > max_size:
            raise request_errors.BadRequestError(413)
        return size

    def _reserve_open_field(self, size: int, *, has_parts: bool) -> None:
        """Reserves the memory for bytes that the parser keeps if they belong to a field."""
        open_size = open_field.count(self._open_field_size, size, has_parts=has_parts)
        if open_size > self.bounds.header_bytes:
            raise request_errors.BadRequestError(413)
        self._open_field_size = open_size
        if open_size > FREE_HEAD_BYTES:
            self._reserve(self._head_cost + self._body_cost + HEAD_COPIES * open_size)

    def _parse(self, data: bytes | memoryview) -> int:
        """Parses bytes up to the end of the next head that offers an upgrade; returns how many.

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
            return offer.args[0]
        except httptools.HttpParserError:
            if not self._is_ended:
                raise
        return len(data)

    def _encode_head_without_offer(self) -> bytes:
        first = (self.parser.get_method(), self._target, self._version.encode())
        parts = [b"%s %s HTTP/%s\r\n" % first]
        parts += [b"%s: %s\r\n" % field for field in self._headers if field[0] != b"upgrade"]
        parts.append(b"\r\n")
        return b"".join(parts)

    def on_message_begin(self) -> None:
        """Resets the state for the next request."""
        self._reset_request()
        self._head_bytes_fed = self._piece_size
        self.in_head = True
        self.in_body = False

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the target."""
        self._target += url
        if len(self._target) > self.bounds.header_bytes:
            raise request_errors.BadRequestError(414)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field; one behind the body is not forwarded and has no effect."""
        self._turn_parts += 1
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
                raise request_errors.BadRequestError(431)
        if self.parser.get_method() == b"CONNECT":
            raise request_errors.BadRequestError(405)
        self._reserve_head()
        version = self._version = self.parser.get_http_version()
        names = [name for name, _ in headers]
        hosts = names.count(b"host")
        if version not in message.VERSIONS or hosts > 1 or (version == "1.1" and not hosts):
            raise request_errors.BadRequestError(400)
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
            raise request_errors.BadRequestError(413)
        self._announced_size = body_size
        self._reserve(self._head_cost + BODY_COPIES * body_size)

    def _check_transfer_encoding(self) -> None:
        """Refuses codings that can't be undone, and any in HTTP/1.0, which has none."""
        values = [value for name, value in self._headers if name == b"transfer-encoding"]
        if not message.is_chunked_only(values) or self._version == "1.0":
            raise request_errors.BadRequestError(400)

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        self._turn_parts += 1
        size = self._body_size = self._body_size + len(body)
        if size > self.bounds.body_bytes:
            raise request_errors.BadRequestError(413)
        if self._head_cost + BODY_COPIES * size > self._reserved_bytes:
            self._reserve(self._head_cost + self._body_cost)
        self._body = body_buffer.append(self._body, body)

    @property
    def _body_cost(self) -> int:
        """Memory for the body of unknown size that is being read."""
        return BODY_COPIES * BODY_STEP_BYTES * -(-self._body_size // BODY_STEP_BYTES)

    def on_message_complete(self) -> None:
        """Appends the complete request to `requests`; one that offers an upgrade is read again."""
        if self._upgrade_offered:
            return
        self._turn_parts += 1
        self.in_body = False
        parser = self.parser
        self.expects_continue = False
        keep_alive = parser.should_keep_alive()
        if keep_alive and self._version == "1.0":
            # For HTTP/1.0 the parser looks for keep-alive only.
            keep_alive = b"close" not in message.connection_options(self._headers)
        waiting_bytes = REQUEST_BYTES if self.requests else 0
        self._reserve(self._head_cost + BODY_COPIES * self._body_size + waiting_bytes)
        # Errors behind a last request are ignored, but not that there is no room for it.
        self._is_ended = not keep_alive
        body = body_buffer.content(self._body)
        self._body, self._announced_size = b"", 0
        request = message.Request(
            parser.get_method(), self._target, self._headers, body, keep_alive
        )
        # What was reserved now belongs to the complete request.
        request.held_bytes, self._reserved_bytes = self._reserved_bytes, 0
        self.requests.append(request)
