"""What a node believes about its replica is never more current than what its source said.

A model of two hosts in virtual time: processes are started anew on the same addresses, machines are
suspended, and messages arrive late, more than once, out of order and after their sender has ended.
"""

import heapq
import itertools
import random

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from bergamotridge.nodes import freshness_exchange, freshness_pb2
from bergamotridge.store import freshness, replica
from tests import odd_values, positions

KIND = "configuration"
WAIT_S = 0.6
ANSWER_GRACE_S = 0.25
STEPS = 400
ROUNDING_S = 0.002  # Ages travel in whole milliseconds.


@attrs.define(eq=False)
class Replica:
    kind: str = KIND
    version: replica.ReplicaVersion = replica.EMPTY


@attrs.define(eq=False)
class Process:
    """One process of a host, and what is really known of its replica.

    Attributes:
        true_as_of: Latest time as of which the replica is current, from all that it was told.
        suspended_until: Time until which its machine is suspended.
        suspended_s: Time for which its machine was suspended.
    """

    address: str
    exchange: freshness_exchange.FreshnessExchange
    known: freshness.Freshness
    replica: Replica
    true_as_of: float = freshness.NEVER
    suspended_until: float = freshness.NEVER
    suspended_s: float = 0.0


class Model:
    """Two addresses, the network between them, and a platform that changes.

    Attributes:
        clock_stops: True if the clock of the processes stands still while they are suspended.
    """

    def __init__(self, seed, make_rng=random.Random, clock_stops=False):
        self.rng = random.Random(seed)
        self.make_rng = make_rng
        self.clock_stops = clock_stops
        self.now = 100.0
        self.version = 1
        self.events = []
        self.numbers = itertools.count()
        self.processes = {}
        self.applied = 0
        for address in ("a", "b"):
            self.start(address)

    def start(self, address):
        known, replica = freshness.Freshness(), Replica()
        exchange = freshness_exchange.FreshnessExchange(
            known, [replica], 0.05, self.make_rng(self.rng.random())
        )
        self.processes[address] = Process(address, exchange, known, replica)

    def at(self, delay_s, function, *arguments):
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), function, arguments))

    def clock(self, process):
        return self.now - (process.suspended_s if self.clock_stops else 0.0)

    def step(self):
        process = self.processes[self.rng.choice("ab")]
        if self.now >= process.suspended_until:
            actions = [self.restart, self.suspend, self.change, self.read, *3 * [self.ask]]
            self.rng.choice(actions)(process)
        self.run(self.rng.choice([0.0, 0.01, 0.3, 2.0]))

    def run(self, duration_s):
        end = self.now + duration_s
        while self.events and self.events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
            self.check()
        self.now = end
        self.check()

    def run_unless_suspended(self, process, function, *arguments):
        """Calls a function, once the process is no longer suspended."""
        if self.now >= process.suspended_until:
            function(process, *arguments)
        else:
            delay_s = process.suspended_until - self.now
            self.at(delay_s, self.run_unless_suspended, process, function, *arguments)

    def restart(self, process):
        self.start(process.address)

    def suspend(self, process):
        duration_s = self.rng.uniform(0.1, 5.0)
        process.suspended_until = self.now + duration_s
        process.suspended_s += duration_s

    def change(self, _):
        self.version += 1

    def read(self, process):
        process.replica.version = positions.version(self.version)
        process.true_as_of = self.now
        process.known.confirm(KIND, self.clock(process))

    def ask(self, process):
        message = process.exchange.build_request(WAIT_S, self.clock(process))
        self.at(WAIT_S + ANSWER_GRACE_S, self.run_unless_suspended, process, self.end, message)
        self.send(process, self.receive, message)

    def end(self, process, message):
        process.exchange.end_request(message.request_id)

    def send(self, sender, function, *arguments):
        """Delivers a message no, one or several times, to whatever process is there then."""
        receiver = "b" if sender.address == "a" else "a"
        for _ in range(self.rng.choice([0, 1, 1, 1, 2, 3])):
            delay_s = self.rng.choice([0.001, 0.05, 0.4, 3.0, 30.0])
            self.at(self.rng.uniform(0.0, delay_s), self.deliver, receiver, function, *arguments)

    def deliver(self, address, function, *arguments):
        self.run_unless_suspended(self.processes[address], function, *arguments)

    def receive(self, process, message):
        request = process.exchange.receive_request(message, self.clock(process))
        wait_s = 0.0 if process.exchange.has_news(request) else WAIT_S
        self.at(wait_s, self.run_unless_suspended, process, self.answer, request)

    def answer(self, process, request):
        if self.processes[process.address] is process:
            message = process.exchange.build_answer(request, self.clock(process))
            self.send(process, self.apply, message, process.true_as_of, process.replica.version)

    def apply(self, process, message, true_as_of, version):
        result = process.exchange.apply_answer(message, self.clock(process))
        if result is None:
            return
        self.applied += 1
        if result.newer_replicas:
            process.replica.version = max(process.replica.version, version)
        elif version == process.replica.version:
            process.true_as_of = max(process.true_as_of, true_as_of)

    def check(self):
        """Checks that no process that runs believes its replica to be younger than it is."""
        for process in self.processes.values():
            if self.now >= process.suspended_until:
                age_s = self.clock(process) - process.known.as_of(KIND)
                assert age_s >= self.now - process.true_as_of - ROUNDING_S


def run_model(seed, **arguments):
    model = Model(seed, **arguments)
    for _ in range(STEPS):
        model.step()
    return model


# A replica looked current though it was old: by an answer to an earlier process on the address, or
# by the age that a node told after its machine had been suspended.
@pytest.mark.parametrize("seed", range(40))
def test_a_replica_never_counts_as_more_current_than_its_source_said(seed):
    assert run_model(seed).applied


class CountingRandom:
    """Numbers requests from 1 at each start, as once was done."""

    def __init__(self, seed):
        self._numbers = itertools.count(1)

    def getrandbits(self, bits):
        return next(self._numbers)


def test_the_model_finds_answers_to_earlier_processes():
    with pytest.raises(AssertionError):
        for seed in range(40):
            run_model(seed, make_rng=CountingRandom)


def test_the_model_finds_a_clock_that_stands_still_while_a_machine_is_suspended():
    with pytest.raises(AssertionError):
        for seed in range(40):
            run_model(seed, clock_stops=True)


# The age did not fit into the message: no request and no answer could be built any more.
def test_a_replica_that_is_too_old_for_a_message_is_left_out():
    known = freshness.Freshness()
    exchange = freshness_exchange.FreshnessExchange(known, [Replica()], 0.05, random.Random(1))
    known.confirm(KIND, 100.0)
    now = 100.0 + 2**32 / 1000 + 1.0
    request = exchange.build_request(WAIT_S, now)
    assert list(request.ages) == []
    received = exchange.receive_request(request, 100.0)
    assert list(exchange.build_answer(received, now).ages) == []
    known.confirm(KIND, now - 1.0)
    assert [item.age_ms for item in exchange.build_request(WAIT_S, now).ages] == [1000]


# Datagrams carry a code of the fleet, so the values are those of another release at worst.
@odd_values.SETTINGS
@hypothesis.given(
    version=st.sampled_from((0, 5, 2**63, 2**64 - 1)),
    age_ms=st.sampled_from((0, 1, 2**32 - 1)),
    wait_ms=st.sampled_from((0, 2**32 - 1)),
    kind=st.sampled_from((KIND, "", "x" * 300)),
)
def test_whatever_an_answer_says_a_replica_is_no_more_current_than_its_request(
    version, age_ms, wait_ms, kind
):
    known = freshness.Freshness()
    exchange = freshness_exchange.FreshnessExchange(
        known, [Replica(version=positions.version(5))], 0.05, random.Random(1)
    )
    request = exchange.build_request(WAIT_S, 100.0)
    answer = freshness_pb2.FreshnessMessage(
        request_id=request.request_id, is_answer=True, wait_ms=wait_ms
    )
    answer.ages.add(kind=kind, version=version, age_ms=age_ms)
    exchange.build_answer(exchange.receive_request(answer, 100.0), 100.5).SerializeToString()
    exchange.apply_answer(answer, 100.5)
    assert known.as_of(KIND) <= 100.5
    if version != 5 or kind != KIND:
        assert known.as_of(KIND) == freshness.NEVER
