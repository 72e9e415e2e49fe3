"""Process with an HTTP server that holds a bounded number of bytes for its clients."""

from bergamotridge.util import held_bytes, message, request_reader
from standins import serving
from tests.test_util.test_httpd import start_server

MEMORY_BYTES = 300 * 1_048_576
HELD_BYTES = MEMORY_BYTES * 6 // 10
READERS = 40
LONG_BYTES = 8_000_000
BODY_BYTES = 30_000_000
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
BOUNDS = request_reader.RequestLimits(2000, BODY_BYTES, 60.0, 60.0)


async def _answer(request, _token):
    return message.Response(200, [], bytes(LONG_BYTES) if request.path == "/long" else request.body)


if __name__ == "__main__":
    stop_signal = serving.StopSignal()
    _, address = start_server(
        _answer,
        connections=1000,
        bounds=lambda: BOUNDS,
        memory=held_bytes.HeldBytes(HELD_BYTES),
    )
    print(address, flush=True)
    stop_signal.wait()
