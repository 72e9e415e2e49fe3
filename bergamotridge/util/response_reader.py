"""Parses HTTP responses from the bytes of a connection and enforces size limits."""

import io

import httptools

from bergamotridge.util import body_buffer, message, open_field

MIN_STATUS, MAX_STATUS = 100, 599
SWITCHED_STATUS = 101
# Of these the parser knows that their length fields mean nothing, as those of all interim ones.
KNOWN_INTERIM_STATUSES = frozenset((100, 102, 103))
FIRST_FINAL_STATUS = 200
DEFAULT_IDLE_S = 4.0
MAX_IDLE_S = 3600
# Fraction of the timeout in a Keep-Alive field for which an idle connection is reused.
KEEP_ALIVE_REUSE_FRACTION = 0.5
# Bytes of framing for each byte of a body; a chunk of one byte has five.
MAX_CHUNK_OVERHEAD_FACTOR = 8
# Memory for a field beside its bytes: name, value, tuple and entries in lists.
FIELD_BYTES = 256
_LENGTH_FIELDS = frozenset((b"content-length", b"transfer-encoding"))


class ResponseTooLargeError(Exception):
    """The head or the body of a response exceeds its size limit."""


_CALLBACK_ERRORS = (httptools.HttpParserError, ResponseTooLargeError)


class ResponseReader:
    """Collects one final response; its `on_...` methods are the callbacks of the httptools parser.

    Attributes:
        parser: The httptools parser of the connection.
        has_excess_data: True once data followed a complete response.
        keep_alive: True if the connection may be reused after the response.
        framed: True if the response has Content-Length or Transfer-Encoding.
        complete: True once the final response is complete.
        status: HTTP status, 0 before the head was read, and again after an interim response.
        body_size: Bytes of the body that have been read.
        idle_s: Seconds for which the connection may stay idle before it is no longer reused.
        parts: Fields and pieces of bodies that have been read.
    """

    _body: bytes | io.BytesIO

    def __init__(self, head_limit: int, body_limit: int) -> None:
        self._head_limit = head_limit
        self._body_limit = body_limit
        self.parser = httptools.HttpResponseParser(self)
        self.has_excess_data = False
        self.keep_alive = False
        self.prepare_next(head=False)

    def prepare_next(self, *, head: bool) -> None:
        """Resets the state for the next response; `head` is True if the request is a HEAD."""
        self._answers_head = head
        self._received_size = 0
        self._header_size = 0
        self._open_field_size = 0  # See `open_field`.
        self.body_size = 0
        self.parts = 0
        self._body = b""
        self._headers: list[message.Header] = []
        self._connection_fields: set[bytes] = set()
        self._transfer_encodings: list[bytes] = []
        self.framed = False
        self.complete = False
        self.status = 0
        self.idle_s = DEFAULT_IDLE_S

    def drop(self) -> None:
        """Frees a response that is given up, or has been taken."""
        self._body = b""
        self._headers = []

    def response(self) -> message.Response:
        """Returns the response without the header fields that concern this connection only."""
        fields = self._headers
        if self._connection_fields:
            fields = [field for field in fields if field[0] not in self._connection_fields]
        return message.Response(self.status, fields, body_buffer.content(self._body))

    def on_message_begin(self) -> None:
        """Notes that data follows a complete response."""
        if self.complete:
            self.has_excess_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field, or applies it if it concerns this connection only.

        A field behind the body is counted, but not forwarded, and has no effect.
        """
        self.parts += 1
        if self.complete:
            return
        self._header_size += len(name) + len(value)
        if self.status:
            return
        name, value = name.lower(), value.rstrip(message.BLANKS)
        if name not in message.UNFORWARDED_FIELDS:
            self._headers.append((name, value))
        elif name in _LENGTH_FIELDS:
            self.framed = True
            if name == b"transfer-encoding":
                self._transfer_encodings.append(value)
        elif name == b"keep-alive":
            self.idle_s = _parse_reusable_idle_s(value)
        elif name == b"connection" and value.lower() != b"keep-alive":
            self._connection_fields |= {option.strip().lower() for option in value.split(b",")}

    def on_headers_complete(self) -> None:
        """Stores the status."""
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        self._check_head()
        if self._answers_head and self.status >= FIRST_FINAL_STATUS:
            self.complete = True

    def _check_head(self) -> None:
        """Raises an error for heads behind which the body, or the next head, might be misread."""
        if not MIN_STATUS <= self.status <= MAX_STATUS:
            raise httptools.HttpParserError("the status is not valid")
        if self.status == SWITCHED_STATUS:
            # No upgrade was offered.
            raise httptools.HttpParserError("the server switched to another protocol")
        is_interim = self.status < FIRST_FINAL_STATUS
        if is_interim and self.framed and self.status not in KNOWN_INTERIM_STATUSES:
            raise httptools.HttpParserError("an interim response has a length")
        version = self.parser.get_http_version()
        if version not in message.VERSIONS:
            raise httptools.HttpParserError("the version of HTTP is not supported")
        encodings = self._transfer_encodings
        if encodings and (version == "1.0" or not message.is_chunked_only(encodings)):
            raise httptools.HttpParserError("the transfer encoding is not supported")

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        self.parts += 1
        if self.complete:
            self.has_excess_data = True
            return
        self.body_size += len(body)
        if self.body_size > self._body_limit:
            raise ResponseTooLargeError("the body is too large")
        self._body = body_buffer.append(self._body, body)

    def on_message_complete(self) -> None:
        """Completes the response, or discards an interim one."""
        if self.status < FIRST_FINAL_STATUS:
            self._headers = []
            self._connection_fields = set()
            self._transfer_encodings = []
            self.framed = False
            # Until the head of the final response is complete, the connection must not end.
            self.status = 0
        else:
            self.complete = True
            # The parser returns this correctly only once the message is complete.
            is_kept = self.parser.should_keep_alive()
            self.keep_alive = is_kept and b"close" not in self._connection_fields

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that the response takes, at most."""
        # The buffer of a body takes up to an eighth more than its content.
        head_bytes = self._header_size + FIELD_BYTES * len(self._headers)
        return head_bytes + self._open_field_size + self.body_size + self.body_size // 8

    @property
    def is_untouched(self) -> bool:
        """True if no byte of the response has been read."""
        return not self._received_size

    def feed(self, data: bytes) -> None:
        """Parses received bytes; data after a complete response only sets `has_excess_data`.

        Raises:
            ResponseTooLargeError: The body, or heads, interim responses and framing, exceed
                their limit. They may come without end, in a field that is never complete too.
            httptools.HttpParserError: The bytes are not a valid response.
        """
        self._received_size += len(data)
        parts = self.parts
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                # A name for it here would be a cycle, by which its traceback keeps the input.
                raise _find_cause(error) from None
            self.has_excess_data = True
        self._count_open_field(len(data), has_parts=self.parts > parts)
        overhead = self._received_size - self.body_size
        max_overhead = self._head_limit + MAX_CHUNK_OVERHEAD_FACTOR * self.body_size
        is_overlong = overhead > max_overhead or self._open_field_size > self._head_limit
        if self._header_size > self._head_limit or (not self.complete and is_overlong):
            raise ResponseTooLargeError("the head is too large")

    def _count_open_field(self, size: int, *, has_parts: bool) -> None:
        """Counts parsed bytes, which the parser keeps if they belong to an incomplete field."""
        may_be_field = not self.status or self._transfer_encodings
        open_size = open_field.count(self._open_field_size, size, has_parts=has_parts)
        self._open_field_size = open_size if may_be_field and not self.complete else 0


def _find_cause(error: Exception) -> Exception:
    """Returns the error that a callback has raised, for which httptools has raised `error`."""
    cause = error.__context__
    return cause if isinstance(cause, _CALLBACK_ERRORS) else error


def _parse_reusable_idle_s(value: bytes) -> float:
    """Returns for how long a connection may stay idle and still be reused.

    Args:
        value: Value of the Keep-Alive field of a response.

    Returns:
        Seconds: a fraction of the timeout in the field, or `DEFAULT_IDLE_S` without a timeout.
    """
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        timeout_s = message.parse_whole_number(seconds, MAX_IDLE_S)
        if name.lower() == b"timeout" and timeout_s is not None:
            return KEEP_ALIVE_REUSE_FRACTION * timeout_s
    return DEFAULT_IDLE_S
