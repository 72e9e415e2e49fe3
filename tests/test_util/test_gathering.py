"""Gathering of arrivals: a busy loop pauses after its work, an idle one never does."""

import threading

import pytest

from bergamotridge.util import gathering, loop

PAUSE_S = 0.004


class Rounds:
    """A loop whose rounds the test runs, with a clock that only pauses and the test move."""

    def __init__(self):
        self.now = 0.0
        self.pauses = 0
        self.due = []
        self.gathering = gathering.Gathering(
            PAUSE_S, self._call_soon, lambda: self.now, self._sleep
        )

    def _call_soon(self, function, *arguments):
        self.due.append((function, arguments))

    def _sleep(self, seconds):
        self.pauses += 1
        self.now += seconds

    def run(self):
        """Runs rounds until nothing is due and returns how many there were."""
        rounds = 0
        while self.due:
            due, self.due = self.due, []
            rounds += 1
            for function, arguments in due:
                function(*arguments)
        return rounds

    def arrive(self, per_second, seconds):
        """Lets arrivals come evenly."""
        for _ in range(round(per_second * seconds)):
            self.now += 1.0 / per_second
            self.gathering.note()
            self.run()


@pytest.mark.parametrize("per_second", (1, 20, 100))
def test_rare_arrivals_are_handled_without_a_pause(per_second):
    rounds = Rounds()
    rounds.arrive(per_second, 3.0)
    assert rounds.pauses == 0


def test_frequent_arrivals_are_gathered():
    rounds = Rounds()
    rounds.arrive(2000, 1.0)
    assert rounds.pauses > 0


def test_a_burst_that_has_ended_causes_no_further_pause():
    rounds = Rounds()
    rounds.arrive(2000, 1.0)
    rounds.now += 5.0
    paused = rounds.pauses
    rounds.arrive(10, 1.0)
    assert rounds.pauses == paused


def test_the_pause_comes_after_what_follows_from_the_arrival():
    rounds = Rounds()
    rounds.gathering.note()
    rounds.gathering.note()
    assert rounds.run() == gathering.ROUNDS_TO_SETTLE + 1


def test_a_loop_that_gathers_nothing_still_takes_notes():
    made = loop.Loop("plain")
    made.call(made.note)
    made.stop()


def test_a_pause_is_on_the_thread_of_the_loop():
    made = loop.Loop("gathers", gather_s=PAUSE_S)
    made.call(made.note)
    assert made.call(threading.get_ident) != threading.get_ident()
    made.stop()
