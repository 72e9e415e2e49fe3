"""Batching of arrivals: a busy loop pauses after its work, an idle loop never pauses."""

import threading

import pytest

from bergamotridge.util import arrival_batching, loop

PAUSE_S = 0.004


class FakeLoop:
    """A loop that the test runs; its clock is advanced only by the test and by pauses."""

    def __init__(self):
        self.now = 0.0
        self.pauses = 0
        self.scheduled = []
        self.batcher = arrival_batching.ArrivalBatcher(
            PAUSE_S, self._call_soon, lambda: self.now, self._sleep
        )

    def _call_soon(self, function, *arguments):
        self.scheduled.append((function, arguments))

    def _sleep(self, seconds):
        self.pauses += 1
        self.now += seconds

    def run(self):
        """Runs iterations until nothing is scheduled and returns their number."""
        iterations = 0
        while self.scheduled:
            scheduled, self.scheduled = self.scheduled, []
            iterations += 1
            for function, arguments in scheduled:
                function(*arguments)
        return iterations

    def record_arrivals(self, per_second, seconds):
        """Records evenly spaced arrivals for a number of seconds."""
        for _ in range(round(per_second * seconds)):
            self.now += 1.0 / per_second
            self.batcher.record_arrival()
            self.run()


@pytest.mark.parametrize("per_second", (1, 20, 100))
def test_the_loop_does_not_pause_while_arrivals_are_rare(per_second):
    fake_loop = FakeLoop()
    fake_loop.record_arrivals(per_second, 3.0)
    assert fake_loop.pauses == 0


def test_the_loop_pauses_while_arrivals_are_frequent():
    fake_loop = FakeLoop()
    fake_loop.record_arrivals(2000, 1.0)
    assert fake_loop.pauses > 0


def test_the_loop_does_not_pause_after_a_burst_has_ended():
    fake_loop = FakeLoop()
    fake_loop.record_arrivals(2000, 1.0)
    fake_loop.now += 5.0
    pauses_of_burst = fake_loop.pauses
    fake_loop.record_arrivals(10, 1.0)
    assert fake_loop.pauses == pauses_of_burst


def test_the_pause_comes_after_the_work_that_the_arrival_causes():
    fake_loop = FakeLoop()
    fake_loop.batcher.record_arrival()
    fake_loop.batcher.record_arrival()
    assert fake_loop.run() == arrival_batching.ITERATIONS_BEFORE_PAUSE + 1


def test_a_loop_without_batching_accepts_arrivals():
    started_loop = loop.Loop("plain")
    started_loop.call(started_loop.record_arrival)
    started_loop.stop()


def test_a_loop_with_batching_runs_on_its_own_thread():
    started_loop = loop.Loop("gathers", gather_s=PAUSE_S)
    started_loop.call(started_loop.record_arrival)
    assert started_loop.call(threading.get_ident) != threading.get_ident()
    started_loop.stop()
