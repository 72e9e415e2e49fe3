"""Responses without end, as a faulty server sends them."""

import enum

BODY_BYTES = 10**15
PIECE_BYTES = 65_536
CHUNK_BYTES = 262_144


class Part(enum.StrEnum):
    """What goes on without end."""

    HEAD = "head"
    BODY = "body"
    FIELDS = "fields"
    INTERIM = "interim"
    CHUNKS = "chunks"
    TRAILERS = "trailers"
    TRAILER = "trailer"


_LENGTH = b"content-length: %d\r\n" % BODY_BYTES
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_FIRST = {
    Part.HEAD: b"x-endless: ",
    Part.BODY: _LENGTH + b"\r\n",
    Part.FIELDS: b"",
    Part.INTERIM: b"",
    Part.CHUNKS: _CHUNKED,
    Part.TRAILERS: _CHUNKED + b"0\r\n",
    Part.TRAILER: _CHUNKED + b"%x\r\n%s\r\n0\r\na: " % (CHUNK_BYTES, bytes(CHUNK_BYTES)),
}
_REPEATED = {
    Part.HEAD: b"a",
    Part.BODY: b"a",
    Part.FIELDS: b"a:\r\n",
    Part.INTERIM: b"HTTP/1.1 100 Continue\r\na:\r\n\r\n",
    Part.CHUNKS: b"1\r\na\r\n",
    Part.TRAILERS: b"a:\r\n",
    Part.TRAILER: b"a",
}


def start_response(part: Part, status: int) -> bytes:
    """Returns the beginning of a response of which `part` has no end."""
    line = b"" if part is Part.INTERIM else b"HTTP/1.1 %d \r\n" % status
    return line + _FIRST[part]


def make_piece(part: Part) -> bytes:
    """Returns what follows the beginning again and again."""
    repeated = _REPEATED[part]
    return repeated * (PIECE_BYTES // len(repeated))
