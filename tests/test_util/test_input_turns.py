"""Input that is too much for one turn of the loop is parsed in several, and counted meanwhile."""

import asyncio
import contextlib
import socket

import httptools
import pytest

from bergamotridge.util import (
    answer_memory,
    client_connection,
    held_bytes,
    http_connection,
    input_turns,
    loop,
    message,
    request_errors,
    request_reader,
    response_reader,
)
from standins import processes
from tests import event_loop
from tests.test_util.test_httpd import start_server
from tests.test_util.test_httpd_stop import FIRST, SlowServer, connect, read_all, split

SIZE = 40_000
LIMIT = 10_000_000
BOUNDS = request_reader.RequestLimits(65_536, 1_000_000, 10.0, 10.0)
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNKS = b"1\r\nx\r\n" * SIZE
SHORT_GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


class Transport(asyncio.Transport):
    """Notes whether its protocol reads, and what it writes; its socket is not connected."""

    def __init__(self):
        super().__init__()
        self.reads, self.written = True, b""
        self._socket = socket.socket()

    def get_extra_info(self, name, default=None):
        return self._socket

    def pause_reading(self):
        self.reads = False

    def resume_reading(self):
        self.reads = True

    def write(self, data):
        self.written += data

    def write_eof(self):
        pass

    def abort(self):
        self._socket.close()

    def is_closing(self):
        return False

    def set_write_buffer_limits(self, high=None, low=None):
        pass


def test_one_connection_takes_its_turn_in_each_iteration():
    taken, counted = [], []

    async def take():
        turns = input_turns.InputTurns(lambda: counted.append(1))
        loop = asyncio.get_running_loop()
        for name in "abc":
            turns.add(loop, lambda name=name: taken.append(name))
        lengths = []
        while len(taken) < 3:
            lengths.append(len(taken))
            await asyncio.sleep(0)
        return lengths

    assert event_loop.run(take()) == [0, 1, 2]
    assert (taken, len(counted)) == (["a", "b", "c"], 3)


# The loop parsed a body in chunks of one byte whole, and served nobody else meanwhile.
@pytest.mark.parametrize(("sent", "parts"), [(CHUNKS, SIZE), (SHORT_GET * SIZE, SIZE)])
def test_a_turn_parses_a_bounded_number_of_parts(sent, parts):
    reader = request_reader.RequestReader(BOUNDS)
    reader.feed((HEAD if sent is CHUNKS else b"") + sent)
    turns, seen = 1, len(reader.requests)
    while reader.is_behind:
        while reader.requests:
            reader.release(reader.requests.popleft())
        reader.parse()
        turns, seen = turns + 1, max(seen, len(reader.requests))
    assert turns > parts / (request_reader.MAX_TURN_PARTS + request_reader.MIN_PARSED_BYTES)
    assert seen <= request_reader.MIN_PARSED_BYTES // len(SHORT_GET) + 1


# Behind many short heads, one that was cut was taken for one that is too long.
def test_a_long_pipeline_that_is_cut_in_heads_is_no_long_head():
    reader = request_reader.RequestReader(BOUNDS)
    data = SHORT_GET + SHORT_GET[:10]
    reader.feed(data)
    for _ in range(2 * BOUNDS.header_bytes // len(SHORT_GET)):
        reader.release(reader.requests.popleft())
        reader.feed(SHORT_GET[10:] + SHORT_GET[:10])
    assert len(reader.requests) == 1


# The account counted the bytes of a body, whatever its pieces took beside them.
def test_all_that_is_kept_of_a_request_is_counted():
    memory = held_bytes.HeldBytes(LIMIT)
    reader = request_reader.RequestReader(BOUNDS, memory)
    reader.feed(HEAD + CHUNKS)
    assert memory.total_bytes >= len(HEAD + CHUNKS) + reader._body_size
    while reader.is_behind:
        reader.parse()
    assert 2 * SIZE <= memory.total_bytes < 2 * SIZE + 2 * request_reader.BODY_STEP_BYTES
    reader.feed(b"0\r\n\r\n")
    request = reader.requests.popleft()
    assert request.body == b"x" * SIZE
    assert memory.total_bytes == 2 * SIZE
    reader.release(request)
    assert memory.total_bytes == 0
    fields = 10_000
    reader.feed(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * fields)
    while reader.is_behind:
        reader.parse()
    assert memory.total_bytes > fields * request_reader.FIELD_BYTES
    reader.drop()
    assert memory.total_bytes == 0


# What waited to be parsed would have had no bound, however many connections had such input.
def test_input_that_finds_no_room_to_wait_is_refused():
    memory = held_bytes.HeldBytes(len(CHUNKS))
    reader = request_reader.RequestReader(BOUNDS, memory)
    with pytest.raises(request_errors.NoRoomError):
        reader.feed(HEAD + CHUNKS)
    reader.drop()
    assert memory.total_bytes == 0


# Such a request was neither answered nor refused: its client waited until the connection was idle
# for too long, and what was reserved for it was kept as long.
def test_a_last_request_that_finds_no_room_behind_another_is_refused():
    memory = held_bytes.HeldBytes(request_reader.REQUEST_BYTES)
    reader = request_reader.RequestReader(BOUNDS, memory)
    last = SHORT_GET.replace(b"host", b"connection: close\r\nhost")
    with pytest.raises(httptools.HttpParserError) as raised:
        reader.feed(SHORT_GET + last)
    assert isinstance(request_errors.find_cause(raised.value), request_errors.NoRoomError)


# Requests behind a full pipeline, or input behind a turn, could have been lost or swapped.
def test_all_requests_of_a_long_pipeline_are_answered_in_order():
    async def name_target(request, _token):
        await asyncio.sleep(0)
        return message.Response(200, [], request.target)

    memory = held_bytes.HeldBytes(LIMIT)
    server, address = start_server(name_target, bounds=lambda: BOUNDS, memory=memory)
    targets = [b"/%d" % number for number in range(1000)]
    chunked = HEAD.replace(b"POST /", b"POST /last") + b"1\r\nx\r\n" * 3000 + b"0\r\n\r\n"
    last = SHORT_GET.replace(b"host", b"connection: close\r\nhost")
    with connect(address) as client:
        client.sendall(
            b"".join(SHORT_GET.replace(b"/", target, 1) for target in targets) + chunked + last
        )
        answers = split(read_all(client))
    assert answers == [(200, body) for body in (*targets, b"/last", b"/")]
    processes.wait_until(lambda: not memory.total_bytes, "nothing is held")
    server.stop(0)


@contextlib.contextmanager
def behind():
    """Yields, to be used on the loop, a connection with more input than one turn takes."""
    slow = SlowServer(bounds=lambda: BOUNDS)
    try:
        yield slow
    finally:
        slow.server.stop(0)


def begin(slow, data):
    transport = Transport()
    connection = http_connection.Connection(slow.server, asyncio.get_running_loop())
    connection.connection_made(transport)
    connection.data_received(data)
    assert not transport.reads and connection._reader.is_behind
    return connection, transport


async def wait_for_answer(transport):
    while not transport.written:
        await asyncio.sleep(0)
    return transport.written[9:12]


# A body whose time was over while the node was parsing it would have been refused as late.
@pytest.mark.parametrize(("ends", "status"), [(True, b"200"), (False, b"408")])
def test_input_that_has_come_in_time_is_parsed_before_it_is_late(ends, status):
    async def fire(slow):
        connection, transport = begin(slow, HEAD + CHUNKS + b"0\r\n\r\n" * ends)
        connection._refuse_late_input()
        answer = await wait_for_answer(transport)
        assert transport.reads
        return answer

    with behind() as slow:
        slow.may_finish.set()
        assert event_loop.run(fire(slow)) == status


# A stop closed a connection without a word whose request had come, but was still to be parsed.
def test_a_stop_refuses_a_request_that_is_still_to_be_parsed():
    async def finish(slow):
        connection, transport = begin(slow, HEAD + CHUNKS)
        connection.finish()
        answer = await wait_for_answer(transport)
        assert not connection._reader.is_behind
        return answer

    with behind() as slow:
        assert event_loop.run(finish(slow)) == b"503"


# A request had the time at which it was parsed in place of that of its arrival.
def test_a_request_that_is_parsed_later_has_the_time_of_its_arrival():
    async def parse(slow):
        connection, _ = begin(slow, HEAD + CHUNKS + b"0\r\n\r\n" + FIRST)
        requests, arrived_at = connection._reader.requests, connection._arrived_at
        while connection._reader.is_behind or len(requests) < 1:
            await asyncio.sleep(0)
        return arrived_at, [request.received_at for request in requests]

    with behind() as slow:
        arrived_at, times = event_loop.run(parse(slow))
        slow.may_finish.set()
    assert times == [arrived_at] * len(times) and times


class Answer:
    """A response that is being read; to be used on the loop."""

    def __init__(self):
        self.memory = answer_memory.AnswerMemory(LIMIT)
        self.transport = Transport()
        self.connection = client_connection.Connection(
            asyncio.get_running_loop(),
            "127.0.0.1:1",
            response_reader.ResponseReader(10_000, 1_000_000),
            self.memory,
            False,
            loop.ignore_arrival,
            input_turns.InputTurns(),
        )
        self.connection.connection_made(self.transport)

    async def receive(self, data):
        """Returns the body, and the bytes that were held once `data` had been received."""
        self.connection.reader.prepare_next(head=False)
        deadline = asyncio.get_running_loop().time() + 60.0
        transfer = asyncio.ensure_future(self.connection.transfer(b"", deadline, None))
        await asyncio.sleep(0)
        self.connection.data_received(data)
        held = self.memory.held_bytes
        if not held:
            assert self.transport.reads
        elif not data.endswith(b"0\r\n\r\n"):
            self.connection.abort()
            self.connection.connection_lost(None)
        await transfer
        return self.connection.reader.response().body, held


RESPONSE = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNKS


# The loop parsed a response in chunks of one byte whole; its pieces took memory of no account.
def test_a_response_in_very_small_chunks_is_parsed_in_turns_and_counted():
    async def receive():
        answer = Answer()
        first = await answer.receive(RESPONSE + b"0\r\n\r\n")
        reads = answer.transport.reads
        second = await answer.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo")
        answer.connection.abort()
        return first, reads, second, answer

    (body, held), reads, second, answer = event_loop.run(receive())
    assert (body, reads, second) == (b"x" * SIZE, True, (b"two", 0))
    assert held > len(RESPONSE)
    assert answer.memory.held_bytes == 0
    assert not answer.connection.reader.has_excess_data


def test_a_response_that_ends_before_it_is_parsed_is_held_no_more():
    async def receive():
        answer = Answer()
        with pytest.raises(ConnectionError):
            await answer.receive(RESPONSE)
        return answer

    answer = event_loop.run(receive())
    event_loop.run(asyncio.sleep(0.01))
    assert answer.memory.held_bytes == 0


# A response that was complete, and not taken yet, was given up for its memory: its body was empty.
def test_a_response_that_is_complete_is_not_given_up_any_more():
    async def receive():
        answer = Answer()
        answer.connection.reader.prepare_next(head=False)
        deadline = asyncio.get_running_loop().time() + 60.0
        transfer = asyncio.ensure_future(answer.connection.transfer(b"", deadline, None))
        await asyncio.sleep(0)
        answer.connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo")
        answer.connection.give_up()
        await transfer
        return answer.connection.reader.response().body

    assert event_loop.run(receive()) == b"two"
