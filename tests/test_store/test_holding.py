"""Shares of a team's quota: none is left without while another has all."""

from bergamotridge.store import holding, quota

HOLDERS = 4
BURST = 1000.0


def circumstances(demand: float) -> holding.Circumstances:
    return holding.Circumstances(chosen=True, holders=HOLDERS, burst=BURST, lent=0, demand=demand)


class Platform:
    """Holds one quota object and carries the decisions of some hosts to it."""

    def __init__(self) -> None:
        self.value, self.version = quota.Quota(), 0
        self.holdings: dict[str, holding.Holding] = {}

    def adjust(self, host: str, demand: float, now: float) -> None:
        held = self.holdings.get(host)
        if held is None:
            held = self.holdings[host] = holding.Holding(host, 1, "fd", holding.Timings(), now)
        held.observe(self.value, self.version, now)
        write = held.decide(circumstances(demand), now)
        if write is not None:
            self.value, self.version = write.quota, self.version + 1
            held.confirm(write, self.version, now)

    def parts(self, host: str) -> int:
        found = self.value.find(host)
        return found.parts if found else 0


def test_first_holder_leaves_room_for_those_that_are_to_come():
    platform = Platform()
    for now in range(0, 60, 5):
        platform.adjust("a", 100.0, now)
    assert platform.parts("a") == quota.PARTS // HOLDERS
    platform.adjust("b", 100.0, 60)
    assert platform.parts("b") == quota.PARTS // HOLDERS


def test_holder_of_all_hands_over_at_once_to_one_that_has_nothing():
    platform = Platform()
    everything = quota.Share("a", 1, "fd", quota.PARTS, 1, 0.0)
    platform.value, platform.version = quota.Quota((everything,)), 1
    platform.adjust("b", 100.0, 0.0)
    assert platform.parts("b") == 0
    platform.adjust("a", 0.0, 10.0)
    platform.adjust("a", 0.0, 20.0)
    platform.adjust("b", 100.0, 25.0)
    assert platform.parts("a") < quota.PARTS // HOLDERS < platform.parts("b")
