"""Shares of a team's quota: no holder stays without tokens while another holds all parts."""

from bergamotridge.store import holding, quota

HOLDERS = 4
BURST = 1000.0


def decision_inputs(demand: float) -> holding.DecisionInputs:
    return holding.DecisionInputs(chosen=True, holders=HOLDERS, burst=BURST, lent=0, demand=demand)


class Platform:
    """Stores one quota object and applies the updates that several hosts decide on."""

    def __init__(self) -> None:
        self.value, self.version = quota.Quota(), 0
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
            self.value, self.version = write.quota, self.version + 1
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
    platform.value, platform.version = quota.Quota((whole_share,)), 1
    platform.adjust("b", 100.0, 0.0)
    assert platform.parts("b") == 0
    platform.adjust("a", 0.0, 10.0)
    platform.adjust("a", 0.0, 20.0)
    platform.adjust("b", 100.0, 25.0)
    assert platform.parts("a") < quota.PARTS // HOLDERS < platform.parts("b")
