"""Fields that are never complete are counted and bounded, also behind a body."""

import subprocess
import sys

import pytest

from bergamotridge.util import held_bytes, request_errors, request_reader
from standins import endless

HEAD_LIMIT = 65_536
BODY_LIMIT = 524_288
PARSED_BYTES = 4_096
UNCOUNTED_BYTES = PARSED_BYTES + 2_048  # The last piece, and objects of the reader itself.
CHUNKED = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
BODY = b"%x\r\n%s\r\n0\r\n" % (8 * HEAD_LIMIT, bytes(8 * HEAD_LIMIT))
TRAILERS = b"a: b\r\n" * 20


# A field that was never complete was not counted, nor bounded behind a body: many at once took
# memory of no account.
@pytest.mark.parametrize("part", endless.Part)
def test_all_that_is_kept_of_a_response_without_end_is_counted(part):
    command = [sys.executable, "-m", "tests.test_util.endless_reader", part]
    output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    assert int(output) <= UNCOUNTED_BYTES


def make_request_reader(memory):
    return request_reader.RequestReader(
        request_reader.RequestLimits(HEAD_LIMIT, BODY_LIMIT, 1.0, 1.0), memory
    )


# Behind a long body, a field that was never complete could take eight times the size of the body.
def test_a_field_behind_a_request_body_is_counted_and_ends_at_the_limit_of_a_head():
    memory = held_bytes.HeldBytes()
    reader = make_request_reader(memory)
    reader.feed(CHUNKED + BODY)
    before = memory.total_bytes
    with pytest.raises(request_errors.BadRequestError):
        for count in range(1, 2 * HEAD_LIMIT // PARSED_BYTES):
            reader.feed(b"a" * PARSED_BYTES)
            kept = count * PARSED_BYTES - request_reader.FREE_HEAD_BYTES
            assert memory.total_bytes - before >= kept
    reader.drop()
    assert memory.total_bytes == 0


# A bound on what comes without a complete field must not refuse a body whose end comes in shreds.
def test_a_body_and_fields_behind_it_are_read_byte_by_byte():
    memory = held_bytes.HeldBytes()
    reader = make_request_reader(memory)
    reader.bounds = request_reader.RequestLimits(len(CHUNKED), BODY_LIMIT, 1.0, 1.0)
    data = CHUNKED + BODY + TRAILERS + b"\r\n"
    split = len(CHUNKED + BODY) - 7
    reader.feed(data[:split])
    for start in range(split, len(data)):
        reader.feed(data[start : start + 1])
    (request,) = reader.requests
    assert len(request.body) == BODY_LIMIT
    reader.drop()
    assert memory.total_bytes == 0
