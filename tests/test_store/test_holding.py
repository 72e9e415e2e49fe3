"""Shares of a team's quota: no holder stays without tokens while another holds all parts."""

import random

from bergamotridge.store import holding, position, quota, share_size
from tests import positions

HOLDERS = 4
RATE = 200.0
BURST = 1000.0


def decision_inputs(demand: float) -> share_size.DecisionInputs:
    return share_size.DecisionInputs(
        chosen=True, holders=HOLDERS, rate=RATE, burst=BURST, lent=0, demand=demand
    )


class Platform:
    """Stores one quota object and applies the updates that several hosts decide on."""

    def __init__(self) -> None:
        self.value, self.version = quota.Quota(), position.START
        self.holdings: dict[str, holding.Holding] = {}

    def adjust(self, host: str, demand: float, now: float) -> None:
        host_holding = self.holdings.get(host)
        if host_holding is None:
            host_holding = self.holdings[host] = holding.Holding(
                host, 1, "fd", holding.Timings(), now
            )
        host_holding.observe(self.value, self.version, now)
        write = host_holding.decide(decision_inputs(demand), now)
        if write is not None:
            self.value, self.version = write.quota, positions.at(self.version.revision + 1)
            host_holding.confirm(write, self.version, now)

    def parts(self, host: str) -> int:
        share = self.value.find(host)
        return share.parts if share else 0


def test_the_first_holder_takes_only_an_equal_share():
    platform = Platform()
    for now in range(0, 60, 5):
        platform.adjust("a", 100.0, now)
    assert platform.parts("a") == quota.PARTS // HOLDERS
    platform.adjust("b", 100.0, 60)
    assert platform.parts("b") == quota.PARTS // HOLDERS


def test_a_holder_of_all_parts_cuts_its_share_to_the_target_when_another_has_none():
    platform = Platform()
    whole_share = quota.Share("a", 1, "fd", quota.PARTS, 1, 0.0)
    platform.value, platform.version = quota.Quota((whole_share,)), positions.at(1)
    platform.adjust("b", 100.0, 0.0)
    assert platform.parts("b") == 0
    platform.adjust("a", 0.0, 10.0)
    platform.adjust("a", 0.0, 20.0)
    platform.adjust("b", 100.0, 25.0)
    assert platform.parts("a") < quota.PARTS // HOLDERS < platform.parts("b")


def test_a_demand_that_is_gone_but_still_written_takes_no_rate_from_the_fleet():
    platform = Platform()
    hosts = ("a", "b", "c", "d")
    for now in range(0, 200, 5):
        for host in hosts:
            platform.adjust(host, 0.9 if host == "a" and not now else 0.0, now)
    assert sum(platform.parts(host) for host in hosts) >= 0.95 * quota.PARTS


def test_steady_demand_within_the_shares_causes_no_writes():
    platform = Platform()
    rng = random.Random(1)
    hosts = ("a", "b", "c", "d")
    for host in hosts:
        platform.adjust(host, 20.0, 0.0)
    for now in range(5, 200, 5):
        for host in hosts:
            platform.adjust(host, rng.uniform(10.0, 30.0), now)
    assert platform.version == positions.at(len(hosts))


def test_rate_moves_to_a_holder_whose_demand_exceeds_its_share():
    platform = Platform()
    hosts = ("a", "b", "c", "d")
    for now in range(0, 60, 5):
        for host in hosts:
            platform.adjust(host, 100.0 if host == "a" and now >= 20 else 10.0, now)
    assert platform.parts("a") * RATE / quota.PARTS >= 100.0
    assert all(platform.parts(host) * RATE / quota.PARTS >= 10.0 for host in hosts)


def test_holders_divide_the_rate_by_demand_if_all_of_them_need_more():
    platform = Platform()
    demands = {"a": 600.0, "b": 200.0, "c": 200.0, "d": 200.0}
    for now in range(0, 120, 5):
        for host, demand in demands.items():
            platform.adjust(host, demand, now)
    assert platform.parts("a") > 1.5 * platform.parts("b")
    assert sum(platform.parts(host) for host in demands) >= 0.95 * quota.PARTS
