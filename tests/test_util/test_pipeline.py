"""Requests behind an unanswered one run beside it, and are answered in their order."""

import asyncio
import concurrent.futures
import gc
import threading
import tracemalloc

import pytest

from bergamotridge.util import held_bytes, message, pipeline
from standins import processes
from tests import event_loop
from tests.test_util.test_httpd import start_server
from tests.test_util.test_httpd_stop import connect, read_all, split, wait_until_read

WAIT_S = 30
PAUSE_S = 0.001
LONG_SIZE = 1_000_000


def get(path: bytes) -> bytes:
    return b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n" % path


def may_overlap(request: message.Request) -> bool:
    return request.method == b"GET"


class HeldServer:
    """A server whose handler answers with the path once that path is released or cancelled."""

    def __init__(self, *, limit=4, body_size=1, **options):
        self.entered: list[str] = []
        self.ended: list[str] = []
        self.cancelled: list[str] = []
        self.waits_s: list[float] = []
        self._released: set[str] = set()
        self._body_size = body_size
        policy = pipeline.Policy(limit, may_overlap, self.waits_s.append)
        self.server, self.address = start_server(self._answer, pipelining=policy, **options)

    def release(self, *paths):
        event_loop.call(lambda: self._released.update(paths))

    def wait_for(self, *paths):
        processes.wait_until(lambda: set(paths) <= set(self.entered), f"{paths} run")

    async def _answer(self, request, token):
        self.entered.append(request.path)
        while not (request.path in self._released or token.cancelled):
            await asyncio.sleep(PAUSE_S)
        self.ended.append(request.path)
        if token.cancelled:
            self.cancelled.append(request.path)
        status = 503 if token.cancelled else 200
        return message.Response(status, [], request.path.encode() * self._body_size)


# Requests on one connection ran one after the other, so that a slow one delayed all behind it.
def test_a_slow_request_does_not_keep_those_behind_it_from_running():
    held = HeldServer()
    with connect(held.address) as client:
        client.sendall(get(b"1") + get(b"2"))
        held.wait_for("/1", "/2")
        client.sendall(get(b"3"))
        held.wait_for("/3")
        held.release("/3", "/2")
        processes.wait_until(lambda: len(held.ended) == 2, "both are ready")
        held.server.close_after_answers()
        held.release("/1")
        assert split(read_all(client)) == [(200, b"/1"), (200, b"/2"), (200, b"/3")]
    held.server.stop(0)
    assert len(held.waits_s) == 2


# One that may not be repeated must not run before the answers ahead of it are sent: if one of them
# closes the connection, the client sends all that is behind it again.
@pytest.mark.parametrize(
    ("first", "second"),
    [(b"GET /1", b"POST /2"), (b"POST /1", b"GET /2"), (b"POST /1", b"POST /2")],
)
def test_a_request_that_may_not_overlap_runs_alone(first, second):
    held = HeldServer()
    tail = b" HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"
    with connect(held.address) as client:
        client.sendall(first + tail + second + tail + get(b"3"))
        held.wait_for("/1")
        wait_until_read(held.server)
        assert held.entered == ["/1"]
        held.server.close_after_answers()
        held.release("/1", "/2", "/3")
        assert split(read_all(client)) == [(200, b"/1"), (200, b"/2"), (200, b"/3")]
    held.server.stop(0)


# A single client could have had all requests of a long pipeline running at once.
def test_no_more_requests_of_a_connection_run_than_the_limit():
    held = HeldServer(limit=2)
    paths = [f"/{number}" for number in range(6)]
    with connect(held.address) as client:
        client.sendall(b"".join(get(path[1:].encode()) for path in paths))
        held.wait_for("/0", "/1")
        wait_until_read(held.server)
        assert held.entered == ["/0", "/1"]
        held.release("/0")
        held.wait_for("/2")
        assert held.entered == ["/0", "/1", "/2"]
        held.server.close_after_answers()
        held.release(*paths)
        assert [body.decode() for _, body in split(read_all(client))] == paths
    held.server.stop(0)


# A planned stop could have closed the connection behind the first answer, with others under way.
def test_all_requests_that_run_are_answered_in_a_stop():
    held = HeldServer()
    with connect(held.address) as client, concurrent.futures.ThreadPoolExecutor(1) as executor:
        client.sendall(get(b"1") + get(b"2") + get(b"3"))
        held.wait_for("/1", "/2", "/3")
        stopping = executor.submit(held.server.stop, WAIT_S)
        processes.wait_until(lambda: held.server.closing, "the server stops")
        held.release("/1")
        held.release("/3", "/2")
        answers = read_all(client)
        stopping.result(WAIT_S)
    assert split(answers) == [(200, b"/1"), (200, b"/2"), (200, b"/3")]
    assert answers.lower().count(b"connection: close") == 1


# At the end of its time a stop has to cancel what runs ahead, too, and to send the answers.
def test_all_requests_that_run_are_cancelled_at_the_end_of_a_stop():
    held = HeldServer()
    with connect(held.address) as client:
        client.sendall(get(b"1") + get(b"2"))
        held.wait_for("/1", "/2")
        held.server.stop(0.2)
        assert split(read_all(client)) == [(503, b"/1"), (503, b"/2")]


# Work for a client that has left has to end, also that of requests behind the first one.
def test_all_requests_that_run_are_cancelled_when_their_client_leaves():
    held = HeldServer()
    with connect(held.address) as client:
        client.sendall(get(b"1") + get(b"2"))
        held.wait_for("/1", "/2")
    processes.wait_until(lambda: sorted(held.cancelled) == ["/1", "/2"], "both are cancelled")
    processes.wait_until(lambda: not len(held.server.connections), "the connection has ended")
    held.server.stop(0)


# Bytes that can't be read, behind requests that run, must not cut off their answers.
def test_requests_before_input_that_is_refused_are_answered():
    held = HeldServer()
    with connect(held.address) as client:
        client.sendall(get(b"1") + get(b"2") + b"\0\r\n")
        held.wait_for("/1", "/2")
        held.release("/1", "/2")
        assert [status for status, _ in split(read_all(client))] == [200, 200, 400]
    held.server.stop(0)


# Responses that wait for the one before them were in no account of memory.
def test_a_response_that_waits_for_its_turn_is_held_in_the_account_until_it_is_sent():
    size = pipeline.MIN_HELD_BYTES
    memory = held_bytes.HeldBytes(16 * size)
    held = HeldServer(body_size=size, memory=memory)
    with connect(held.address) as client:
        client.sendall(get(b"1") + get(b"2"))
        held.wait_for("/1", "/2")
        held.release("/2")
        processes.wait_until(lambda: memory.total_bytes == 2 * size, "the response is held")
        held.server.close_after_answers()
        held.release("/1")
        assert [len(body) for _, body in split(read_all(client))] == [2 * size] * 2
    processes.wait_until(lambda: not memory.total_bytes, "nothing is held any more")
    held.server.stop(0)


# A client with more responses waiting than there is room for must not end the process.
def test_a_connection_whose_waiting_responses_have_no_room_is_closed():
    size = pipeline.MIN_HELD_BYTES
    memory, causes = held_bytes.HeldBytes(3 * size), []
    held = HeldServer(body_size=size, memory=memory, on_turned_away=causes.append)
    with connect(held.address) as client:
        client.sendall(get(b"1") + get(b"2") + get(b"3"))
        held.wait_for("/1", "/2", "/3")
        held.release("/2", "/3")
        assert not read_all(client)
    processes.wait_until(lambda: not memory.total_bytes, "nothing is held any more")
    held.server.stop(0)
    assert causes == ["no-room"]


# The default must serve connections as before there was a limit.
def test_without_a_limit_requests_run_one_after_the_other():
    entered, may_finish = [], threading.Event()

    async def answer(request, _token):
        entered.append(request.path)
        while not may_finish.is_set():
            await asyncio.sleep(PAUSE_S)
        return message.Response(200, [], request.path.encode())

    server, address = start_server(answer)
    with connect(address) as client:
        client.sendall(get(b"1") + get(b"2"))
        wait_until_read(server)
        processes.wait_until(lambda: entered, "the first runs")
        assert entered == ["/1"]
        server.close_after_answers()
        may_finish.set()
        assert split(read_all(client)) == [(200, b"/1"), (200, b"/2")]
    server.stop(0)


# Responses that waited behind an unanswered request when their client left stayed in memory, of no
# account, until the garbage collector found their connection.
def test_responses_that_wait_when_their_client_leaves_are_freed_at_once():
    held = HeldServer(body_size=LONG_SIZE)
    gc.disable()
    tracemalloc.start()
    try:
        with connect(held.address) as client:
            client.sendall(get(b"1") + get(b"2") + get(b"3"))
            held.wait_for("/1", "/2", "/3")
            held.release("/2", "/3")
            processes.wait_until(lambda: len(held.ended) == 2, "two are ready")
        processes.wait_until(lambda: held.cancelled == ["/1"], "the client has left")
        processes.wait_until(
            lambda: tracemalloc.get_traced_memory()[0] < LONG_SIZE, "the responses are freed"
        )
    finally:
        tracemalloc.stop()
        gc.enable()
    held.server.stop(0)
