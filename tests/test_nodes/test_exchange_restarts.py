"""Two nodes agree in the end, whatever became of their messages and processes before.

A model of three hosts: processes are started anew on the same addresses, and messages arrive late,
more than once, out of order, not at all, and at a successor of the process they were meant for.
"""

import random

import attrs
import pytest

from bergamotridge.callers import keys
from bergamotridge.nodes import exchange, membership, record
from tests.test_nodes import fleet

HOSTS = ("h0", "h1", "h2")
STEPS = 60
MAX_UPDATES_PER_MESSAGE = 2
# Enough for a new start of the exchange after differing checksums, and for all pages.
ROUNDS_UNTIL_EQUAL = 20


@attrs.define(eq=False)
class Process:
    """One process of a host."""

    host: str
    members: membership.Membership
    exchange: exchange.Exchange

    def known(self):
        """Returns the order of each known record, by host."""
        return {item.host: item.order for item in self.members.members()}


class Model:
    """The processes that run, and the messages on their way."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.incarnations = dict.fromkeys(HOSTS, 0)
        self.processes = {}
        # Receiving host, message, and the process that awaits the answer, None for an answer.
        self.on_the_way = []
        for host in HOSTS:
            self.restart(host)

    def restart(self, host):
        self.incarnations[host] += 1
        own = fleet.own_record(host, HOSTS.index(host) + 1, self.incarnations[host])
        members = membership.Membership(own, membership.MembershipTimings())
        ring = keys.KeyRing(fleet.SECRET)
        messages = exchange.Exchange(
            members, (), ring, self.rng.getrandbits(63) | 1, max_updates=MAX_UPDATES_PER_MESSAGE
        )
        self.processes[host] = Process(host, members, messages)

    def announce(self, host):
        state = self.rng.choice([record.State.READY, record.State.DRAINING])
        slots = self.rng.randrange(1, 100)
        self.processes[host].members.announce("booking", state, slots, 0.0, 0.0)

    def send(self, host):
        sender = self.processes[host]
        receiver = self.rng.choice([item for item in HOSTS if item != host])
        session = self.rng.choice([0, sender.exchange.session_of(receiver)])
        message = sender.exchange.build_message(session, 0)
        self.on_the_way += self.rng.choice([0, 1, 1, 2]) * [(receiver, message, sender)]

    def deliver(self, _):
        """Delivers any message to the process that its receiving host now has."""
        if not self.on_the_way:
            return
        index = self.rng.randrange(len(self.on_the_way))
        host, message, sender = self.on_the_way.pop(index)
        receiver = self.processes[host]
        before = receiver.known()
        received = receiver.exchange.process_message(message, 0.0)
        after = receiver.known()
        assert all(after[name] >= order for name, order in before.items())
        if sender is not None:
            answer = receiver.exchange.build_message(received.session, 0)
            self.on_the_way += self.rng.choice([0, 1, 1, 2]) * [(sender.host, answer, None)]

    def step(self):
        events = [self.restart, self.announce, *3 * [self.send], *4 * [self.deliver]]
        self.rng.choice(events)(self.rng.choice(HOSTS))

    def exchange_messages(self, first, second):
        """Exchanges a request and an answer without any fault."""
        session = first.exchange.session_of(second.host)
        received = second.exchange.process_message(first.exchange.build_message(session, 0), 0.0)
        first.exchange.process_message(second.exchange.build_message(received.session, 0), 0.0)


# A node that was started anew never heard from a peer of the hosts of which its predecessor had
# told that peer: who had sent an update was remembered by its host, not by its process.
@pytest.mark.parametrize("seed", range(60))
def test_nodes_agree_in_the_end_over_restarts_duplicates_and_reordering(seed):
    model = Model(seed)
    for _ in range(STEPS):
        model.step()
    first, second = (model.processes[host] for host in model.rng.sample(HOSTS, 2))
    for _ in range(ROUNDS_UNTIL_EQUAL):
        model.exchange_messages(first, second)
    assert first.known() == second.known()
