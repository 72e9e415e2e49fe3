"""Retry allowance: retries spent in a call tree never exceed the grant, at any fan-out."""

import random

from bergamotridge import call


def spend_randomly_in_tree(rng: random.Random, allowance: call.Allowance, depth: int) -> int:
    spent = 0
    for _ in range(rng.randint(1, 4)):
        granted = allowance.grant()
        child = call.Allowance(granted)
        if depth:
            spent += spend_randomly_in_tree(rng, child, depth - 1)
        allowance.give_back(child.drain(), granted)
        if rng.random() < 0.5 and allowance.spend():
            spent += 1
    return spent


def test_retries_spent_in_a_tree_never_exceed_the_allowance():
    for seed in range(200):
        rng = random.Random(seed)
        allowance = call.Allowance(seed % 7)
        assert spend_randomly_in_tree(rng, allowance, 4) + allowance.left == seed % 7


def test_give_back_adds_at_most_the_grant():
    allowance = call.Allowance(4)
    granted = allowance.grant()
    allowance.give_back(100, granted)
    assert allowance.left == 4
