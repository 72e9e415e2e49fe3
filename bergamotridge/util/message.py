"""HTTP requests and responses as this package's servers and clients exchange them."""

import http

import attrs

# Fields that are not forwarded: the hop-by-hop fields, and content-length, expect, host and
# http2-settings, which also belong to one connection.
UNFORWARDED_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"host",
        b"http2-settings",
    )
)

FRAMING_FIELDS = frozenset((b"content-length", b"transfer-encoding", b"connection"))
BODILESS_STATUSES = frozenset((204, 304))
VERSIONS = frozenset(("1.0", "1.1"))
BLANKS = b" \t"  # Around a field's value; the parser leaves those behind it.
Header = tuple[bytes, bytes]
join_field = b": ".join  # Returns the line of a header field, without its end.
_REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def find_header(headers: list[Header], name: bytes) -> bytes | None:
    """Returns the value of the first header field `name` (in lower case), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def connection_options(headers: list[Header]) -> set[bytes]:
    """Returns the options in all Connection fields, in lower case; others are names of fields."""
    values = [value for name, value in headers if name == b"connection"]
    if not values:
        return set()
    return {option.strip().lower() for value in values for option in value.split(b",")}


def is_chunked_only(values: list[bytes]) -> bool:
    """Returns whether the Transfer-Encoding fields name the coding ``chunked`` once and no other.

    Other codings are not undone, so that a body in them would be passed on changed.
    """
    names = [name.strip().lower() for value in values for name in value.split(b",")]
    return [name for name in names if name] == [b"chunked"]


def parse_whole_number(value: bytes, maximum: int) -> int | None:
    """Returns the whole number in a header field, at most `maximum`; None if it holds none.

    A field may have thousands of digits, more than the interpreter converts.
    """
    if not value.isdigit():
        return None
    digits = value.lstrip(b"0") or b"0"
    return maximum if len(digits) > len(str(maximum)) else min(int(digits), maximum)


@attrs.define
class Request:
    """A complete request; header names are in lower case.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Header fields in the order in which they were received.
        body: Whole body, after any transfer encoding was removed.
        keep_alive: True if the client wants to reuse the connection.
        received_at: Monotonic time in seconds at which its last byte was read, None if it was not
            received by a server.
        held_bytes: Bytes that are reserved for it in an account of memory.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes = b""
    keep_alive: bool = True
    received_at: float | None = None
    held_bytes: int = attrs.field(default=0, init=False, eq=False)
    _values_by_name: dict[bytes, bytes] | None = attrs.field(default=None, init=False, eq=False)

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first header field `name` (in lower case), or None."""
        if self._values_by_name is None:
            self._values_by_name = dict(reversed(self.headers))
        return self._values_by_name.get(name)

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@attrs.define
class Response:
    """A complete response; `headers` holds no framing fields."""

    status: int
    headers: list[Header] = attrs.field(factory=list)
    body: bytes = b""
    _values_by_name: dict[bytes, bytes] | None = attrs.field(default=None, init=False, eq=False)

    @property
    def bodiless(self) -> bool:
        """True if a response with this status never has a body."""
        return self.status in BODILESS_STATUSES

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first header field `name` (in lower case), or None."""
        if self._values_by_name is None:
            self._values_by_name = dict(reversed(self.headers))
        return self._values_by_name.get(name)

    def replace_headers(self, headers: list[Header]) -> None:
        """Replaces all header fields."""
        self.headers = headers
        self._values_by_name = None


def encode_response(response: Response, *, keep_alive: bool, head: bool = False) -> bytes:
    """Serializes a response for HTTP/1.1.

    Args:
        response: The response. Framing fields among its headers are left out.
        keep_alive: False adds ``connection: close``.
        head: True if the request was a HEAD: Content-Length is sent, the body is not.

    Returns:
        The bytes to send, with Content-Length. Statuses 204 and 304 get neither Content-Length
        nor a body.
    """
    status, bodiless = response.status, response.bodiless
    lines = [b"HTTP/1.1 %d %s" % (status, _REASON_PHRASES.get(status, b"Unknown"))]
    lines += [join_field(field) for field in response.headers if field[0] not in FRAMING_FIELDS]
    if not bodiless:
        lines.append(b"content-length: %d" % len(response.body))
    if not keep_alive:
        lines.append(b"connection: close")
    lines += (b"", b"" if bodiless or head else response.body)
    return b"\r\n".join(lines)
