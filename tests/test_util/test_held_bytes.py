"""All that is held for others stays below one bound, and slow readers give way first."""

import random

import attrs
import pytest

from bergamotridge.util import answer_memory, held_bytes

LIMIT = 12_000_000
LONG = 1_000_000
SMALL = held_bytes.SMALL_BYTES
SEEDS = 100
NOW = 100.0


@attrs.define(eq=False)
class Reader:
    speed: float
    started_at: float = 0.0
    is_given_up: bool = False

    def bytes_per_s(self, now):
        del now
        return self.speed

    def give_up(self):
        self.is_given_up = True


@pytest.fixture
def memory():
    return held_bytes.HeldBytes(LIMIT, lambda: NOW)


# Each body had a bound, their sum had none.
def test_a_body_that_does_not_fit_is_refused_and_changes_nothing(memory):
    while memory.reserve_request(0, LONG):
        pass
    assert memory.total_bytes == 8 * LONG  # Two thirds.
    assert not memory.reserve_request(LONG, 2 * LONG)
    memory.release_request(LONG)
    assert memory.reserve_request(LONG, 2 * LONG)
    assert memory.total_bytes == 8 * LONG


# Long bodies kept out the requests of everyone else.
def test_small_bodies_have_room_beside_as_many_long_ones_as_come(memory):
    while memory.reserve_request(0, LONG):
        pass
    assert all(memory.reserve_request(0, SMALL) for _ in range(7))


# Steady readers could keep the whole memory.
def test_the_slowest_readers_give_way_to_a_request_and_those_that_just_began_do_not(memory):
    readers = [Reader(3.0), Reader(1.0), Reader(2.0), Reader(0.0, started_at=NOW)]
    for reader in readers:
        memory.hold_response(reader, 3 * LONG)
    assert memory.reserve_request(0, 4 * LONG)
    assert [reader.is_given_up for reader in readers] == [False, True, True, False]
    memory.hold_response(Reader(0.0, started_at=NOW), 2 * LONG)
    assert not memory.reserve_request(0, 4 * LONG)
    assert not readers[0].is_given_up  # As its memory alone would not have been enough.


def test_a_response_that_exceeds_the_bound_costs_the_slowest_reader_its_own(memory):
    slow, fast, new = Reader(1.0), Reader(2.0), Reader(0.0, started_at=NOW)
    for reader in (slow, fast, new):
        memory.hold_response(reader, 5 * LONG)
    assert (slow.is_given_up, fast.is_given_up, new.is_given_up) == (True, False, False)


def test_answers_are_given_up_only_once_no_reader_is_left(memory):
    answers = answer_memory.AnswerMemory(LIMIT, memory)
    reader, given_up = Reader(5.0), []

    class Answer:
        address = "a"

        def give_up(self):
            given_up.append(self)

    memory.hold_response(reader, 6 * LONG)
    assert memory.reserve_request(0, 5 * LONG)
    first, second = Answer(), Answer()
    answers.hold(first, 4 * LONG)
    assert reader.is_given_up and not given_up
    answers.hold(second, 5 * LONG)
    assert given_up == [second]
    answers.release(first)
    assert memory.total_bytes == 5 * LONG


def test_any_mix_stays_below_the_bound_and_leaves_nothing_behind():
    for seed in range(SEEDS):
        rng = random.Random(seed)
        memory = held_bytes.HeldBytes(LIMIT, lambda: NOW)
        bodies, readers = [], []
        for _ in range(300):
            step = rng.randrange(4)
            size = rng.choice((SMALL, LONG, 3 * LONG))
            if step == 0 and memory.reserve_request(0, size):
                bodies.append(size)
            elif step == 1 and bodies:
                memory.release_request(bodies.pop(rng.randrange(len(bodies))))
            elif step == 2:
                readers.append(Reader(rng.random(), rng.choice((0.0, NOW))))
                memory.hold_response(readers[-1], size)
            elif readers:
                memory.release_response(readers.pop(rng.randrange(len(readers))))
            assert memory.has_room
        for size in bodies:
            memory.release_request(size)
        for reader in readers:
            memory.release_response(reader)
        assert memory.total_bytes == 0
