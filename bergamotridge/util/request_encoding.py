"""Serialization of the requests that the HTTP client sends."""

from bergamotridge.util import message

BODILESS_METHODS = frozenset((b"GET", b"HEAD"))


def encode(request: message.Request, address: str) -> bytes:
    """Serializes a request for HTTP/1.1; without a Host field, Host is set to `address`."""
    fields = request.headers
    parts = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    if message.find_header(fields, b"host") is None:
        parts.append(b"host: %s\r\n" % address.encode())
    parts += [b"%s: %s\r\n" % field for field in fields]
    if request.body or request.method not in BODILESS_METHODS:
        parts.append(b"content-length: %d\r\n" % len(request.body))
    parts += [b"\r\n", request.body]
    return b"".join(parts)
