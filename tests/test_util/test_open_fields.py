"""Fields that are never complete are counted and bounded, also behind a body."""

import tracemalloc

import pytest

from bergamotridge.util import response_reader
from standins import endless

HEAD_LIMIT = 65_536
BODY_LIMIT = 524_288
PARSED_BYTES = 4_096
PIECES = 64
UNCOUNTED_BYTES = PARSED_BYTES + 2_048  # The last piece, and objects of the reader itself.


# A field that was never complete was not counted, nor bounded behind a body: many at once took
# memory of no account.
@pytest.mark.parametrize("part", endless.Part)
def test_all_that_is_kept_of_a_response_without_end_is_counted(part):
    reader = response_reader.ResponseReader(HEAD_LIMIT, BODY_LIMIT)
    data = endless.start_response(part, 200) + endless.make_piece(part) * PIECES
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        with pytest.raises(response_reader.ResponseTooLargeError):
            for start in range(0, len(data), PARSED_BYTES):
                reader.feed(data[start : start + PARSED_BYTES])
                now, _ = tracemalloc.get_traced_memory()
                assert reader.held_bytes + UNCOUNTED_BYTES >= now - before
    finally:
        tracemalloc.stop()
