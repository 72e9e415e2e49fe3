"""Serialization of the requests that the HTTP client sends."""

from bergamotridge.util import message

BODILESS_METHODS = frozenset((b"GET", b"HEAD"))


def encode(request: message.Request, address: str) -> bytes:
    """Serializes a request for HTTP/1.1; without a Host field, Host is set to `address`."""
    fields = request.headers
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    if message.find_header(fields, b"host") is None:
        lines.append(b"host: " + address.encode())
    lines += map(message.join_field, fields)
    if request.body or request.method not in BODILESS_METHODS:
        lines.append(b"content-length: %d" % len(request.body))
    lines += (b"", request.body)
    return b"\r\n".join(lines)
