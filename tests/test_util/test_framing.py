"""The readers of requests and responses agree with a plain reader of RFC 9112 on every message."""

from unittest import mock

import attrs
import httptools
import hypothesis
from hypothesis import strategies

from bergamotridge.util import message, request_errors, request_reader, response_reader
from tests import plain_http

EXAMPLES = 150
BOUNDS = request_reader.RequestLimits(100_000, 100_000, 1.0, 1.0)
SEEDED = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=EXAMPLES,
    suppress_health_check=list(hypothesis.HealthCheck),
)
BODY = b"GET / HTTP/1.1\r\nhost: b\r\n\r\n"  # A body that is taken for a request if it isn't read.
CHUNKED_BODIES = (
    b"1b\r\n" + BODY + b"\r\n0\r\n\r\n",
    b'1;a="x;\\"y";b\r\nx\r\n01a;c=d\r\n' + BODY[1:] + b"\r\n000;e\r\n\r\n",
    b"1\r\nx\r\n0\r\nhost: c\r\nupgrade: h2c\r\nconnection: upgrade\r\nx-a: b\r\n\r\n",
    b"1\r\nx\r\n0\r\ncontent-length: 5\r\n\r\n",
    b"1\r\nx\r\n0\r\ntransfer-encoding: chunked\r\n\r\n",
    b"1 \r\nx\r\n0\r\n\r\n",
    b"+1\r\nx\r\n0\r\n\r\n",
    b"1\r\nxy\r\n0\r\n\r\n",
    b"0x1\r\nx\r\n0\r\n\r\n",
    b"1\nx\r\n0\r\n\r\n",
)
LENGTHS = (
    b"27",
    b"027",
    b" 27\t ",
    b"0",
    b"+27",
    b"-27",
    b"27 27",
    b"27, 27",
    b"27,28",
    b"",
    b"0x1b",
)
CODINGS = (b"chunked", b"CHUNKED ", b",chunked", b"gzip, chunked", b"chunked, chunked", b"gzip")
CODINGS += (b"chunked, gzip", b"identity", b"xchunked", b"chunked;a=b", b"")
FIELDS = (
    b"upgrade: h2c\r\nconnection: Upgrade, HTTP2-Settings\r\nhttp2-settings: AAMAAABk",
    b"Connection: keep-alive, uPGRADE\r\nUPGRADE: websocket, h2c/1",
    b"upgrade: x",
    b"connection: upgrade",
    b"expect: 100-continue",
    b"Expect: 100-Continue ",
    b"connection: close",
    b"Connection: x-a, x-b \r\nconnection: x-c",
    b"connection: keep-alive",
    b"connection: keep-alive, close",
    b"x-a: 1\r\nX-B: \r\nx-c: 2\t \r\nx-d: 3, 4",
    b"trailer: host",
)


@strategies.composite
def framings(draw) -> tuple[bytes, bytes]:
    """Draws the fields that tell the length of a message, and its body."""
    kind = draw(strategies.sampled_from(("none", "length", "length", "chunks", "chunks", "odd")))
    if kind == "none":
        return b"", b""
    if kind == "length":
        return b"content-length: 27\r\n", BODY
    if kind == "chunks":
        return b"Transfer-Encoding: chunked\r\n", draw(strategies.sampled_from(CHUNKED_BODIES))
    length = strategies.sampled_from(LENGTHS).map(lambda value: b"Content-Length: %s\r\n" % value)
    coding = strategies.sampled_from(CODINGS).map(
        lambda value: b"transfer-encoding: %s\r\n" % value
    )
    lines = draw(strategies.lists(length | coding, min_size=1, max_size=2))
    return b"".join(lines), draw(strategies.sampled_from((BODY, CHUNKED_BODIES[0])))


@strategies.composite
def heads(draw, starts: list[bytes], hosts: list[bytes]) -> bytes:
    """Draws a message: its first line, its fields in any order, its body."""
    framing, body = draw(framings())
    fields = draw(strategies.lists(strategies.sampled_from(FIELDS), max_size=3))
    lines = [line + b"\r\n" for line in fields] + [framing, draw(strategies.sampled_from(hosts))]
    first = draw(strategies.sampled_from(starts))
    body = draw(strategies.sampled_from((body, body, body, body[:5], b"")))
    return first + b"\r\n" + b"".join(draw(strategies.permutations(lines))) + b"\r\n" + body


REQUEST_LINES = [b"POST /a HTTP/1.1"] * 8 + [b"GET /a?b HTTP/1.1", b"HEAD / HTTP/1.1"] * 2
REQUEST_LINES += [b"PUT /a HTTP/1.0", b"CONNECT a:1 HTTP/1.1", b"POST /a HTTP/2.0", b"GET /a"]
HOSTS = [b"host: a\r\n"] * 10 + [b"", b"host: a\r\nHost: b\r\n"]
STATUS_LINES = [b"HTTP/1.1 %d X" % status for status in (200, 200, 404, 204, 304)]
STATUS_LINES += [b"HTTP/1.0 200 OK", b"HTTP/2.0 200 OK", b"HTTP/1.1 099 X", b"HTTP/1.1 200"]
STATUS_LINES += [b"HTTP/1.1 600 X"]
INTERIM_LINES = [b"HTTP/1.1 %d X" % status for status in (100, 100, 103, 103, 101, 199)]
INTERIM = strategies.tuples(
    strategies.sampled_from(INTERIM_LINES), strategies.sampled_from(FIELDS), framings()
).map(lambda parts: parts[0] + b"\r\n" + parts[1] + b"\r\n" + parts[2][0] + b"\r\n")


def _pieces(data: bytes) -> list[list[bytes]]:
    """Returns the bytes whole, one by one, and cut in two at every place."""
    cuts = [[data[:place], data[place:]] for place in range(1, len(data))]
    return [[data], [data[place : place + 1] for place in range(len(data))], *cuts]


def _without_offers(fields: list[message.Header]) -> list[message.Header]:
    """Returns the fields but `Upgrade`, which isn't forwarded and which the reader leaves out."""
    return [field for field in fields if field[0] != b"upgrade"]


def _read_requests(pieces: list[bytes]):
    reader = request_reader.RequestReader(BOUNDS)
    refused = False
    try:
        for piece in pieces:
            reader.feed(piece)
            while reader.is_behind:
                reader.parse()
    except (httptools.HttpParserError, request_errors.BadRequestError):
        refused = True
    requests = [
        (one.method, one.target, _without_offers(one.headers), one.body, one.keep_alive)
        for one in reader.requests
    ]
    return requests, refused, reader.expects_continue and not refused


# The parser ended a message elsewhere than its bytes did, and a request ran without its body.
@SEEDED
@hypothesis.given(strategies.lists(heads(REQUEST_LINES, HOSTS), min_size=1, max_size=3))
def test_requests_are_read_as_a_plain_reader_reads_them(messages):
    data = b"".join(messages)
    plain, refused, awaits = plain_http.read_requests(data)
    expected = [
        (*one.start[:2], _without_offers(one.fields), one.body, one.keeps_alive) for one in plain
    ]
    for pieces in _pieces(data):
        assert _read_requests(pieces) == (expected, refused, awaits)
    for size in (1, 7, 40):
        with mock.patch.multiple(request_reader, MIN_PARSED_BYTES=size, MAX_TURN_PARTS=1):
            assert _read_requests([data]) == (expected, refused, awaits)


def _read_response(pieces: list[bytes], head: bool):
    reader = response_reader.ResponseReader(100_000, 100_000)
    reader.prepare_next(head=head)
    unread = list(pieces)
    try:
        while unread and not reader.complete:
            reader.feed(unread.pop(0))
    except (httptools.HttpParserError, response_reader.ResponseTooLargeError):
        return "faulty"
    if not reader.complete and (reader.framed or not reader.status):
        return "incomplete"
    response = reader.response()
    behind = reader.has_excess_data or bool(unread)
    reusable = reader.complete and not head and reader.keep_alive and not behind
    return attrs.astuple(response)[:3], reader.complete, reusable


def _read_plain_response(data: bytes, head: bool):
    try:
        response, behind = plain_http.read_response(data, head=head)
    except plain_http.FaultyError:
        return "faulty"
    except plain_http.IncompleteError:
        return "incomplete"
    dropped = message.UNFORWARDED_FIELDS | set(response.options(b"connection"))
    fields = [field for field in response.fields if field[0] not in dropped]
    is_complete = behind is not None
    reusable = is_complete and not head and response.keeps_alive and not behind
    return (int(response.start[0]), fields, response.body), is_complete, reusable


# A response that switched protocols ended in an exception that nothing handled.
@SEEDED
@hypothesis.given(
    strategies.lists(INTERIM, max_size=2),
    heads(STATUS_LINES, [b""]),
    strategies.sampled_from((b"", b"", b"", b"HTTP/1.1 200 OK\r\n\r\n", b"x")),
    strategies.booleans(),
)
def test_responses_are_read_as_a_plain_reader_reads_them(interim, final, behind, head):
    data = b"".join(interim) + final + behind
    expected = _read_plain_response(data, head)
    for pieces in _pieces(data):
        assert _read_response(pieces, head) == expected
