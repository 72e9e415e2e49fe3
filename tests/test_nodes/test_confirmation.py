"""Who has to know of a change before a node confirms it, also with kills between any two steps."""

import random

import attrs
import pytest

from bergamotridge import errors
from bergamotridge.callers import keys, withdrawal_confirmer
from bergamotridge.nodes import confirmation
from tests.test_nodes import fleet, network, test_convergence

OWN = confirmation.Place("own", "a")
REQUIREMENT = confirmation.Requirement(nodes=3, failure_domains=2, within_s=2.0)
HOSTS = 6
SETTLE_S = 30
SEEDS = 24


def places(*domains):
    return [confirmation.Place(f"h{n}", domain) for n, domain in enumerate(domains)]


def test_other_failure_domains_are_asked_first_and_no_more_than_are_needed():
    others = places("a", "a", "b", "a", "a")
    decision = confirmation.Confirmation(OWN, others, REQUIREMENT, 0.0)
    asked = decision.choose_next(0.0)
    assert [place.host for place in asked] == ["h2", "h0", "h1", "h3"]
    decision.record_store(stored=True)
    decision.record_answer(asked[1], knows=True)
    decision.record_answer(asked[2], knows=True)
    assert not decision.is_decided(0.1)  # Three nodes, but in one failure domain.
    decision.record_answer(asked[0], knows=True)
    assert decision.is_decided(0.1)
    assert decision.choose_next(0.1) == []
    assert decision.knowledge().failure_domains == {"a", "b"}


def test_a_silent_platform_and_places_that_fail_are_waited_for_within_the_bound():
    decision = confirmation.Confirmation(OWN, places("b", "b"), REQUIREMENT, 5.0)
    first, second = decision.choose_next(5.0)
    decision.record_answer(first, knows=True)
    decision.record_answer(second, knows=False)
    assert not decision.is_decided(6.99)
    assert decision.remaining_s(6.5) == 0.5
    assert decision.is_decided(7.0)
    assert decision.choose_next(7.0) == []
    known = decision.knowledge()
    assert (known.known_by, known.stored) == ((OWN, first), False)
    assert known.outlives_a_process
    assert "in time" in known.cause


@pytest.mark.parametrize("stored", [True, False])
def test_a_fleet_of_one_node_is_decided_once_the_platform_answered(stored):
    decision = confirmation.Confirmation(OWN, (), REQUIREMENT, 0.0)
    assert not decision.is_decided(0.0)
    decision.record_store(stored, "" if stored else "status 503")
    assert decision.is_decided(0.0)
    assert decision.knowledge().outlives_a_process is stored


@attrs.define
class Withdrawal:
    """A key is withdrawn at one node of a simulated network, and processes are killed meanwhile.

    Attributes:
        net: The network.
        rng: Source of all choices.
        key: The key.
        kill_share: Share of the steps at which some process is killed.
        confirms_early: Planted fault: a peer counts as told once the message is on its way.
        requirement: Who has to know of the withdrawal.
    """

    net: network.Network
    rng: random.Random
    key: keys.GrantedKey
    kill_share: float
    confirms_early: bool = False
    requirement: confirmation.Requirement = withdrawal_confirmer.REQUIREMENT
    serials: dict[str, int] = attrs.field(factory=dict)

    def run(self, host):
        """Returns what the node on `host` answers, None if it was killed before that."""
        net, node = self.net, self.net.nodes[host]
        node.ring.withdraw(self.key.key_id)
        self.serials = {host: node.serial}
        others = [place_of(net, other) for other in sorted(net.nodes) if other != host]
        self.rng.shuffle(others)
        decision = confirmation.Confirmation(place_of(net, host), others, self.requirement, net.now)
        waiting, now, store_is_due = [], net.now, True
        while not decision.is_decided(now):
            waiting += decision.choose_next(now)
            now += self.rng.uniform(0.0, 0.3)
            if store_is_due and self.rng.random() < 0.3:
                store_is_due = False
                self._store(decision)
            elif waiting:
                place = waiting.pop(self.rng.randrange(len(waiting)))
                decision.record_answer(place, self._tell(node, place.host))
            self.kill_any()
            if net.nodes[host] is not node:
                return None
        return decision.knowledge()

    def kill_any(self):
        if self.rng.random() < self.kill_share:
            self.kill(self.rng.choice(sorted(self.net.nodes)))

    def kill(self, host):
        net = self.net
        net.boot(int(host[1:]), net.nodes[host].members.own.incarnation + 1)

    def has_survivor(self, known):
        """Returns whether a process that an answer names still runs."""
        return any(
            self.net.nodes[place.host].serial == self.serials[place.host]
            for place in known.known_by
        )

    def _tell(self, node, host):
        net, other = self.net, self.net.nodes[host]
        message = node.exchange.build_withdrawal(host, self.key.key_id, 0)
        self.serials[host] = other.serial
        if not net.reaches(node.host, host):
            return self.confirms_early
        self.kill_any()
        if net.nodes[host] is not other:
            return self.confirms_early
        received = other.exchange.process_message(message, net.now)
        reply = other.exchange.build_message(received.session, 0)
        self.kill_any()
        if not net.reaches(host, node.host):
            return self.confirms_early
        node.exchange.process_message(reply, net.now)
        return True

    def _store(self, decision):
        platform = self.net.platform
        if platform.down:
            if self.rng.random() < 0.5:
                decision.record_store(False, "status 503")
            return  # Else it is silent.
        stored = platform.items[keys.KIND, self.key.key_id].value
        platform.write(keys.KIND, self.key.key_id, {**stored, "withdrawn": True})
        decision.record_store(True)


def place_of(net, host):
    return confirmation.Place(host, net.nodes[host].members.own.failure_domain)


def accepts(node, key):
    try:
        node.ring.check(f"Bearer {key.secret_text}", 0.0)
    except errors.CallError:
        return False
    return True


@attrs.frozen
class Outcome:
    """How one withdrawal with kills ended.

    Attributes:
        known: What the node answered, None if it was killed before.
        promised: True if the platform, or a process that the answer names, outlived the kills.
        accepting: Hosts that accept the key long after all disturbances.
    """

    known: confirmation.Knowledge | None
    promised: bool
    accepting: list[str]


def withdraw_with_kills(seed, disturb=True, **options):
    """Withdraws a key; the node that was asked, or its failure domain, is killed at the answer."""
    rng = random.Random(seed)
    net = network.Network(HOSTS, seed)
    key = keys.grant(test_convergence._Writer(net.platform), fleet.SECRET, "team")
    net.step(20)
    net.platform.down = not disturb or rng.random() < 0.8
    if disturb:
        net.loss = rng.choice((0.0, 0.3))
        net.parts = {host: 1 for host in net.nodes if rng.random() < 0.2}
    asked = rng.choice(sorted(net.nodes))
    withdrawal = Withdrawal(net, rng, key, kill_share=0.1 if disturb else 0.0, **options)
    known = withdrawal.run(asked)
    domain = place_of(net, asked).failure_domain
    whole_domain = rng.random() < 0.5
    for host in sorted(net.nodes):
        if host == asked or (whole_domain and place_of(net, host).failure_domain == domain):
            withdrawal.kill(host)
    promised = known is not None and (known.stored or withdrawal.has_survivor(known))
    net.parts, net.loss = {}, 0.0
    net.step(SETTLE_S)
    return Outcome(
        known, promised, [host for host, node in net.nodes.items() if accepts(node, key)]
    )


# Nodes confirmed withdrawals that no other process knew of; a kill right then undid them.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_what_an_answer_says_is_known_outlives_a_kill_between_any_two_steps(seed):
    outcome = withdraw_with_kills(seed)
    assert not (outcome.promised and outcome.accepting)


# The same, in fleets without any other fault: the answer has to be enough, not only true.
@pytest.mark.parametrize("seed", range(SEEDS // 4))
def test_an_answer_of_an_undisturbed_fleet_outlives_a_kill_of_a_failure_domain(seed):
    outcome = withdraw_with_kills(seed, disturb=False)
    assert outcome.promised
    assert outcome.accepting == []


def test_the_model_finds_confirmations_that_come_too_early():
    seeds = range(SEEDS)
    assert sum(withdraw_with_kills(seed).promised for seed in seeds) > SEEDS / 2
    unasked = [withdraw_with_kills(seed, confirms_early=True) for seed in seeds]
    assert any(outcome.promised and outcome.accepting for outcome in unasked)
    alone = confirmation.Requirement(nodes=1, failure_domains=1, within_s=2.0)
    assert withdraw_with_kills(0, disturb=False, requirement=alone).accepting
