"""HTTP messages as the servers and clients of this package pass them on."""

import http

import attrs

HOP_BY_HOP = frozenset(
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
    )
)

FRAMING = frozenset((b"content-length", b"transfer-encoding", b"connection"))
CONNECTION_OPTIONS = frozenset((b"close", b"keep-alive"))
BODILESS_STATUSES = frozenset((204, 304))
Header = tuple[bytes, bytes]
_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def find(headers: list[Header], name: bytes) -> bytes | None:
    """Returns the first value of the header `name` (lower case), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


@attrs.define
class Request:
    """A request read whole; header names are in lower case.

    Attributes:
        method: Method.
        target: Path and query.
        headers: Header fields in order.
        body: Body.
        keep_alive: True if the client wants to keep the connection.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes = b""
    keep_alive: bool = True
    _index: dict[bytes, bytes] | None = attrs.field(default=None, init=False, eq=False)

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of the header `name` (lower case), or None."""
        if self._index is None:
            self._index = dict(reversed(self.headers))
        return self._index.get(name)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@attrs.define
class Response:
    """A whole response; `headers` holds no framing fields."""

    status: int
    headers: list[Header] = attrs.field(factory=list)
    body: bytes = b""
    _index: dict[bytes, bytes] | None = attrs.field(default=None, init=False, eq=False)

    @property
    def bodiless(self) -> bool:
        """True if the status alone says that there is no body."""
        return self.status in BODILESS_STATUSES

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of the header `name` (lower case), or None."""
        if self._index is None:
            self._index = dict(reversed(self.headers))
        return self._index.get(name)

    def replace_headers(self, headers: list[Header]) -> None:
        """Puts other header fields in place of those that were read."""
        self.headers = headers
        self._index = None


def encode(response: Response, *, keep_alive: bool, head: bool = False) -> bytes:
    """Returns the bytes of a response with Content-Length; no body for HEAD, 204 and 304."""
    status, bare = response.status, response.bodiless
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, _REASONS.get(status, b"Unknown"))]
    parts += [b"%s: %s\r\n" % field for field in response.headers if field[0] not in FRAMING]
    if not bare:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    parts.append(b"\r\n" if keep_alive else b"connection: close\r\n\r\n")
    if not (bare or head):
        parts.append(response.body)
    return b"".join(parts)
