"""A client that takes its response steadily gets all of it; one that stops loses its connection."""

import socket

import pytest

from bergamotridge.util import held_bytes, response_writer
from tests import virtual_time

SIZE = 1_000_000
STALL_S = 2.0


class SlowTransport:
    """Has a client that takes a part of the response at each of some times, then nothing."""

    def __init__(self, event_loop, parts, interval_s):
        self.unsent = 0
        self._is_aborted = False
        self._parts, self._size = parts, SIZE // parts
        self._loop, self._interval_s = event_loop, interval_s
        self._socket = socket.socket()

    def start(self, writer):
        self.writer = writer

    def write(self, data):
        self.unsent = len(data)
        self.writer.pause()
        self._loop.call_later(self._interval_s, self._take)

    def _take(self):
        if self._is_aborted or not self._parts:
            return
        self._parts -= 1
        self.unsent -= self._size
        if self.unsent > 0:
            self._loop.call_later(self._interval_s, self._take)
        else:
            self.writer.resume()

    def abort(self):
        self._is_aborted = True
        self._loop.call_soon(self.writer.resume)

    def is_closing(self):
        return self._is_aborted

    def get_write_buffer_size(self):
        return self.unsent

    def get_extra_info(self, _name):
        return self._socket

    def set_write_buffer_limits(self, high):
        assert high == 0


def stand_still(event_loop, pause_s):
    event_loop._virtual.now += pause_s


def write_to(parts, interval_s, stop_after=None, pause_s=0.0):
    """Returns the time at which a response has been written, what is unsent, and the causes."""

    async def run(event_loop):
        causes = []
        memory = held_bytes.HeldBytes(read_clock=event_loop.time)
        transport = SlowTransport(event_loop, parts, interval_s)
        if stop_after is not None:
            transport._parts = stop_after

        def give_up(cause):
            causes.append(cause)
            transport.abort()

        writer = response_writer.ResponseWriter(transport, event_loop, memory, give_up)
        transport.start(writer)
        event_loop.call_later(0.1, stand_still, event_loop, pause_s)
        await writer.write(bytes(SIZE), STALL_S)
        assert memory.total_bytes == 0
        transport._socket.close()
        return event_loop.time(), transport.unsent, causes

    return virtual_time.run(run)


# A client that took its answer steadily was cut off after the idle time, with a part of it.
@pytest.mark.parametrize("parts", [4, 50, 1000])
@pytest.mark.parametrize("interval_s", [0.1 * STALL_S, 0.7 * STALL_S])
def test_a_client_that_takes_its_response_steadily_gets_all_of_it(parts, interval_s):
    ended_at, unsent, causes = write_to(parts, interval_s)
    assert (unsent, causes) == (0, [])
    assert ended_at == pytest.approx(parts * interval_s)


# A client that stopped taking its response could have kept it for ever.
@pytest.mark.parametrize("taken", [0, 1, 20])
def test_a_client_that_takes_nothing_more_loses_its_connection(taken):
    ended_at, unsent, causes = write_to(50, 1.0, stop_after=taken)
    assert causes == [response_writer.STALLED]
    assert unsent == SIZE - taken * SIZE // 50
    assert taken + STALL_S <= ended_at <= taken + 2 * STALL_S


# After a pause of the process for longer than the idle time, the client of an answer that the
# process had yet to pass on was cut off as one that takes nothing.
def test_a_client_is_not_cut_off_for_the_time_in_which_the_process_stood_still():
    _, unsent, causes = write_to(10, 0.7 * STALL_S, pause_s=2 * STALL_S)
    assert (unsent, causes) == (0, [])


# In a stop after such a pause, the rest of an answer was cut off that its client was taking.
@pytest.mark.parametrize(("left", "is_taken"), [(600, True), (1000, False), (0, False)])
def test_what_a_client_took_while_the_process_stood_still_counts(left, is_taken):
    async def run(event_loop):
        transport = SlowTransport(event_loop, 1, 1.0)
        memory = held_bytes.HeldBytes(read_clock=event_loop.time)
        writer = response_writer.ResponseWriter(transport, event_loop, memory, None)
        transport.unsent = 1000
        writer.begin_watch(is_long=True)
        stand_still(event_loop, 2 * STALL_S)
        transport.unsent = left
        with transport._socket:
            return writer.is_being_taken(STALL_S)

    assert virtual_time.run(run) is is_taken
