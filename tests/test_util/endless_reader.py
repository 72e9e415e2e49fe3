"""Process that reads a response without end and prints what it kept most beyond what it counted.

It is a process of its own, as memory is traced for all threads, and other tests have some.
"""

import sys
import tracemalloc

from bergamotridge.util import response_reader
from standins import endless

HEAD_LIMIT = 65_536
BODY_LIMIT = 524_288
PARSED_BYTES = 4_096
PIECES = 64


def find_largest_excess(part: endless.Part) -> int:
    """Returns the bytes that are kept beyond those counted, at most, until the response ends."""
    reader = response_reader.ResponseReader(HEAD_LIMIT, BODY_LIMIT)
    data = endless.start_response(part, 200) + endless.make_piece(part) * PIECES
    excess = 0
    tracemalloc.start()
    try:
        for start in range(0, len(data), PARSED_BYTES):
            reader.feed(data[start : start + PARSED_BYTES])
            kept, _ = tracemalloc.get_traced_memory()
            excess = max(excess, kept - reader.held_bytes)
    except response_reader.ResponseTooLargeError:
        return excess
    raise ValueError("the response has not ended")


if __name__ == "__main__":
    print(find_largest_excess(endless.Part(sys.argv[1])))
