"""A plain, slow reader of HTTP/1.1 messages, written from RFC 9112, to compare fast readers with.

It reads the bytes of a whole connection at once. Where the RFC leaves a choice, it has the one of
the package: blanks in a chunk's line, a list of equal lengths, both lengths at once, a length of an
unknown interim response and an interim response that ends its connection are faults.
"""

import re

import attrs

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_FIELD = re.compile(rb"(" + _TOKEN + rb"):[ \t]*([\t\x20-\x7e\x80-\xff]*?)[ \t]*")
_REQUEST_LINE = re.compile(rb"(" + _TOKEN + rb") ([!-~]+) HTTP/(1\.[01])")
_STATUS_LINE = re.compile(rb"HTTP/(1\.[01]) ([1-5][0-9][0-9])(?: [\t\x20-\x7e]*)?")
_EXTENSION = rb"(?:;" + _TOKEN + rb"(?:=(?:" + _TOKEN + rb'|"(?:[^"\\\r\n]|\\.)*"))?)*'
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})" + _EXTENSION)

CHUNKED = -1  # Instead of a length.


class FaultyError(Exception):
    """The bytes are no message of HTTP/1.1, or where it ends isn't certain."""


class IncompleteError(Exception):
    """The bytes end within a message."""


@attrs.frozen
class Message:
    """The head of a message with its body; names are in lower case."""

    start: tuple[bytes, ...]  # Method, target and version, or status and version.
    fields: list[tuple[bytes, bytes]]
    body: bytes = b""

    def values(self, name: bytes) -> list[bytes]:
        """Returns the values of all fields `name`."""
        return [value for key, value in self.fields if key == name]

    def options(self, name: bytes) -> list[bytes]:
        """Returns the elements of the lists in all fields `name`, in lower case."""
        elements = b",".join(self.values(name)).split(b",")
        return [element.strip(b" \t").lower() for element in elements if element.strip(b" \t")]

    @property
    def is_request(self) -> bool:
        """True if the first line is that of a request."""
        return len(self.start) == 3

    @property
    def awaits_continue(self) -> bool:
        """True if the client of a request may wait for a 100 before it sends the body."""
        expected = [value.lower() for value in self.values(b"expect")][:1]
        return expected == [b"100-continue"] and self.start[-1] == b"1.1"

    @property
    def keeps_alive(self) -> bool:
        """True if the connection may be used again after this message."""
        options = self.options(b"connection")
        is_kept = self.start[-1] == b"1.1" or b"keep-alive" in options
        return is_kept and b"close" not in options


def read_requests(data: bytes) -> tuple[list[Message], bool, bool]:
    """Returns the requests, whether bytes are refused, and whether the client awaits a 100."""
    requests: list[Message] = []
    while not requests or requests[-1].keeps_alive:
        data = data.lstrip(b"\r\n")
        request = None
        try:
            request, data = _read_head(data, _REQUEST_LINE)
            _check_request(request)
            body, data = _read_body(request, _length(request) or 0, data)
        except FaultyError:
            return requests, True, False
        except IncompleteError:
            return requests, False, request is not None and request.awaits_continue
        requests.append(attrs.evolve(request, body=body))
    return requests, False, False


def read_response(data: bytes, *, head: bool) -> tuple[Message, bytes | None]:
    """Returns the final response and the bytes behind it; None if the connection's end ends it.

    Args:
        data: All bytes that the server sent.
        head: True if the request was a HEAD.

    Raises:
        FaultyError: No final response can be read for certain.
        IncompleteError: The bytes end before it does.
    """
    status = 0
    while status < 200:
        response, data = _read_head(data.lstrip(b"\r\n"), _STATUS_LINE)
        status, length = int(response.start[0]), _length(response)
        is_length_ignored = status in (100, 102, 103) or length is None
        if status < 200 and (status == 101 or not is_length_ignored or not response.keeps_alive):
            raise FaultyError
    if head or status in (204, 304):
        return response, data
    if length is None:
        return attrs.evolve(response, body=data), None
    body, data = _read_body(response, length, data)
    return attrs.evolve(response, body=body), data


def _read_head(data: bytes, start_line: re.Pattern) -> tuple[Message, bytes]:
    head, end, rest = data.partition(b"\r\n\r\n")
    if not end:
        raise IncompleteError
    first, *lines = head.split(b"\r\n")
    start = start_line.fullmatch(first)
    if start is None:
        raise FaultyError
    version_last = start.groups()
    if start_line is _STATUS_LINE:
        version_last = version_last[::-1]
    return Message(version_last, _read_fields(lines)), rest


def _read_fields(lines: list[bytes]) -> list[tuple[bytes, bytes]]:
    matches = [_FIELD.fullmatch(line) for line in lines]
    if None in matches:
        raise FaultyError
    return [(match[1].lower(), match[2]) for match in matches]


def _check_request(request: Message) -> None:
    method, _, version = request.start
    hosts = len(request.values(b"host"))
    if method == b"CONNECT" or hosts > 1 or (version == b"1.1" and not hosts):
        raise FaultyError


def _length(message: Message) -> int | None:
    """Returns the length of the body if it is known, `CHUNKED`, or None; raises FaultyError.

    Only a single ``chunked`` of HTTP/1.1 can be undone.
    """
    lengths, codings = message.values(b"content-length"), message.values(b"transfer-encoding")
    if codings:
        is_undone = message.options(b"transfer-encoding") == [b"chunked"] and b"" not in codings
        if lengths or not is_undone or message.start[-1] == b"1.0":
            raise FaultyError
        return CHUNKED
    if len(lengths) > 1 or not all(re.fullmatch(rb"[0-9]{1,19}", length) for length in lengths):
        raise FaultyError
    return int(lengths[0]) if lengths else None


def _read_body(message: Message, size: int, data: bytes) -> tuple[bytes, bytes]:
    if size == CHUNKED:
        body, trailers, data = _read_chunks(data)
        # Behind a body a length means nothing; requests that carry one are refused.
        names = {name for name, _ in trailers}
        if b"content-length" in names or (message.is_request and b"transfer-encoding" in names):
            raise FaultyError
        return body, data
    if len(data) < size:
        raise IncompleteError
    return data[:size], data[size:]


def _read_chunks(data: bytes) -> tuple[bytes, list[tuple[bytes, bytes]], bytes]:
    body = b""
    while True:
        line, end, data = data.partition(b"\r\n")
        if not end and re.fullmatch(rb"([0-9A-Fa-f].*)?", line):
            raise IncompleteError
        chunk = _CHUNK_LINE.fullmatch(line)
        if chunk is None:
            raise FaultyError
        size = int(chunk[1], 16)
        if not size:
            break
        if not b"\r\n".startswith(data[size : size + 2]):
            raise FaultyError
        if len(data) < size + 2:
            raise IncompleteError
        body, data = body + data[:size], data[size + 2 :]
    if data.startswith(b"\r\n"):
        return body, [], data[2:]
    trailers, end, data = data.partition(b"\r\n\r\n")
    if not end:
        raise IncompleteError
    return body, _read_fields(trailers.split(b"\r\n")), data
