"""The answers that are being read stay below one limit, whoever sends them."""

import random

import attrs

from bergamotridge.util import answer_memory

LIMIT = 1000
SEEDS = 100


@attrs.define(eq=False)
class Answer:
    address: str
    memory: answer_memory.AnswerMemory
    size: int = 0
    given_up: bool = False

    def grow(self, size):
        self.size += size
        self.memory.hold(self, self.size)

    def give_up(self):
        self.given_up = True


def test_the_largest_answer_of_the_greediest_address_is_given_up():
    memory = answer_memory.AnswerMemory(LIMIT)
    sound = Answer("sound", memory)
    floods = [Answer("flood", memory) for _ in range(4)]
    sound.grow(350)
    for size, flood in zip((100, 200, 150, 190), floods, strict=True):
        flood.grow(size)
    floods[0].grow(50)
    assert [flood.given_up for flood in floods] == [False, True, False, False]
    assert not sound.given_up
    assert memory.held_bytes == 350 + 150 + 150 + 190


def test_an_answer_alone_that_exceeds_the_limit_is_given_up_itself():
    memory = answer_memory.AnswerMemory(LIMIT)
    answer = Answer("flood", memory)
    answer.grow(LIMIT + 1)
    assert answer.given_up and memory.held_bytes == 0


def test_any_mix_of_answers_stays_below_the_limit_and_spares_the_modest_address():
    for seed in range(SEEDS):
        rng, memory = random.Random(seed), answer_memory.AnswerMemory(LIMIT)
        running = []
        for _ in range(300):
            running = [item for item in running if not item.given_up]
            if not running or rng.random() < 0.3:
                running.append(Answer(f"flood-{rng.randrange(3)}", memory))
            answer = rng.choice(running)
            if rng.random() < 0.2:
                memory.release(answer)
                running.remove(answer)
            else:
                answer.grow(rng.randrange(1, 200))
            assert memory.held_bytes <= LIMIT
            sound = Answer("sound", memory)
            sound.grow(rng.randrange(1, 100))
            assert not sound.given_up
            memory.release(sound)
        for item in running:
            memory.release(item)
        assert memory.held_bytes == 0
