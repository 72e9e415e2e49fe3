"""Requests that crash upstreams are held back, and innocent ones are not; seeded simulations."""

import asyncio
import itertools

import attrs
import pytest

from bergamotridge.nodes import suspects
from tests import virtual_time
from tests.test_upstreams import crashing_fleet

SEEDS = range(4)
POPULAR = tuple(b"/popular/%d" % number for number in range(5))
POPULAR_SHARE = 0.5  # All other innocent requests differ from each other.
START_S = 2.0  # Of poisons and crashes.
NEWS_S = 0.1  # Within this time of a crash all nodes know of it.
# Longest time in which no request of a popular kind runs after a crash, while an upstream is ready.
MAX_GAP_S = 1.0


@attrs.frozen
class Scenario:
    """Load on one service; `rate` and `random_crashes` are per second."""

    poison_share: float
    poisons: int = 1
    hosts: int = 4
    rate: float = 150.0
    duration_s: float = 12.0
    random_crashes: float = 0.0
    crash_together: int = 0


def simulate(scenario, seed):
    """Returns the fleet after a load of popular, unique and poisonous requests."""
    numbers, fleets = itertools.count(), []

    def choose_target(rng):
        if fleets[0].now > START_S and rng.random() < scenario.poison_share:
            # Without a number of poisons each of them differs.
            number = rng.randrange(scenario.poisons) if scenario.poisons else next(numbers)
            return crashing_fleet.POISON_PREFIX + b"%d" % number
        if rng.random() < POPULAR_SHARE:
            return rng.choice(POPULAR)
        return b"/unique/%d" % next(numbers)

    async def crash_together(fleet):
        await asyncio.sleep(START_S)
        for node in fleet.nodes[: scenario.crash_together]:
            node.crash()

    async def run(loop):
        fleet = crashing_fleet.Fleet(loop, seed, scenario.hosts)
        fleets.append(fleet)
        tasks = [
            fleet.send_load(choose_target, scenario.rate, scenario.duration_s),
            crash_together(fleet),
        ]
        if scenario.random_crashes:
            rate = scenario.random_crashes
            tasks.append(fleet.crash_at_random(rate, START_S, scenario.duration_s))
        await asyncio.gather(*tasks)

    virtual_time.run(run)
    return fleets[0]


def longest_gap_s(fleet, target):
    """Returns the longest time between two runs of a kind of request."""
    sent = sorted(fleet.sent_at[target])
    return max(later - earlier for earlier, later in itertools.pairwise(sent))


def held(fleet, target):
    """Returns how many calls of a kind were refused as they crash upstreams."""
    return sum(result == "crashes-upstreams" for _, result in fleet.results[target])


# The deadly day: one request crashed every upstream of its service, again and again.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("share", [0.001, 0.01, 0.03, 0.1])
def test_a_poison_is_held_back_and_popular_requests_are_not(seed, share):
    is_rare = share < 0.01
    rate, duration_s = (300.0, 25.0) if is_rare else (150.0, 12.0)
    fleet = simulate(Scenario(share, rate=rate, duration_s=duration_s), seed)
    (poison,) = fleet.crashes
    assert_held_back(fleet, poison)
    for target in POPULAR:
        assert held(fleet, target) == 0
        assert longest_gap_s(fleet, target) <= MAX_GAP_S


def assert_held_back(fleet, poison):
    crashes, sent = fleet.crashes[poison], fleet.sent_at[poison]
    # What ran already when the first crash became known may crash upstreams as well.
    under_way = sum(at < crashes[0] + NEWS_S for at in sent)
    assert len(crashes) <= max(suspects.CRASHES_TO_HOLD, under_way)
    if len(crashes) >= suspects.CRASHES_TO_HOLD:
        held_from = crashes[suspects.CRASHES_TO_HOLD - 1] + NEWS_S
        assert not [at for at in sent if held_from < at < held_from + suspects.FIRST_HOLD_S - 1]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("hosts", [4, 12])
def test_several_poisons_at_once_are_held_back_each(seed, hosts):
    fleet = simulate(Scenario(0.05, poisons=3, hosts=hosts, duration_s=14.0), seed)
    for poison in fleet.crashes:
        assert_held_back(fleet, poison)
    for target in POPULAR:
        # All upstreams can be down, and a crash can hit a popular request that ran as a trial.
        max_gap_s = crashing_fleet.RESTART_S + suspects.FIRST_HOLD_IN_DOUBT_S + MAX_GAP_S
        assert longest_gap_s(fleet, target) <= max_gap_s


@pytest.mark.parametrize("seed", SEEDS)
def test_crashes_without_a_poison_hold_back_no_kind_of_request(seed):
    fleet = simulate(Scenario(0.0, hosts=12, random_crashes=0.5), seed)
    for target, results in fleet.results.items():
        assert held(fleet, target) == 0, results
    assert max(longest_gap_s(fleet, target) for target in POPULAR) <= MAX_GAP_S


# Popular requests ran at all upstreams of a failure domain that crashed together.
@pytest.mark.parametrize("seed", SEEDS)
def test_upstreams_that_crash_together_make_no_strong_suspects_of_popular_requests(seed):
    fleet = simulate(Scenario(0.0, hosts=12, crash_together=6), seed)
    for target in POPULAR:
        assert held(fleet, target) == 0
        assert longest_gap_s(fleet, target) <= MAX_GAP_S


@pytest.mark.parametrize("seed", SEEDS)
def test_poisons_that_all_differ_fill_no_table_and_hold_back_no_popular_request(seed):
    fleet = simulate(Scenario(0.004, poisons=0, hosts=12), seed)
    assert len(fleet.crashes) > 1
    for node in fleet.nodes:
        assert len(node.sharing.table) <= suspects.MAX_SUSPECTS
    for target in POPULAR:
        assert held(fleet, target) == 0
        assert longest_gap_s(fleet, target) <= MAX_GAP_S
