"""The HTTP server holds a bounded number of bytes for its clients."""

import contextlib
import random
import socket
import struct
import subprocess
import sys

import pytest

from bergamotridge import answer
from bergamotridge.util import (
    held_bytes,
    http_connection,
    message,
    request_reader,
    response_writer,
)
from standins import processes
from tests import process_usage
from tests.test_util import held_server
from tests.test_util.test_httpd_stop import FIRST, SlowServer, connect, read_all, split

BODY = 600_000
BOUNDS = request_reader.RequestLimits(2000, BODY, 10.0, 10.0)
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % BODY
CHUNKED = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n" % BODY
SEED = 37


@contextlib.contextmanager
def serving(limit, handler=None, **options):
    """Runs a server; yields it, its account and the causes for which it ends connections."""
    memory, causes = held_bytes.HeldBytes(limit), []
    slow = SlowServer(
        bounds=lambda: BOUNDS,
        memory=memory,
        memory_refusal=answer.fixed_refusal(503, "", http_connection.REQUEST_MEMORY),
        on_turned_away=causes.append,
        **options,
    )
    if handler is not None:
        slow.server.handler = handler
    try:
        yield slow, memory, causes
    finally:
        slow.may_finish.set()
        slow.server.stop(0)


# The bodies of all connections together had no bound.
@pytest.mark.parametrize("head", [HEAD, CHUNKED + bytes(BODY)])
def test_a_request_for_whose_body_there_is_no_room_is_refused_before_it_runs(head):
    with serving(3 * BODY) as (slow, memory, causes), connect(slow.address) as first:
        first.sendall(HEAD)
        processes.wait_until(lambda: memory.total_bytes, "the first body has its room")
        with connect(slow.address) as second:
            second.sendall(head)
            refusal = read_all(second).lower()
        assert refusal.startswith(b"http/1.1 503")
        for field in (b"retry-after: 1", b"-verdict: not-run", b"-reason: request-memory"):
            assert field in refusal
        assert causes == [http_connection.REQUEST_MEMORY]
        first.sendall(bytes(BODY))
        slow.may_finish.set()
        assert first.recv(12) == b"HTTP/1.1 200"
        assert slow.handled == [bytes(BODY)]
        processes.wait_until(lambda: not memory.total_bytes, "nothing is held")


# A body above the limit was read as long as there was room, then refused as one to be sent again.
def test_a_body_that_is_announced_as_too_large_is_refused_before_it_comes():
    with serving(3 * BODY) as (slow, memory, _), connect(slow.address) as client:
        client.sendall(HEAD.replace(b"%d" % BODY, b"%d" % (BODY + 1)))
        assert read_all(client).startswith(b"HTTP/1.1 413")
        assert (slow.handled, memory.total_bytes) == ([], 0)


# What a connection held could have been counted for ever after an odd end.
def test_nothing_is_counted_any_more_after_any_end_of_a_connection():
    pieces = [HEAD, FIRST, bytes(1000), b"\0\r\n", HEAD + bytes(BODY), CHUNKED + bytes(500)]
    rng = random.Random(SEED)
    with serving(100_000_000, connections=100) as (slow, memory, _causes):
        slow.may_finish.set()
        for _ in range(60):
            with connect(slow.address) as client:
                with contextlib.suppress(ConnectionError):
                    for piece in rng.choices(pieces, k=rng.randrange(1, 4)):
                        client.sendall(piece)
                if rng.random() < 0.5:
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        processes.wait_until(lambda: not memory.total_bytes, "nothing is held")


# Clients that took nothing kept their answers in memory, however many they were.
def test_the_reader_that_takes_least_loses_its_response_first_when_there_is_no_room():
    size, read_first = 20_000_000, 4_000_000

    async def answer_at_length(_request, _token):
        return message.Response(200, [], bytes(size))

    with contextlib.ExitStack() as stack:
        server, memory, causes = stack.enter_context(serving(3 * size + 1000, answer_at_length))
        clients = [stack.enter_context(connect(server.address)) for _ in range(4)]
        taken = 0
        for number, client in enumerate(clients[:3]):
            client.sendall(FIRST)
            processes.wait_until(
                lambda number=number: memory.total_bytes > (number + 1) * size, "it is written"
            )
        while taken < read_first:
            taken += len(clients[0].recv(read_first - taken))
        clients[3].sendall(FIRST)
        processes.wait_until(lambda: causes, "one has lost its response")
        assert memory.has_room and causes == [response_writer.NO_ROOM]
        lengths = [count_until_the_end(client) for client in clients]
    assert lengths[0] + taken > size and min(lengths[2:]) > size > lengths[1]


def count_until_the_end(client):
    """Returns how many bytes a client still gets of the response to its one request."""
    received = 0
    client.settimeout(0.5)
    with contextlib.suppress(ConnectionError, TimeoutError):
        while piece := client.recv(1_000_000):
            received += len(piece)
    return received


# Slow readers and long bodies together took more memory than the platform lets a process have.
def test_a_process_stays_below_its_limit_beside_slow_readers_and_long_bodies():
    command = [sys.executable, "-m", "tests.test_util.held_server"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            address = process.stdout.readline().strip()
            with contextlib.ExitStack() as stack:
                for number in range(held_server.READERS):
                    client = stack.enter_context(connect(address))
                    client.sendall(FIRST.replace(b" /1 ", b" /long "))
                    if number % 10 == 0:
                        send_most_of_a_body(stack.enter_context(connect(address)))
                    with connect(address) as sound:
                        sound.sendall(FIRST.replace(b"host", b"connection: close\r\nhost"))
                        assert split(read_all(sound)) == [(200, b"one")]
            assert process_usage.read_peak_bytes(process.pid) < held_server.MEMORY_BYTES
        finally:
            process.kill()


def send_most_of_a_body(client):
    """Sends a long body without its last byte, unless the server refuses it."""
    client.settimeout(0.5)
    with contextlib.suppress(ConnectionError, TimeoutError):
        client.sendall(held_server.HEAD)
        client.sendall(bytes(held_server.BODY_BYTES - 1))
